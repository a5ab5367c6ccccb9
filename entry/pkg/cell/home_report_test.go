package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestJobWhoseCallIsNoLongerOpenIsAbandoned guards against running a job on after the cancellation of its home's call was
// lost with the connection.
func TestJobWhoseCallIsNoLongerOpenIsAbandoned(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	jobs := make([]*Job, 3)
	for i := range jobs {
		jobs[i] = h.job(1, 5, veryLong, 2*veryLong, 2*veryLong)
		jobs[i].Call = int64(i + 1)
		jobs[i].SentAt = h.now.Add(time.Duration(i) * time.Second)
		jobs[i].WantedAt = h.now
		h.submit(jobs[i])
	}
	report := HomeReport{
		Home:        "home",
		Incarnation: "incarnation",
		Sent:        jobs[2].SentAt, // the third call was made after the list
		WantedAt:    map[int64]time.Time{1: h.now},
	}
	effects := h.cell.HandleHomeReport(&report, h.now)
	h.applyEffects(&effects)
	require.Equal(t, "none", h.outcome(jobs[0]))
	require.Equal(t, "abandoned", h.outcome(jobs[1]))
	require.Equal(t, "none", h.outcome(jobs[2]))
	other := report
	other.Incarnation = "another"
	other.WantedAt = nil
	effects = h.cell.HandleHomeReport(&other, h.now)
	require.Empty(t, effects.Answers)
}

// TestForwardedJobEndsBeforeItsCallerResubmits guards against leases that count from the heartbeats of the keeper that
// forwarded a job, although the home where the caller waits has failed.
func TestForwardedJobEndsBeforeItsCallerResubmits(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond) // until the worker's clock is known
	job := h.job(1, 5, veryLong, 2*veryLong, 2*veryLong)
	job.Call, job.SentAt, job.WantedAt = 1, h.now, h.now
	h.submit(job)
	failed := h.now
	for h.now.Sub(failed) < resendAfter {
		report := HomeReport{Home: "home", Incarnation: "incarnation", Sent: h.now, WantedAt: map[int64]time.Time{1: failed}}
		effects := h.cell.HandleHomeReport(&report, h.now)
		h.applyEffects(&effects)
		h.pass(100 * time.Millisecond)
	}
	require.Empty(t, h.workers["w00"].running)
}

// TestNoStartIsSentWithAnEndedLease guards against starts that every worker rejects as late, of a job whose caller was last known
// to wait 1.3 s ago.
func TestNoStartIsSentWithAnEndedLease(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(4, 16, 1)
	h.pass(200 * time.Millisecond)
	job := h.job(1, 5, time.Second, time.Minute, time.Minute)
	job.Call, job.SentAt, job.WantedAt = 1, h.now, h.now.Add(-resendAfter)
	starts := 0
	for effects := []Effects{h.cell.Submit(job, h.now)}; len(effects) > 0; effects = effects[1:] {
		for _, start := range effects[0].Starts {
			starts++
			require.Greater(t, start.Lease, h.workers[start.Run.Worker.ID].clock(h.now), "start %d", starts)
		}
	}
}

// TestJobWhoseCallerIsNotHeardDoesNotEndItsNeighbours guards against a worker whose lease ends with all its runs because the home
// of one forwarded job is not heard by its forwarder.
func TestJobWhoseCallerIsNotHeardDoesNotEndItsNeighbours(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.pass(200 * time.Millisecond)
	neighbours := make([]*Job, 4)
	for i := range neighbours {
		neighbours[i] = h.job(1, 5, 20*time.Second, time.Minute, time.Minute)
		h.submit(neighbours[i])
	}
	forwarded := h.job(1, 5, 4*time.Second, time.Minute, time.Minute)
	forwarded.Call, forwarded.SentAt, forwarded.WantedAt = 1, h.now, h.now
	wanted := h.now
	h.submit(forwarded)
	for range 100 {
		report := HomeReport{Home: "home", Incarnation: "incarnation", Sent: h.now, WantedAt: map[int64]time.Time{1: wanted}}
		effects := h.cell.HandleHomeReport(&report, h.now)
		h.applyEffects(&effects)
		h.pass(100 * time.Millisecond)
	}
	t.Logf("after 10 s: %s, starts of the forwarded task: %d", h.outcome(forwarded), forwarded.Tasks[0].runs)
	for _, job := range neighbours {
		require.Equal(t, 1, job.Tasks[0].runs, "starts of %s", job.ID)
	}
}

// TestPausedKeeperDoesNotAbandonTheJobsOfItsHomes guards against taking a pause of the keeper's own process for the silence of
// its homes.
func TestPausedKeeperDoesNotAbandonTheJobsOfItsHomes(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond)
	job := h.job(1, 5, veryLong, 2*veryLong, 2*veryLong)
	job.Call, job.SentAt, job.WantedAt = 1, h.now, h.now
	h.submit(job)
	h.now = h.now.Add(900 * time.Millisecond)
	effects := h.cell.Tick(h.now)
	require.Empty(t, effects.Answers)
	h.pass(failAfter)
	require.False(t, job.Decided())
	h.pass(failAfter)
	require.Equal(t, "abandoned", h.outcome(job), "not heard since the pause either")
}
