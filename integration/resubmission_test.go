package integration

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/client"
	"chervilusher.dev/lib/platform"
	"chervilusher.dev/standin/pkg/relay"
)

// firstAnswer sends one try through a host and returns its answer whatever it is, or nil when none came.
func (f *fleet) firstAnswer(through *entry, handle client.Handle, submission api.Submission, limit time.Duration) *api.Answer {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	answer, err := f.client(through).RunAs(ctx, handle, submission)
	if err == nil {
		return answer
	}
	var refusal *client.Error
	if errorsAs(err, &refusal) {
		return &refusal.Answer
	}
	var lost *client.LostError
	if errorsAs(err, &lost) && errorsAs(lost.Cause, &refusal) {
		return &refusal.Answer
	}
	return nil
}

func (f *fleet) mint(home *entry) client.Handle {
	f.t.Helper()
	ticket, err := f.client(home).Ticket(f.t.Context())
	require.NoError(f.t, err)
	return client.Handle{Key: uuid.NewString(), Ticket: ticket}
}

func requireOwnAnswer(t *testing.T, answer *api.Answer, mark string) {
	t.Helper()
	require.NotNil(t, answer)
	require.Equal(t, api.StateComplete, answer.State, answer.Reason)
	require.Len(t, answer.Results, 1)
	require.Equal(t, mark, echoOf(t, answer.Results[0]))
}

func TestResubmissionThroughEveryOtherHost(t *testing.T) {
	f := newFleet(t, plan{places: []string{"x", "x", "y"}, minions: 4, slots: 8})
	home, others := f.entries[0], f.entries[1:]
	submit := func(mark string, work time.Duration) (client.Handle, api.Submission) {
		handle := f.mint(home)
		submission := job(task("desk", mark, work))
		_, err := f.client(home).Submit(t.Context(), handle, submission)
		require.NoError(t, err)
		return handle, submission
	}
	t.Run("home alive", func(t *testing.T) {
		handle, submission := submit("alive", 300*time.Millisecond)
		for _, other := range others {
			requireOwnAnswer(t, f.firstAnswer(other, handle, submission, patience), "alive")
		}
	})
	t.Run("home paused", func(t *testing.T) {
		handle, submission := submit("paused", 100*time.Millisecond)
		home.signal(syscall.SIGSTOP)
		for _, other := range others {
			answer := f.firstAnswer(other, handle, submission, time.Second)
			if answer != nil {
				require.Equal(t, api.RanUnknown, answer.Ran)
			}
		}
		home.signal(syscall.SIGCONT)
		for _, other := range others {
			requireOwnAnswer(t, f.firstAnswer(other, handle, submission, patience), "paused")
		}
	})
	t.Run("home cut off", func(t *testing.T) {
		handle, submission := submit("cut", 100*time.Millisecond)
		home.inward.Faults().Set(relay.Faults{Cut: true})
		for _, other := range others {
			answer := f.once(other, handle, submission)
			require.Equal(t, api.CodeUnavailable, answer.Code)
			require.Equal(t, api.RanUnknown, answer.Ran)
			require.NotZero(t, answer.RetryAfter)
		}
		home.inward.Faults().Set(relay.Faults{})
		for _, other := range others {
			requireOwnAnswer(t, f.firstAnswer(other, handle, submission, patience), "cut")
		}
	})
	t.Run("home dead, then restarted at its address", func(t *testing.T) {
		handle, submission := submit("dead", 200*time.Millisecond)
		home.kill()
		for _, other := range others {
			answer := f.once(other, handle, submission)
			require.Equal(t, api.CodeUnavailable, answer.Code)
			require.Equal(t, api.RanUnknown, answer.Ran)
		}
		home.start()
		home.waitReady()
		for _, other := range f.entries {
			answer := f.firstAnswer(other, handle, submission, patience)
			require.NotNil(t, answer)
			require.Equal(t, api.CodeHomeLost, answer.Code)
			require.Equal(t, api.RanUnknown, answer.Ran)
		}
	})
	f.requireAtMostOnce()
}

// once sends one HTTP request and returns its answer.
func (f *fleet) once(through *entry, handle client.Handle, submission api.Submission) *api.Answer {
	f.t.Helper()
	return post(f.t, through.url()+"/v1/jobs?wait=2s", handle, submission)
}

func TestRefusalStaysTrueForADelayedCopy(t *testing.T) {
	f := newFleet(t, plan{places: []string{"x", "x"}, minions: 1, slots: 2})
	home, other := f.entries[0], f.entries[1]
	handle := f.mint(home)
	submission := job(task("odd", "refused", 0))
	refusal := f.once(home, handle, submission)
	require.Equal(t, api.CodeUnavailable, refusal.Code)
	require.Equal(t, api.RanNo, refusal.Ran)
	// The group has a back end now, but a delayed copy never starts after the refusal.
	f.office.Hosts.Put(platform.Host{
		Name: "odd", Address: f.office.Member("desk-0").Address(), Place: "x",
		Role: platform.RoleMinion, Group: "odd", State: platform.HostLive, Slots: 8,
	})
	require.Eventually(t, func() bool {
		return f.once(home, f.mint(home), job(task("odd", "accepted", 0))).State == api.StateComplete
	}, patience, pollEvery)
	late := f.once(other, handle, submission)
	require.Equal(t, refusal.Code, late.Code)
	require.Equal(t, api.RanNo, late.Ran)
	require.Zero(t, f.office.Marks()["refused"])
	cancelled := f.mint(home)
	answer, err := f.client(other).Cancel(t.Context(), cancelled)
	require.NoError(t, err)
	require.Equal(t, api.RanNo, answer.Ran)
	late = f.once(other, cancelled, job(task("desk", "late", 0)))
	require.Equal(t, api.StateCancelled, late.State)
	require.Zero(t, f.office.Marks()["late"])
}
