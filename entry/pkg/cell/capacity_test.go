package cell

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newHeldWorker returns a cell with one worker, whose clock has been read.
func newHeldWorker(t *testing.T, cores int64) *harness {
	t.Helper()
	h := newHarness(t)
	h.addWorkers(1, cores, 1)
	h.pass(200 * time.Millisecond)
	return h
}

// TestStartsRespectAShrunkCapacity guards against a keeper that goes on filling a worker to the capacity that it had
// when it was claimed: nothing starts before what runs leaves room.
func TestStartsRespectAShrunkCapacity(t *testing.T) {
	h := newHeldWorker(t, 16)
	first := h.job(2, 7, 100*time.Millisecond, shortObjective, longDeadline)
	h.submit(first)
	h.setCapacity("w00", 8, 0)
	require.True(t, h.cell.Worker("w00").free().IsOverdrawn(), "what runs goes on")
	waiting := h.job(1, 7, short, time.Second, longDeadline)
	h.submit(waiting)
	h.pass(50 * time.Millisecond)
	require.Len(t, h.workers["w00"].running, 2)
	h.pass(80 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(first))
	require.Len(t, h.workers["w00"].running, 1)
	h.pass(short)
	require.Equal(t, "completed", h.outcome(waiting))
}

// TestStoppedRunsCountOnAShrunkWorker guards against a start beside runs that are being stopped, of which together the
// worker has more than it has left.
func TestStoppedRunsCountOnAShrunkWorker(t *testing.T) {
	h := newHeldWorker(t, 16)
	h.workers["w00"].ignoresStops = true
	first := h.job(1, 7, time.Second, 2*time.Second, 2*time.Second)
	h.submit(first)
	effects := h.cell.Cancel(first, "the caller left", h.now)
	h.setCapacity("w00", 8, 0)
	h.applyEffects(&effects)
	second := h.job(1, 7, short, time.Second, longDeadline)
	h.submit(second)
	h.pass(100 * time.Millisecond)
	require.Equal(t, "none", h.outcome(second))
	h.workers["w00"].ignoresStops = false
	h.pass(500 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(second))
}

// TestGrownCapacityIsUsedAtOnce guards against room that stays unused until the worker is claimed anew.
func TestGrownCapacityIsUsedAtOnce(t *testing.T) {
	h := newHeldWorker(t, 8)
	first := h.job(1, 7, 400*time.Millisecond, time.Second, longDeadline)
	h.submit(first)
	second := h.job(1, 7, short, time.Second, longDeadline)
	h.submit(second)
	require.Len(t, h.workers["w00"].running, 1)
	h.setCapacity("w00", 16, 0)
	require.Len(t, h.workers["w00"].running, 2)
}

// TestWaitingJobsThatFitNoWorkerAnyMoreAreRefusedAtOnce guards against callers who wait for room that no worker has any
// more. A job that has started is not refused, and ends.
func TestWaitingJobsThatFitNoWorkerAnyMoreAreRefusedAtOnce(t *testing.T) {
	h := newHeldWorker(t, 16)
	started := h.job(2, 9, 200*time.Millisecond, time.Second, longDeadline) // one task after the other
	h.submit(started)
	large := h.job(1, 9, short, time.Second, longDeadline)
	small := h.job(1, 7, short, time.Second, longDeadline)
	h.submit(large)
	h.setCapacity("w00", 8, 0)
	h.submit(small)
	require.Equal(t, "refused", h.outcome(large))
	require.Equal(t, "no worker has room for a task of this size", h.answers[large.ID].Reason)
	require.Equal(t, "none", h.outcome(started))
	h.pass(220 * time.Millisecond)
	h.setCapacity("w00", 16, 0)
	h.pass(300 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(started))
	require.Equal(t, "completed", h.outcome(small))

	h.setCapacity("w00", 8, 0)
	after := h.job(1, 9, short, shortObjective, longDeadline)
	h.submit(after)
	require.Equal(t, "refused", h.outcome(after))
	require.False(t, h.cell.CanEverRun(after))
}

