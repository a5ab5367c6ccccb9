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

// fixedShedder is a process that has to turn a part of the jobs away that the test sets.
type fixedShedder struct{ fraction float64 }

// Shed implements Shedder.
func (f *fixedShedder) Shed() float64 { return f.fraction }

// TestJobsAreTurnedAwayWhileTimersComeLate has more work than processor for a while, and a pause of the process.
func TestJobsAreTurnedAwayWhileTimersComeLate(t *testing.T) {
	lag := NewLagController(newClaimant("a", north).common)
	for range 100 {
		lag.measured(time.Millisecond)
	}
	require.Zero(t, lag.Shed())
	for range 100 {
		lag.measured(2 * lagTarget)
	}
	require.InDelta(t, 1, lag.Shed(), 0.001)
	for range 60 {
		lag.measured(0)
	}
	require.Zero(t, lag.Shed())
	lag.measured(10 * time.Second)
	lag.measured(0)
	lag.measured(0)
	require.Less(t, lag.Shed(), 0.1, "after a pause the process is on time again")
}

// TestShortBurstsOfWorkTurnNobodyAway has a process be late for a moment now and then, as after its start.
func TestShortBurstsOfWorkTurnNobodyAway(t *testing.T) {
	lag := NewLagController(newClaimant("a", north).common)
	for range 10 {
		for range 6 {
			lag.measured(5 * lagTarget)
			require.Zero(t, lag.Shed())
		}
		for range 40 {
			lag.measured(0)
		}
	}
}

// TestSaturatedKeeperDeclinesAtOnce has a keeper be offered more than its processor carries: it takes no job that it could
// not see to, so that it stays in touch with the homes of those that it has.
func TestSaturatedKeeperDeclinesAtOnce(t *testing.T) {
	c := newClaimant("a", north)
	c.load.fraction = 1
	response, err := c.keeper.Run(t.Context(), &peer.RunRequest{ID: "1", Home: "a"})
	require.NoError(t, err)
	require.True(t, response.Declined)
	require.Equal(t, "the keeper falls behind", response.Reason)
}

// TestSaturatedKeeperIsNotAsked has the place's own keeper tell that it falls behind, and then all of them: the job goes to
// another place, and in the end is refused at once, without a call.
func TestSaturatedKeeperIsNotAsked(t *testing.T) {
	asked := 0
	other := peer.NewServer()
	peer.Handle(other, peer.MethodRun, func(context.Context, *peer.RunRequest) (*peer.RunResponse, error) {
		asked++
		return &peer.RunResponse{Outcome: cell.Completed}, nil
	})
	home, own := twoKeepers(t, serveOn(t, other))
	setShed := func(name string) {
		view := home.board.View()
		busy := view.Hosts[name]
		busy.ShedFraction = 1
		view.Hosts[name] = busy
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

// TestHeartbeatTellsWhatIsTurnedAway has the part reach the others.
func TestHeartbeatTellsWhatIsTurnedAway(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	c.load.fraction = 0.25
	require.Equal(t, 0.25, members.ownHeartbeat().ShedFraction)
	pulse := heartbeatOf(c, "b", "1")
	pulse.ShedFraction = 0.5
	members.handleHeartbeat(pulse)
	require.Equal(t, 0.5, c.board.View().Hosts["b"].ShedFraction)
	require.Equal(t, 0.25, c.board.View().Hosts["a"].ShedFraction)
}
