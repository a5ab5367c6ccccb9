package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newHarnessWithSlowWorkers returns a harness whose fast worker is fully used for a second, with two workers that are
// eight times as slow.
func newHarnessWithSlowWorkers(t *testing.T) *harness {
	h := newHarness(t)
	h.addWorkers(2, 16, 8)
	for _, worker := range h.cell.Workers() {
		worker.slowness = average{value: 8, count: 100}
	}
	h.addWorkers(1, 16, 1)
	h.pass(250 * time.Millisecond) // the workers' clocks are read
	busy := h.job(2, 8, time.Second, 2*time.Second, 6*time.Second)
	h.submit(busy)
	require.Equal(t, "w02", busy.Tasks[0].run.Worker.ID)
	require.Equal(t, "w02", busy.Tasks[1].run.Worker.ID)
	return h
}

// The free workers are too slow for the job's objective, but not for its deadline.
func TestJobRunsLateOnFreeSlowWorkers(t *testing.T) {
	h := newHarnessWithSlowWorkers(t)
	job := h.job(4, 8, short, shortObjective, longDeadline)
	require.True(t, h.submitLate(job))
	require.Positive(t, h.cell.Worker("w00").used.Cores)
	h.pass(9 * short)
	require.Equal(t, "completed", h.outcome(job))
	require.True(t, h.cell.Worker("w00").Idle())
}

func TestJobThatWouldMissItsDeadlineIsNotStartedLate(t *testing.T) {
	h := newHarnessWithSlowWorkers(t)
	job := h.job(1, 8, short, shortObjective, 9*short)
	require.False(t, h.submitLate(job))
	require.True(t, h.cell.Worker("w00").Idle())
}

func TestJobIsNotPartlyStartedLate(t *testing.T) {
	h := newHarnessWithSlowWorkers(t)
	job := h.job(5, 8, short, shortObjective, longDeadline)
	require.False(t, h.submitLate(job), "only four tasks fit")
	require.True(t, h.cell.Worker("w00").Idle())
}

// A caller resubmits a job while the first still runs.
func TestLateJobIsRejectedWhileAnEarlierOneRuns(t *testing.T) {
	h := newHarnessWithSlowWorkers(t)
	running := h.job(1, 8, short, shortObjective, longDeadline)
	require.True(t, h.submitLate(running))
	require.False(t, h.submitLate(running))
	h.pass(9 * short)
	require.Equal(t, "completed", h.outcome(running))
}

// A late job's failed run is repeated as for any other started job.
func TestLateJobIsRepeatedAfterAFailure(t *testing.T) {
	h := newHarnessWithSlowWorkers(t)
	h.script = func(_ string, run int) (hangs, fails, lost bool) { return false, run == 1, false }
	job := h.job(1, 8, short, shortObjective, longDeadline)
	require.True(t, h.submitLate(job))
	h.pass(shortObjective + 18*short)
	require.Equal(t, "completed", h.outcome(job))
}
