package controllers

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

// newHomeWithOneEndpoint returns a home and a function that submits one task under a key.
func newHomeWithOneEndpoint(t *testing.T, clock clockwork.Clock) (*simHost, func(key string) *api.Answer) {
	t.Helper()
	home := newSimHost("home", "x", 1, clock)
	home.updateBackends([]*simBackend{newSimBackend(platform.Host{
		Name: "m", Group: "minions", Role: platform.RoleMinion, Place: "x", Slots: 1,
	})})
	token, _, err := home.tickets.Issue(simAccount)
	require.NoError(t, err)
	claims, err := home.tickets.Verify(token)
	require.NoError(t, err)
	return home, func(key string) *api.Answer {
		return home.submit(&peer.SubmitRequest{
			Identity: peer.Identity{
				Account: simAccount, Host: claims.Host, Incarnation: claims.Incarnation, Window: claims.Window, Key: key,
			},
			Submission: api.Submission{Tasks: []api.Task{{Service: "plain", Kind: "kind", Payload: json.RawMessage(`"m"`)}}},
			Digest:     1,
		})
	}
}

func TestTaskIsNotRetriedAfterItsDeadline(t *testing.T) {
	clock := clockwork.NewFakeClock()
	home, submit := newHomeWithOneEndpoint(t, clock)
	require.Equal(t, api.StateRunning, submit("k").State)
	require.Len(t, home.outbox, 1)
	start := home.outbox[0]
	home.outbox = nil
	home.waiting++
	clock.Advance(time.Minute)
	home.tick()
	require.Equal(t, api.StateRunning, submit("k").State, "a started task may end after the deadline")
	home.finish(&start, dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Busy: true})
	clock.Advance(10 * time.Second)
	home.tick()
	require.Empty(t, home.outbox)
	answer := submit("k")
	require.Equal(t, api.CodeExpired, answer.Code)
	require.Equal(t, api.RanNo, answer.Ran)
}

func TestCallsForAnotherHostOrProcessAreNotServed(t *testing.T) {
	home, _ := newHomeWithOneEndpoint(t, clockwork.NewFakeClock())
	for name, test := range map[string]struct {
		identity peer.Identity
		code     api.Code
	}{
		"another host":    {peer.Identity{Account: simAccount, Host: "other", Incarnation: home.common.Incarnation}, api.CodeUnavailable},
		"another process": {peer.Identity{Account: simAccount, Host: "home", Incarnation: "earlier"}, api.CodeHomeLost},
	} {
		t.Run(name, func(t *testing.T) {
			for _, answer := range []*api.Answer{
				home.submit(&peer.SubmitRequest{Identity: test.identity}),
				home.submissions.Wait(context.Background(), &peer.WaitRequest{Identity: test.identity}),
				home.submissions.Cancel(context.Background(), &peer.CancelRequest{Identity: test.identity}),
			} {
				require.Equal(t, test.code, answer.Code)
				require.Equal(t, api.RanUnknown, answer.Ran)
			}
		})
	}
}

func TestStoppingHomeRefusesWhatIsNewAndJoinsWhatIsNot(t *testing.T) {
	home, submit := newHomeWithOneEndpoint(t, clockwork.NewFakeClock())
	require.Equal(t, api.StateRunning, submit("before").State)
	home.board.Draining.Store(true)
	require.Equal(t, api.StateRunning, submit("before").State)
	refusal := submit("after")
	require.Equal(t, api.CodeDraining, refusal.Code)
	require.Equal(t, api.RanNo, refusal.Ran)
	require.NotZero(t, refusal.RetryAfter)
	require.Equal(t, 1, home.submissions.Open())
}

func TestOutcomeOfAnEarlierAttemptIsDropped(t *testing.T) {
	clock := clockwork.NewFakeClock()
	home, submit := newHomeWithOneEndpoint(t, clock)
	submit("k")
	first := home.outbox[0]
	home.outbox = nil
	home.waiting++
	home.finish(&first, dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Error: "refused"})
	for range 100 {
		clock.Advance(100 * time.Millisecond)
		home.tick()
	}
	require.Len(t, home.outbox, 1)
	second := home.outbox[0]
	require.NotEqual(t, first.ID, second.ID)
	late := dispatch.Outcome{Verdict: dispatch.VerdictDone, Value: json.RawMessage(`"late"`)}
	_, stale := home.engine.Finish(first.Task, first.Attempt, late, clock.Now())
	require.True(t, stale)
	require.Equal(t, api.StateRunning, submit("k").State)
	_, stale = home.engine.Finish(second.Task, second.Attempt, dispatch.Outcome{Verdict: dispatch.VerdictDone, Value: json.RawMessage(`"m"`)}, clock.Now())
	require.False(t, stale)
	require.JSONEq(t, `"m"`, string(submit("k").Results[0].Value))
}
