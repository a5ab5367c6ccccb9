package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRunForAHomeThatHasFallenSilentEndsBeforeItsCallerResubmits guards against a start on a worker whose lease was
// renewed for other jobs beyond the time that is left for this one, when the keeper is lost after the start too.
func TestRunForAHomeThatHasFallenSilentEndsBeforeItsCallerResubmits(t *testing.T) {
	for _, drift := range []float64{0.98, 1, 1.02} {
		h := newHarness(t)
		h.addWorkers(1, 16, 1)
		sim := h.workers["w00"]
		sim.drift = drift
		h.submit(h.job(1, 5, veryLong, 2*veryLong, 2*veryLong))
		busy := h.job(1, 9, time.Second, 2*veryLong, 2*veryLong)
		h.submit(busy)
		h.pass(600 * time.Millisecond)
		job := h.job(1, 9, veryLong, 2*veryLong, 2*veryLong)
		job.Home = "silent"
		h.submit(job)
		silentSince := h.now
		h.silentHomes = map[string]time.Time{"silent": silentSince}
		h.pass(failAfter)
		require.Equal(t, "completed", h.outcome(busy))
		h.unreachable = true // the keeper is lost
		h.pass(silentSince.Add(resendAfter).Sub(h.now))
		require.NotContains(t, sim.running, runKey{job.Tasks[0].Name, 1})
	}
}

// TestJobStartsOnceItsHomeIsHeardAgain checks that a start that was put off for a silent home follows at once.
func TestJobStartsOnceItsHomeIsHeardAgain(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.submit(h.job(1, 5, veryLong, 2*veryLong, 2*veryLong))
	h.submit(h.job(1, 9, 300*time.Millisecond, 2*veryLong, 2*veryLong))
	job := h.job(1, 9, veryLong, 2*veryLong, 2*veryLong)
	job.Home = "silent"
	h.submit(job)
	behind := h.job(1, 2, veryLong, 3*veryLong, 3*veryLong)
	h.silentHomes = map[string]time.Time{"silent": h.now}
	h.pass(400 * time.Millisecond)
	require.False(t, job.Started())
	h.submit(behind)
	require.True(t, behind.Started(), "a job whose home is well does not wait")
	h.silentHomes = nil
	h.pass(2 * step)
	require.True(t, job.Started())
}

// TestLeaseOfAnEarlierKeeperCountsForTheRunsOfTheNext guards against taking a worker's lease for that which this keeper has
// sent: the keeper before it renewed the lease until the worker was taken over.
func TestLeaseOfAnEarlierKeeperCountsForTheRunsOfTheNext(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.submit(h.job(1, 5, time.Minute, time.Hour, time.Hour))
	h.pass(600 * time.Millisecond)
	next := newHarness(t)
	next.now, next.workers = h.now, h.workers
	next.tokens["w00"] = 1
	next.cell.Add(&Worker{ID: "w00", Group: "desk", Capacity: h.workers["w00"].capacity})
	next.hold("w00") // lists the earlier keeper's run, which is stopped
	next.hold("w00")
	job := next.jobNamed("another", 1, 5, time.Minute, time.Hour, time.Hour)
	job.Home, job.WantedAt = "silent", next.now.Add(-failAfter) // the request was delivered late
	next.silentHomes = map[string]time.Time{"silent": job.WantedAt}
	next.submit(job)
	next.unreachable = true
	next.pass(resendAfter - failAfter)
	require.NotContains(t, next.workers["w00"].running, runKey{job.Tasks[0].Name, 1})
}

// TestLeaseEndsInTimeOnASlowClockThatWasReadLongAgo guards against counting what has passed since a worker's clock was read at
// the full rate: calls may go on for 0.65 s.
func TestLeaseEndsInTimeOnASlowClockThatWasReadLongAgo(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	worker, sim := h.cell.Worker("w00"), h.workers["w00"]
	sim.drift = minClockRate
	h.pass(400 * time.Millisecond)
	h.submit(h.job(1, 5, veryLong, 2*veryLong, 2*veryLong))
	h.hold("w00")
	silentSince := h.now
	h.silentHomes = map[string]time.Time{"home": silentSince}
	deadline := silentSince.Add(resendAfter - endMargin)
	h.now = h.now.Add(650 * time.Millisecond)
	lease, ok := worker.Lease(h.now, simLease)
	require.True(t, ok)
	require.LessOrEqual(t, lease, sim.clock(deadline))
	require.Greater(t, lease, sim.clock(deadline)-10*time.Millisecond, "no shorter than needed")
}

// TestUnconfirmedStopOfAFailedJobDoesNotEndItsNeighbours guards against ending a worker's lease for a job that has failed, whose
// caller has its answer and does not send it again.
func TestUnconfirmedStopOfAFailedJobDoesNotEndItsNeighbours(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond)
	h.script = func(task string, _ int) (hangs, fails, lost bool) { return false, task == "j0002.0", false }
	neighbour := h.job(1, 5, veryLong, 2*veryLong, 2*veryLong)
	h.submit(neighbour)
	failing := h.job(2, 5, veryLong, 2*veryLong, 2*veryLong)
	failing.Attempts = 1
	h.runTimes[failing.ID] = time.Second
	h.workers["w00"].ignoresStops = true
	h.submit(failing)
	h.workers["w00"].running[runKey{"j0002.1", 1}].until = h.now.Add(veryLong)
	h.pass(4 * time.Second)
	require.Equal(t, "failed", h.outcome(failing))
	require.Equal(t, 1, neighbour.Tasks[0].runs)
}

// TestUnconfirmedStopOfAFailedJobOfAFailedHomeEndsInTime guards against a run that goes on although the home failed before it
// passed the answer on, so that the caller resubmits the job.
func TestUnconfirmedStopOfAFailedJobOfAFailedHomeEndsInTime(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond)
	h.script = func(task string, _ int) (hangs, fails, lost bool) { return false, task == "j0001.0", false }
	failing := h.job(2, 5, veryLong, 2*veryLong, 2*veryLong)
	failing.Attempts = 1
	h.runTimes[failing.ID] = time.Second
	sim := h.workers["w00"]
	sim.ignoresStops = true
	h.submit(failing)
	sim.running[runKey{"j0001.1", 1}].until = h.now.Add(veryLong)
	h.pass(1100 * time.Millisecond)
	require.Equal(t, "failed", h.outcome(failing))
	h.silentHomes = map[string]time.Time{"home": h.now}
	h.pass(resendAfter)
	require.Empty(t, sim.running)
}
