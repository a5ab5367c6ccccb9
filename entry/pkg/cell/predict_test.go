package cell

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mostForecastBytes bounds what one job may make its keeper allocate; the smallest hosts have 144 MB for everything.
const mostForecastBytes = 1 << 20

// TestTasksThatNeedNextToNothingCostNoMemory has callers send jobs without a size, or of a thousandth of a core, to a cell of
// large workers: each has room for a million of them.
func TestTasksThatNeedNextToNothingCostNoMemory(t *testing.T) {
	for name, need := range map[string]Resources{"nothing": {}, "a thousandth of a core": {Cores: 1}, "1 MiB": {Memory: 1}} {
		t.Run(name, func(t *testing.T) {
			o := newOffice(t)
			o.addWorkers(48, 64, 1)
			job := o.job(8, 1, short, usual, patient)
			for _, task := range job.Tasks {
				task.Demand = need
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			o.submit(job)
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(mostForecastBytes))
			o.pass(2 * short)
			require.Equal(t, "completed", o.outcome(job))
		})
	}
}

// TestForecastCountsEveryFreePlaceThatIsNeeded has jobs wait for others of their size: what is foreseen is when the last task starts.
func TestForecastCountsEveryFreePlaceThatIsNeeded(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(2, 16, 1)
	fits := o.job(8, 4, short, usual, patient)
	require.Zero(t, o.cell.predict(fits, o.now))
	wider := o.job(9, 4, short, usual, patient)
	require.Equal(t, short, o.cell.predict(wider, o.now))
	o.submit(o.job(8, 4, short, usual, patient))
	require.InDelta(t, short, o.cell.predict(fits, o.now), float64(time.Millisecond))
	require.InDelta(t, 2*short, o.cell.predict(wider, o.now), float64(time.Millisecond))
}
