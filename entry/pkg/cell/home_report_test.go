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
