package cell

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mostForecastBytes bounds what a keeper may allocate for one job; the smallest hosts have 144 MB in total.
const mostForecastBytes = 1 << 20

// TestTasksThatNeedNextToNothingCostNoMemory submits jobs without a demand, or of a thousandth of a core, to a cell of
// large workers, each of which fits a million such tasks.
func TestTasksThatNeedNextToNothingCostNoMemory(t *testing.T) {
	for name, demand := range map[string]Resources{"nothing": {}, "a thousandth of a core": {Cores: 1}, "1 MiB": {Memory: 1}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorkers(48, 64, 1)
			job := h.job(8, 1, short, shortObjective, longDeadline)
			for _, task := range job.Tasks {
				task.Demand = demand
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			h.submit(job)
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(mostForecastBytes))
			h.pass(2 * short)
			require.Equal(t, "completed", h.outcome(job))
		})
	}
}

// The predicted delay is the time until the last task starts.
func TestForecastCountsEveryNeededFreeSlot(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	fits := h.job(8, 4, short, shortObjective, longDeadline)
	require.Zero(t, h.cell.predictDelay(fits, h.now))
	wider := h.job(9, 4, short, shortObjective, longDeadline)
	require.Equal(t, short, h.cell.predictDelay(wider, h.now))
	h.submit(h.job(8, 4, short, shortObjective, longDeadline))
	require.InDelta(t, short, h.cell.predictDelay(fits, h.now), float64(time.Millisecond))
	require.InDelta(t, 2*short, h.cell.predictDelay(wider, h.now), float64(time.Millisecond))
}
