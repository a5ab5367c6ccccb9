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
	// forwardSlack is how long a forwarded call may take beyond the wait that it asks for.
	forwardSlack = 2 * time.Second
	// retryUnreachable is when to come back while a submission's home cannot be reached.
	retryUnreachable = time.Second
)

var crossedPeerAnswers = metrics.GetOrCreateCounter(`chervilusher_answers_dropped_total{why="crossed"}`)

// Home answers for the submissions made under this process's tickets.
type Home interface {
	Submit(ctx context.Context, request *peer.SubmitRequest) *api.Answer
	Wait(ctx context.Context, request *peer.WaitRequest) *api.Answer
	Cancel(ctx context.Context, request *peer.CancelRequest) *api.Answer
}

// RoutingController takes each submission to its home: this process or another host.
type RoutingController struct {
	common    *common.Common
	board     *blackboard.Board
	tickets   *ticket.Issuer
	home      Home
	client    *peer.Client
	handovers *HandoverController
}

// NewRoutingController returns the controller and adds the home's methods to the server of peers.
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
	peer.Handle(server, peer.MethodSubmit, answering(c.Incarnation, home.Submit))
	peer.Handle(server, peer.MethodWait, answering(c.Incarnation, home.Wait))
	peer.Handle(server, peer.MethodCancel, answering(c.Incarnation, home.Cancel))
	return routing
}

// Submit takes a submission to its home.
func (r *RoutingController) Submit(ctx context.Context, claims *ticket.Claims, request *peer.SubmitRequest) *api.Answer {
	if r.tickets.Own(claims) {
		return r.home.Submit(ctx, request)
	}
	answer := forward(ctx, r, claims, peer.MethodSubmit, request, request.Wait)
	return r.orHandedOver(ctx, answer, &peer.RecordRequest{Identity: request.Identity, Digest: request.Digest})
}

// Wait asks a submission's home for its answer.
func (r *RoutingController) Wait(ctx context.Context, claims *ticket.Claims, request *peer.WaitRequest) *api.Answer {
	if r.tickets.Own(claims) {
		return r.home.Wait(ctx, request)
	}
	answer := forward(ctx, r, claims, peer.MethodWait, request, request.Wait)
	return r.orHandedOver(ctx, answer, &peer.RecordRequest{Identity: request.Identity})
}

// Cancel tells a submission's home to cancel it.
func (r *RoutingController) Cancel(ctx context.Context, claims *ticket.Claims, request *peer.CancelRequest) *api.Answer {
	if r.tickets.Own(claims) {
		return r.home.Cancel(ctx, request)
	}
	answer := forward(ctx, r, claims, peer.MethodCancel, request, 0)
	return r.orHandedOver(ctx, answer, &peer.RecordRequest{Identity: request.Identity})
}

// orHandedOver asks the hosts that a leaving home hands its record to, when the home itself does not answer.
func (r *RoutingController) orHandedOver(ctx context.Context, answer *api.Answer, request *peer.RecordRequest) *api.Answer {
	silent := answer.Code == api.CodeUnavailable && answer.Ran == api.RanUnknown
	if !silent && answer.Code != api.CodeHomeLost {
		return answer
	}
	if kept := r.handovers.LookUp(ctx, request); kept != nil {
		return kept
	}
	return answer
}

// answering wraps a method of the home for peers.
func answering[Request any, R identified[Request]](incarnation string, serve func(ctx context.Context, request *Request) *api.Answer) func(context.Context, *Request) (*peer.AnswerResponse, error) {
	return func(ctx context.Context, request *Request) (*peer.AnswerResponse, error) {
		return &peer.AnswerResponse{
			Incarnation: incarnation,
			Key:         R(request).IdentityOf().Key,
			Answer:      *serve(ctx, request),
		}, nil
	}
}

// identified is a call about one submission.
type identified[Request any] interface {
	*Request
	IdentityOf() *peer.Identity
}

// forward calls the home; only an answer from its own address tells that the home's process is gone.
func forward[Request any, R identified[Request]](ctx context.Context, r *RoutingController, claims *ticket.Claims, method string, request *Request, wait time.Duration) *api.Answer {
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
	if !belongs(response, R(request).IdentityOf()) {
		crossedPeerAnswers.Inc()
		return unreachable("the answer belonged to another submission")
	}
	return &response.Answer
}

// belongs reports whether an answer is about the submission, and from its home unless it says that the home is another.
func belongs(response *peer.AnswerResponse, identity *peer.Identity) bool {
	if response.Key != identity.Key {
		return false
	}
	return response.Incarnation == identity.Incarnation || response.Answer.Ran == api.RanUnknown
}

// unreachable says that the outcome is unknown: an earlier try of the same submission may have reached its home.
func unreachable(reason string) *api.Answer {
	return &api.Answer{
		State:      api.StateUnknown,
		Ran:        api.RanUnknown,
		Code:       api.CodeUnavailable,
		Reason:     reason,
		RetryAfter: jsontime.Duration(retryUnreachable),
	}
}
