package controllers

import (
	"context"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/ticket"
	"chervilusher.dev/lib/api"
)

// routeTo returns the answer of a host's routing for a response from the home's address.
func routeTo(t *testing.T, response *peer.AnswerResponse) *api.Answer {
	t.Helper()
	server := peer.NewServer()
	peer.Handle(server, peer.MethodSubmit, func(context.Context, *peer.SubmitRequest) (*peer.AnswerResponse, error) {
		return response, nil
	})
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(t.Context(), listener) }()
	client := peer.NewClient(nil)
	t.Cleanup(func() { _ = client.Close() })

	host := newSimHost("router", "x", 1, clockwork.NewRealClock())
	host.board.Members.Store(&blackboard.MemberTable{ByName: map[string]blackboard.Member{
		"home": {Name: "home", Address: listener.Addr().String(), FailureDomain: "x"},
	}})
	routing := NewRoutingController(host.common, host.board, host.tickets, host.submissions, client, host.handovers, peer.NewServer())
	identity := peer.Identity{Account: simAccount, Host: "home", Incarnation: "first", Key: "own"}
	claims := &ticket.Claims{Account: simAccount, Host: "home", Incarnation: "first"}
	return routing.Submit(t.Context(), claims, &peer.SubmitRequest{Identity: identity})
}

func TestOnlyTheHomesAnswerToThisSubmissionIsDelivered(t *testing.T) {
	complete := api.Answer{State: api.StateComplete, Ran: api.RanYes}
	refusal := api.Answer{State: api.StateRefused, Ran: api.RanNo, Code: api.CodeOverload}
	for name, test := range map[string]struct {
		response  peer.AnswerResponse
		delivered bool
	}{
		"own":                      {peer.AnswerResponse{Incarnation: "first", Key: "own", Answer: complete}, true},
		"of another submission":    {peer.AnswerResponse{Incarnation: "first", Key: "other", Answer: complete}, false},
		"of another process":       {peer.AnswerResponse{Incarnation: "second", Key: "own", Answer: complete}, false},
		"refusal of another":       {peer.AnswerResponse{Incarnation: "second", Key: "own", Answer: refusal}, false},
		"home lost, from the next": {peer.AnswerResponse{Incarnation: "second", Key: "own", Answer: *homeLost()}, true},
	} {
		t.Run(name, func(t *testing.T) {
			answer := routeTo(t, &test.response)
			if test.delivered {
				require.Equal(t, test.response.Answer.Code, answer.Code)
				return
			}
			require.Equal(t, api.CodeUnavailable, answer.Code)
			require.Equal(t, api.RanUnknown, answer.Ran)
		})
	}
}
