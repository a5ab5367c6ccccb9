package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCrashedRunsAreToldFromSilentOnes guards against lost runs that are all called lapsed, whatever their worker did; the
// evidence of a crash does not shorten the wait for the lease.
func TestCrashedRunsAreToldFromSilentOnes(t *testing.T) {
	for _, test := range []struct {
		refuses bool
		want    string
	}{{true, "crashed"}, {false, "lapsed"}} {
		h := newHarness(t)
		h.addWorkers(1, 16, 1)
		h.pass(200 * time.Millisecond) // until the worker's clock is known
		job := h.job(2, 5, veryLong, 2*veryLong, 2*veryLong)
		h.submit(job)
		sim, worker := h.workers["w00"], h.cell.Worker("w00")
		sim.unresponsive = true
		h.pass(step)
		if test.refuses {
			crashes := h.cell.HandleCrash(worker, ConnectionRefused, h.now).Crashes
			require.Equal(t, []CrashedWorker{{Worker: "w00", Evidence: ConnectionRefused, Tasks: []string{"j0001.0", "j0001.1"}}}, crashes)
			require.Empty(t, h.cell.HandleCrash(worker, ConnectionRefused, h.now).Crashes, "the same crash")
		}
		h.pass(900 * time.Millisecond)
		require.Empty(t, job.Diagnostics.EndedRuns, "the lease has not lapsed")
		require.Len(t, worker.runs, 2)
		h.pass(300 * time.Millisecond)
		require.Len(t, job.Diagnostics.EndedRuns, 2)
		for _, end := range job.Diagnostics.EndedRuns {
			require.Equal(t, test.want, end.Result)
		}
	}
}

// TestReportOfAnotherIncarnationIsEvidenceOfACrash guards against workers that are back before a connection to them was
// refused.
func TestReportOfAnotherIncarnationIsEvidenceOfACrash(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond) // until the worker's clock is known
	job := h.job(1, 5, veryLong, 2*veryLong, 2*veryLong)
	h.submit(job)
	sim, worker := h.workers["w00"], h.cell.Worker("w00")
	h.now = h.now.Add(step)
	report := func() []CrashedWorker {
		return h.cell.HandleReport(worker, sim.hold(worker.AckedSequence(), 0, h.now), h.now, h.now).Crashes
	}
	require.Empty(t, report(), "the same incarnation")
	sim.restart(h.now)
	require.Equal(t, []CrashedWorker{{Worker: "w00", Evidence: AnotherIncarnation, Tasks: []string{"j0001.0"}}}, report())
	require.Equal(t, "crashed", job.Diagnostics.EndedRuns[0].Result)
	require.Empty(t, report())
	h.cell.MarkUnresponsive(worker)
	require.Len(t, h.cell.HandleCrash(worker, ConnectionRefused, h.now).Crashes, 1)
	sim.restart(h.now)
	require.Empty(t, report(), "the crash is known already")
}

// TestWorkerThatWasNeverHeardDoesNotCrash guards against counting the addresses of workers that are gone.
func TestWorkerThatWasNeverHeardDoesNotCrash(t *testing.T) {
	h := newHarness(t)
	worker := &Worker{ID: "w", Group: "desk"}
	h.cell.Add(worker)
	h.cell.MarkUnresponsive(worker)
	require.Empty(t, h.cell.HandleCrash(worker, ConnectionRefused, h.now).Crashes)
}
