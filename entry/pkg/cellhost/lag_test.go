package cellhost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// fixedShedder is a Shedder whose fraction is set by the test.
type fixedShedder struct{ fraction float64 }

// Shed implements Shedder.
func (f *fixedShedder) Shed() float64 { return f.fraction }

// TestJobsAreShedWhileTimersAreLate has more work than processor time for a while, and a pause of the process.
func TestJobsAreShedWhileTimersAreLate(t *testing.T) {
	lag := NewLagController(newClaimant("a", north).common)
	for range 100 {
		lag.recordLag(time.Millisecond)
	}
	require.Zero(t, lag.Shed())
	for range 100 {
		lag.recordLag(2 * lagTarget)
	}
	require.InDelta(t, 1, lag.Shed(), 0.001)
	for range 60 {
		lag.recordLag(0)
	}
	require.Zero(t, lag.Shed())
	lag.recordLag(10 * time.Second)
	lag.recordLag(0)
	lag.recordLag(0)
	require.Less(t, lag.Shed(), 0.1, "after a pause the process is on time again")
}

// TestShortBurstsOfWorkCauseNoShedding has a process lag for short periods, as after its start.
func TestShortBurstsOfWorkCauseNoShedding(t *testing.T) {
	lag := NewLagController(newClaimant("a", north).common)
	for range 10 {
		for range 6 {
			lag.recordLag(5 * lagTarget)
			require.Zero(t, lag.Shed())
		}
		for range 40 {
			lag.recordLag(0)
		}
	}
}

// TestSaturatedKeeperDeclinesAtOnce checks that an overloaded keeper accepts no job that it could not attend to, so
// that it keeps in contact with the homes of those that it has.
func TestSaturatedKeeperDeclinesAtOnce(t *testing.T) {
	c := newClaimant("a", north)
	c.load.fraction = 1
	response, err := c.keeper.Run(t.Context(), &peer.RunRequest{ID: "1", Home: "a"})
	require.NoError(t, err)
	require.True(t, response.Declined)
	require.Equal(t, "the keeper falls behind", response.Reason)
}

// TestSaturatedKeeperIsNotAsked has the keeper of the failure domain overloaded, and then all of them: the job goes to
// another failure domain, and in the end is refused at once, without a call.
func TestSaturatedKeeperIsNotAsked(t *testing.T) {
	asked := 0
	other := peer.NewServer()
	peer.Handle(other, peer.MethodRun, func(context.Context, *peer.RunRequest) (*peer.RunResponse, error) {
		asked++
		return &peer.RunResponse{Outcome: cell.Completed}, nil
	})
	home, own := twoKeepers(t, serveOn(t, other))
	setShed := func(name string) {
		view := *home.board.View() // a view is not changed once it is in use
		overloaded := view.Hosts[name]
		overloaded.ShedFraction = 1
		view.Hosts[name] = overloaded
		home.board.view.Store(&view)
	}
	setShed("a")
	own.shedder = &fixedShedder{fraction: 1}
	require.Equal(t, cell.Completed, home.Serve(t.Context(), submissionOf(home.common.Clock)).Outcome)
	require.Equal(t, 1, asked)
	setShed("b")
	answer := home.Serve(t.Context(), submissionOf(home.common.Clock))
	require.Equal(t, cell.Refused, answer.Outcome)
	require.Contains(t, answer.Reason, "falls behind")
	require.Positive(t, answer.RetryAfter)
	require.Equal(t, 1, asked)
}

// TestHeartbeatCarriesTheShedFraction checks that the shed fraction reaches the other hosts.
func TestHeartbeatCarriesTheShedFraction(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	c.load.fraction = 0.25
	require.Equal(t, 0.25, members.ownHeartbeat("b").ShedFraction)
	heartbeat := heartbeatOf(c, "b", "1")
	heartbeat.ShedFraction = 0.5
	members.handleHeartbeat(heartbeat)
	require.Equal(t, 0.5, c.board.View().Hosts["b"].ShedFraction)
	require.Equal(t, 0.25, c.board.View().Hosts["a"].ShedFraction)
}
