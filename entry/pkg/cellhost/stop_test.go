package cellhost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/queues"
)

func shortSubmission(id string, estimate time.Duration, deadline time.Time) *Submission {
	return &Submission{ID: id, Queue: &queues.Queue{Name: "q"}, Tasks: []SubmittedTask{{Estimate: estimate}}, Deadline: deadline}
}

// TestStoppingHomeTakesOnlyWhatItCanEnd guards against jobs that a host takes shortly before it is gone.
func TestStoppingHomeTakesOnlyWhatItCanEnd(t *testing.T) {
	c, _, home := callsFixture(t)
	now := c.clock.Now()
	latest := now.Add(time.Second - answerMargin)
	for name, test := range map[string]struct {
		estimate, patience time.Duration
		stopped            bool
		deadline           time.Time // zero: refused
	}{
		"ends before its own deadline": {100 * time.Millisecond, 500 * time.Millisecond, false, now.Add(500 * time.Millisecond)},
		"ends before the stop":         {500 * time.Millisecond, 5 * time.Second, false, latest},
		"needs longer":                 {time.Second, 5 * time.Second, false, time.Time{}},
		"comes after the stop":         {0, 500 * time.Millisecond, true, time.Time{}},
	} {
		t.Run(name, func(t *testing.T) {
			home.stopsAt, home.stopped = now.Add(time.Second), test.stopped
			submission := shortSubmission(name, test.estimate, now.Add(test.patience))
			limited, added := home.addJob(submission, func(error) {})
			require.True(t, added)
			if test.deadline.IsZero() {
				require.Nil(t, limited)
				require.Zero(t, home.OpenJobs())
				answer := home.Serve(t.Context(), submission)
				require.Equal(t, cell.Refused, answer.Outcome)
				require.Positive(t, answer.RetryAfter)
				return
			}
			require.Equal(t, test.deadline, limited.Deadline)
			home.removeJob(submission.ID)
		})
	}
	home.stopsAt, home.stopped = time.Time{}, false
	submission := shortSubmission("j", time.Hour, now.Add(2*time.Hour))
	limited, _ := home.addJob(submission, func(error) {})
	require.Same(t, submission, limited)
}

func TestJobsThatAreOpenAtTheStopAreAbandoned(t *testing.T) {
	c, _, home := callsFixture(t)
	ctx, cancel := context.WithCancelCause(t.Context())
	_, added := home.addJob(shortSubmission("j", time.Second, c.clock.Now().Add(time.Minute)), cancel)
	require.True(t, added)
	home.StopAt(c.clock.Now().Add(time.Second))
	require.NoError(t, ctx.Err())
	require.Equal(t, 1, home.AbandonJobs())
	require.ErrorIs(t, context.Cause(ctx), errStopping)
}

// remoteRequest is a request of host "b" for a job of one task.
func remoteRequest(c *claimant, id string, estimate time.Duration) *peer.RunRequest {
	now := c.clock.Now()
	return &peer.RunRequest{
		ID: id, Home: "b", HomeIncarnation: "1", KeeperIncarnation: c.common.Incarnation, Group: "desk", Mode: peer.RunHere,
		Arrived: now.UnixNano(), Objective: now.Add(time.Minute).UnixNano(), Deadline: now.Add(time.Minute).UnixNano(),
		Tasks: []peer.RunTask{{Name: id + ".0", Need: cell.Resources{Cores: 1000, Memory: 1}, Estimate: int64(estimate)}},
	}
}

// TestLeavingKeeperGivesBackWhatItCannotEnd guards against a final refusal, or a lost job, of a home that has other keepers.
func TestLeavingKeeperGivesBackWhatItCannotEnd(t *testing.T) {
	c, _, _ := callsFixture(t)
	c.keeper.cell.Add(&cell.Worker{ID: "w", Group: "desk", Capacity: cell.Resources{Cores: 1000, Memory: 1}})
	c.keeper.StopAt(c.clock.Now().Add(time.Second))
	response, err := c.keeper.Run(t.Context(), remoteRequest(c, "long", 2*time.Second))
	require.NoError(t, err)
	require.True(t, response.Declined, response)

	c.keeper.cell.Remove("w", c.clock.Now())
	response, err = c.keeper.Run(t.Context(), remoteRequest(c, "short", 100*time.Millisecond))
	require.NoError(t, err)
	require.True(t, response.Declined, response)
}

func TestJobsOfOtherHomesEndWhenTheirKeeperStops(t *testing.T) {
	c, _, _ := callsFixture(t)
	c.keeper.cell.Add(&cell.Worker{ID: "w", Group: "desk", Capacity: cell.Resources{Cores: 1000, Memory: 1}})
	var answers []chan *cell.Answer
	submit := func(id string) {
		job, reason := c.keeper.newJob(remoteRequest(c, id, 100*time.Millisecond))
		require.Empty(t, reason)
		require.True(t, c.keeper.limitToStop(job))
		submitted, err := c.keeper.submit(t.Context(), job, false)
		require.NoError(t, err)
		answers = append(answers, submitted)
	}
	submit("before")
	c.keeper.StopAt(c.clock.Now().Add(time.Second))
	submit("after")
	c.clock.Advance(900 * time.Millisecond)
	c.keeper.tick()
	c.clock.Advance(100 * time.Millisecond)
	c.keeper.tick()
	for _, each := range answers {
		require.Len(t, each, 1)
		require.NotEqual(t, cell.Completed, (<-each).Outcome)
	}
	require.True(t, c.keeper.IsIdle())
}

