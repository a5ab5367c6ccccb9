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