// TestForecastCountsOnlyEndsThatGiveRoom guards against promises of room from runs whose ends only bring a shrunk
// worker back to its capacity, or at a worker that has become too small.
func TestForecastCountsOnlyEndsThatGiveRoom(t *testing.T) {
	h := newHeldWorker(t, 16)
	h.submit(h.job(1, 5, 100*time.Millisecond, time.Second, longDeadline))
	h.submit(h.job(1, 5, 300*time.Millisecond, time.Second, longDeadline))
	h.submit(h.job(1, 5, 500*time.Millisecond, time.Second, longDeadline))
	probe := h.job(1, 5, short, time.Second, longDeadline)
	require.Equal(t, 100*time.Millisecond, h.cell.predictDelay(probe, h.now))
	h.setCapacity("w00", 10, 0)
	require.Equal(t, 300*time.Millisecond, h.cell.predictDelay(probe, h.now))
	h.setCapacity("w00", 5, 0)
	require.Equal(t, 500*time.Millisecond, h.cell.predictDelay(probe, h.now))
	h.setCapacity("w00", 4, 0)
	require.Equal(t, unknownDelay, h.cell.predictDelay(probe, h.now))
}

// TestSlotsAgreeWithFits guards against free slots on a worker of which more is in use than it has, for tasks that do
// not use that resource.
func TestSlotsAgreeWithFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Int64Range(-3, 6)
		free := Resources{Cores: amount.Draw(t, "cores"), Memory: amount.Draw(t, "memory"), Accelerators: amount.Draw(t, "accelerators")}
		need := rapid.Int64Range(0, 3)
		demand := Resources{Cores: need.Draw(t, "cores"), Memory: need.Draw(t, "memory"), Accelerators: need.Draw(t, "accelerators")}
		require.Equal(t, free.Fits(demand), free.Slots(demand) > 0)
	})
}

// TestLoadsOfShrunkWorkersShowNoRoom guards against homes that send jobs to a cell for slots that it does not have.
func TestLoadsOfShrunkWorkersShowNoRoom(t *testing.T) {
	h := newHeldWorker(t, 16)
	require.Equal(t, []Load{{Group: "desk", FreeSlots: 1}}, h.cell.Loads(h.now), "the demand of tasks is unknown")
	h.setCapacity("w00", 0, 0)
	require.Equal(t, []Load{{Group: "desk"}}, h.cell.Loads(h.now))
	h.setCapacity("w00", 16, 0)
	h.submit(h.job(2, 7, time.Second, 2*time.Second, longDeadline))
	h.setCapacity("w00", 8, 0)
	require.Equal(t, []Load{{Group: "desk"}}, h.cell.Loads(h.now))
}

// TestWorkerOfAnotherKindIsNotExpectedToBeAsSlow guards against the speed of one machine that is kept for another.
func TestWorkerOfAnotherKindIsNotExpectedToBeAsSlow(t *testing.T) {
	h := newHeldWorker(t, 16)
	worker := h.cell.Worker("w00")
	worker.slowness = average{value: 4, count: 10}
	entry := *worker
	entry.Kind, entry.Rack, entry.Group = "fast", "r2", "other"
	_, changed := h.cell.Update(worker, &entry, h.now)
	require.True(t, changed)
	require.InDelta(t, 1, h.cell.speeds.slowness(worker), 0)
	require.Equal(t, []string{"fast", "r2", "other"}, []string{worker.Kind, worker.Rack, worker.Group})
	_, changed = h.cell.Update(worker, &entry, h.now)
	require.False(t, changed)
}

// TestLargestCapacitiesAddUp guards against a load below zero, or a lower one than that of a small cell, from slots whose
// sum overflows.
func TestLargestCapacitiesAddUp(t *testing.T) {
	const workers = 1 << 20
	largest := Resources{Cores: maxCapacity, Memory: maxCapacity, Accelerators: maxCapacity}
	require.NoError(t, largest.CheckCapacity())
	total := Resources{}
	slots := 0
	for range workers {
		total = total.Plus(largest)
		slots += largest.Slots(Resources{Cores: 1, Memory: 1, Accelerators: 1})
	}
	require.EqualValues(t, workers*maxCapacity, total.Cores)
	require.EqualValues(t, workers*maxCapacity, slots)
	for _, impossible := range []Resources{{Cores: maxCapacity + 1}, {Memory: math.MaxInt64}, {Accelerators: -1}} {
		require.Error(t, impossible.CheckCapacity())
	}
}