// TestJobThatIsQueuedAfterTheStopBeganEndsWithIt guards against a job that came before the stop and is queued only then, as after
// it was offered to other keepers: its home would wait until the connection is cut.
func TestJobThatIsQueuedAfterTheStopBeganEndsWithIt(t *testing.T) {
	c, _, _ := callsFixture(t)
	c.keeper.cell.Add(&cell.Worker{ID: "w", Group: "desk", Capacity: cell.Resources{Cores: 1000, Memory: 1}})
	job, reason := c.keeper.newJob(remoteRequest(c, "j", 100*time.Millisecond))
	require.Empty(t, reason)
	require.True(t, c.keeper.limitToStop(job))
	c.keeper.StopAt(c.clock.Now().Add(time.Second))
	answers, err := c.keeper.submit(t.Context(), job, false)
	require.NoError(t, err)
	c.clock.Advance(time.Second)
	c.keeper.tick()
	require.Len(t, answers, 1)
	require.Equal(t, cell.Refused, (<-answers).Outcome)
}

// TestLeavingKeeperTakesBackNoWorkersOfALaterOne guards against two leaving keepers that take the workers from each other, and
// end what runs there, once the successor of the first is told to stop as well.
func TestLeavingKeeperTakesBackNoWorkersOfALaterOne(t *testing.T) {
	workers := &scriptedWorker{holds: make(chan heldCall, 10)}
	c := newClaimant("a", north)
	c.keeper.workers = workers
	c.directory.Apply(&DirectoryChange{Entries: listedEntries(workerInfos("w1", "w2")), Snapshot: true, Next: 1})
	c.board.Draining.Store(true)
	mine := peer.Claim{Cell: northCell, CellCount: 1, Epoch: 1}
	c.board.claims.Store(&[]peer.Claim{mine})
	for name, test := range map[string]struct {
		epoch int64
		alive bool
		takes bool
	}{
		"a later keeper that leaves too":    {epoch: 2, alive: true, takes: false},
		"an earlier keeper that leaves too": {epoch: 0, alive: true, takes: true},
		"a later keeper that is gone":       {epoch: 2, alive: false, takes: true},
	} {
		t.Run(name, func(t *testing.T) {
			c.addHost("a", north, 1, mine)
			c.addHost("b", north, 1, peer.Claim{Cell: northCell, CellCount: 1, Epoch: test.epoch})
			other := c.view.Hosts["b"]
			other.Leaving, other.Alive = true, test.alive
			c.view.Hosts["b"] = other
			view := newClaimsView(c.view)
			c.keeper.Sync(c.wanted([]peer.Claim{mine}, view), c.board.Workers(), c.view, c.isSucceeded([]peer.Claim{mine}, view))
			if !test.takes {
				require.Empty(t, c.keeper.heldWorkers())
				return
			}
			require.Len(t, c.keeper.heldWorkers(), 2)
			other.Alive, other.Claims[0].Epoch = true, 2
			c.view.Hosts["b"] = other
			view = newClaimsView(c.view)
			c.keeper.Sync(c.wanted([]peer.Claim{mine}, view), c.board.Workers(), c.view, false)
			require.Len(t, c.keeper.heldWorkers(), 2, "what it still holds it keeps")
			c.keeper.findLoop("w1").heldByOther.Store(true)
			c.keeper.Sync(c.wanted([]peer.Claim{mine}, view), c.board.Workers(), c.view, false)
			require.Equal(t, []string{"w2"}, c.keeper.heldWorkers(), "what the later keeper has taken it gives up")
			for _, id := range c.keeper.heldWorkers() {
				c.keeper.dropWorker(id)
			}
		})
	}
}

// heldForwarder is another keeper, whose answer the test gives.
type heldForwarder struct{ answer chan *peer.RunResponse }

func (f *heldForwarder) Forward(context.Context, string, *peer.RunRequest, peer.RunMode) (*peer.RunResponse, bool) {
	return <-f.answer, true
}

// TestForwarderIsNotIdleWhileAForwardedJobRuns guards against a host that leaves, and so ends the call of the job's home, while the
// job runs at the keeper that took it.
func TestForwarderIsNotIdleWhileAForwardedJobRuns(t *testing.T) {
	c, _, _ := callsFixture(t)
	c.keeper.cell.Add(&cell.Worker{ID: "w", Group: "desk", Capacity: cell.Resources{Cores: 1000, Memory: 1}})
	other := &heldForwarder{answer: make(chan *peer.RunResponse)}
	c.keeper.SetForwarder(other)
	require.True(t, c.keeper.IsIdle())
	answered := make(chan *peer.RunResponse, 1)
	go func() {
		request := remoteRequest(c, "j", 100*time.Millisecond)
		request.Mode = peer.RunAnywhere
		response, _ := c.keeper.Run(t.Context(), request)
		answered <- response
	}()
	require.Eventually(t, func() bool { return !c.keeper.IsIdle() }, time.Second, time.Millisecond)
	other.answer <- &peer.RunResponse{Outcome: cell.Completed}
	require.Equal(t, cell.Completed, (<-answered).Outcome)
	require.True(t, c.keeper.IsIdle())
}

func (*heldForwarder) RoomElsewhere(string, string) int { return 0 }
