package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/inflow"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/ticket"
	"chervilusher.dev/lib/api"
)

// maxWait bounds one long poll.
const maxWait = time.Minute

// Submitter takes submissions to their home and answers for it.
type Submitter interface {
	Submit(ctx context.Context, claims *ticket.Claims, request *peer.SubmitRequest) *api.Answer
	Wait(ctx context.Context, claims *ticket.Claims, request *peer.WaitRequest) *api.Answer
	Cancel(ctx context.Context, claims *ticket.Claims, request *peer.CancelRequest) *api.Answer
}

// Server is the callers' API.
type Server struct {
	common    *common.Common
	board     *blackboard.Board
	tickets   *ticket.Issuer
	submitter Submitter
}

// New returns the callers' API over the given parts.
func New(c *common.Common, board *blackboard.Board, tickets *ticket.Issuer, submitter Submitter) *Server {
	return &Server{common: c.Prefixed("caller"), board: board, tickets: tickets, submitter: submitter}
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	router := echo.New()
	router.HTTPErrorHandler = answerError
	router.POST("/v1/tickets", s.issueTicket)
	router.POST("/v1/jobs", s.submitJob)
	router.POST("/v1/requests", s.submitRequest)
	router.GET("/v1/jobs/:key", s.wait)
	router.DELETE("/v1/jobs/:key", s.cancel)
	return router
}

// Refusals returns the handler of requests that this host does not take, as it has too many.
func Refusals() http.Handler {
	router := echo.New()
	router.HTTPErrorHandler = answerError
	router.Any("/*", func(echo.Context) error { return inflow.ErrCrowded })
	return router
}

func (s *Server) issueTicket(c echo.Context) error {
	bearer, err := s.authenticate(c)
	if err != nil {
		return err
	}
	if s.board.Draining.Load() {
		return &inputError{code: api.CodeDraining, reason: "the host is stopping"}
	}
	token, left, err := s.tickets.Issue(bearer.Account)
	if err != nil {
		return err
	}
	c.Response().Header().Set(api.HeaderTicket, token)
	return c.JSON(http.StatusOK, newTicket(token, left))
}

func (s *Server) submitJob(c echo.Context) error {
	return take(s, c, 0, func(submission *api.Submission) *peer.SubmitRequest {
		return &peer.SubmitRequest{Submission: *submission}
	})
}

func (s *Server) submitRequest(c echo.Context) error {
	return take(s, c, maxWait, func(single *api.Request) *peer.SubmitRequest {
		submission := api.Submission{Tasks: []api.Task{single.Task}, Urgent: single.Urgent, Deadline: single.Deadline}
		return &peer.SubmitRequest{Submission: submission, Idempotent: single.Idempotent}
	})
}

// take reads a body of one of the two kinds and submits what it asks for.
func take[Body any](s *Server, c echo.Context, defaultWait time.Duration, requestOf func(body *Body) *peer.SubmitRequest) error {
	bearer, err := s.authenticate(c)
	if err != nil {
		return err
	}
	var body Body
	digest, err := decodeBody(c, &body)
	if err != nil {
		return err
	}
	request := requestOf(&body)
	if err := checkSubmission(&request.Submission); err != nil {
		return err
	}
	request.Digest = digest
	return s.submit(c, bearer, request, defaultWait)
}

func (s *Server) submit(c echo.Context, bearer blackboard.Bearer, request *peer.SubmitRequest, defaultWait time.Duration) error {
	wait, err := parseWait(c, defaultWait)
	if err != nil {
		return err
	}
	token, claims, err := s.ticketOf(c, bearer, true)
	if err != nil {
		return err
	}
	key, err := keyOf(c)
	if err != nil {
		return err
	}
	request.Wait = wait
	request.Identity = identityOf(claims, key)
	if s.tickets.Own(claims) { // one that is passed on to its home stays counted here until it is answered
		inflow.HandOn(c.Request(), api.HeaderTicket)
	}
	answer := s.submitter.Submit(c.Request().Context(), claims, request)
	return s.reply(c, bearer, token, key, answer)
}

func (s *Server) wait(c echo.Context) error {
	bearer, err := s.authenticate(c)
	if err != nil {
		return err
	}
	wait, err := parseWait(c, 0)
	if err != nil {
		return err
	}
	token, claims, err := s.ticketOf(c, bearer, false)
	if err != nil {
		return err
	}
	key := c.Param("key")
	inflow.HandOn(c.Request(), api.HeaderTicket)
	answer := s.submitter.Wait(c.Request().Context(), claims, &peer.WaitRequest{Identity: identityOf(claims, key), Wait: wait})
	return s.reply(c, bearer, token, key, answer)
}

func (s *Server) cancel(c echo.Context) error {
	bearer, err := s.authenticate(c)
	if err != nil {
		return err
	}
	token, claims, err := s.ticketOf(c, bearer, false)
	if err != nil {
		return err
	}
	key := c.Param("key")
	inflow.HandOn(c.Request(), api.HeaderTicket)
	answer := s.submitter.Cancel(c.Request().Context(), claims, &peer.CancelRequest{Identity: identityOf(claims, key)})
	return s.reply(c, bearer, token, key, answer)
}

// reply sends the answer with the caller's own identifier, and the current ticket for its next submission.
func (s *Server) reply(c echo.Context, bearer blackboard.Bearer, token, key string, answer *api.Answer) error {
	if current, _, err := s.tickets.Issue(bearer.Account); err == nil && !s.board.Draining.Load() {
		c.Response().Header().Set(api.HeaderTicket, current)
	}
	addressed := *answer
	addressed.Key = key
	addressed.Ticket = token
	return send(c, &addressed)
}

func identityOf(claims *ticket.Claims, key string) peer.Identity {
	return peer.Identity{Account: claims.Account, FailureDomain: claims.FailureDomain, Host: claims.Host, Incarnation: claims.Incarnation, Window: claims.Window, Key: key}
}
