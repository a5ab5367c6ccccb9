package controllers

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/ticket"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/jsontime"
)

const (
	// forwardSlack is how long a forwarded call may take beyond its requested wait.
	forwardSlack = 2 * time.Second
	// retryUnreachable is the retry delay for callers while the home of a submission is unreachable.
	retryUnreachable = time.Second
)

var mismatchedAnswers = metrics.GetOrCreateCounter(`chervilusher_answers_dropped_total{why="crossed"}`)

// Home serves the submissions made under this process's tickets.
type Home interface {
	Submit(ctx context.Context, request *peer.SubmitRequest) *api.Answer
	Wait(ctx context.Context, request *peer.WaitRequest) *api.Answer
	Cancel(ctx context.Context, request *peer.CancelRequest) *api.Answer
}

// RoutingController routes each submission to its home: this process or another host.
type RoutingController struct {
	common    *common.Common
	board     *blackboard.Board
	tickets   *ticket.Issuer
	home      Home
	client    *peer.Client
	handovers *HandoverController
}

// NewRoutingController returns a controller and registers the home's methods with the peer server.
func NewRoutingController(
	c *common.Common,
	board *blackboard.Board,
	tickets *ticket.Issuer,
	home Home,
	client *peer.Client,
	handovers *HandoverController,
	server *peer.Server,
) *RoutingController {
	routing := &RoutingController{common: c.Prefixed("routing"), board: board, tickets: tickets, home: home, client: client, handovers: handovers}
	peer.Handle(server, peer.MethodSubmit, answerHandler(c.Incarnation, home.Submit))
	peer.Handle(server, peer.MethodWait, answerHandler(c.Incarnation, home.Wait))
	peer.Handle(server, peer.MethodCancel, answerHandler(c.Incarnation, home.Cancel))
	return routing
}

// Submit routes a submission to its home.
func (r *RoutingController) Submit(ctx context.Context, claims *ticket.Claims, request *peer.SubmitRequest) *api.Answer {
	if r.tickets.Own(claims) {
		return r.home.Submit(ctx, request)
	}
	answer := forward(ctx, r, claims, peer.MethodSubmit, request, request.Wait)
	return r.orFromHandover(ctx, answer, &peer.RecordRequest{Identity: request.Identity, Digest: request.Digest})
}

// Wait requests a submission's answer from its home.
func (r *RoutingController) Wait(ctx context.Context, claims *ticket.Claims, request *peer.WaitRequest) *api.Answer {
	if r.tickets.Own(claims) {
		return r.home.Wait(ctx, request)
	}
	answer := forward(ctx, r, claims, peer.MethodWait, request, request.Wait)
	return r.orFromHandover(ctx, answer, &peer.RecordRequest{Identity: request.Identity})
}

// Cancel requests the cancellation of a submission from its home.
func (r *RoutingController) Cancel(ctx context.Context, claims *ticket.Claims, request *peer.CancelRequest) *api.Answer {
	if r.tickets.Own(claims) {
		return r.home.Cancel(ctx, request)
	}
	answer := forward(ctx, r, claims, peer.MethodCancel, request, 0)
	return r.orFromHandover(ctx, answer, &peer.RecordRequest{Identity: request.Identity})
}

// orFromHandover returns the home's answer.
// If the home does not answer, it queries the hosts to which a leaving home hands its record over.
func (r *RoutingController) orFromHandover(ctx context.Context, answer *api.Answer, request *peer.RecordRequest) *api.Answer {
	noAnswer := answer.Code == api.CodeUnavailable && answer.Ran == api.RanUnknown
	if !noAnswer && answer.Code != api.CodeHomeLost {
		return answer
	}
	if stored := r.handovers.LookUp(ctx, request); stored != nil {
		return stored
	}
	return answer
}

// answerHandler wraps a method of the home as a handler for peers.
func answerHandler[Request any, R identifiedRequest[Request]](incarnation string, serve func(ctx context.Context, request *Request) *api.Answer) func(context.Context, *Request) (*peer.AnswerResponse, error) {
	return func(ctx context.Context, request *Request) (*peer.AnswerResponse, error) {
		return &peer.AnswerResponse{
			Incarnation: incarnation,
			Key:         R(request).IdentityOf().Key,
			Answer:      *serve(ctx, request),
		}, nil
	}
}

// identifiedRequest is a request about one submission.
type identifiedRequest[Request any] interface {
	*Request
	IdentityOf() *peer.Identity
}

// forward calls the home; only an answer from its own address shows that the home's process has ended.
func forward[Request any, R identifiedRequest[Request]](ctx context.Context, r *RoutingController, claims *ticket.Claims, method string, request *Request, wait time.Duration) *api.Answer {
	member, ok := r.board.Members.Load().ByName[claims.Host]
	if !ok {
		return unreachable("the home is not in the host list now")
	}
	ctx, cancel := context.WithTimeout(ctx, wait+forwardSlack)
	defer cancel()
	response, err := peer.Call[Request, peer.AnswerResponse](ctx, r.client, member.Address, method, request)
	if err != nil {
		r.common.Log.WithError(err).WithField("home", claims.Host).Warn("cannot reach the home of a submission")
		return unreachable("the home cannot be reached now")
	}
	if !matches(response, R(request).IdentityOf()) {
		mismatchedAnswers.Inc()
		return unreachable("the answer belonged to another submission")
	}
	return &response.Answer
}

// matches reports whether an answer is about the submission and from its home.
// An answer from another incarnation may only say that it is unknown whether the submission ran.
func matches(response *peer.AnswerResponse, identity *peer.Identity) bool {
	if response.Key != identity.Key {
		return false
	}
	return response.Incarnation == identity.Incarnation || response.Answer.Ran == api.RanUnknown
}

// unreachable returns an unknown outcome: an earlier attempt of the same submission may have reached its home.
func unreachable(reason string) *api.Answer {
	return &api.Answer{
		State:      api.StateUnknown,
		Ran:        api.RanUnknown,
		Code:       api.CodeUnavailable,
		Reason:     reason,
		RetryAfter: jsontime.Duration(retryUnreachable),
	}
}
