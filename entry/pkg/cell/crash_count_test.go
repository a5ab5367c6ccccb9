package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestJobIsFailedOnceTwoWorkersCrashedUnderATask guards against a task that crashes worker after worker: each crash counts
// when it is seen, whatever the worker answered to the start, and the other runs of the job are stopped.
func TestJobIsFailedOnceTwoWorkersCrashedUnderATask(t *testing.T) {
	for _, result := range []StartResult{StartAccepted, StartUnconfirmed} {
		h := newHarness(t)
		h.crashStart = result
		h.addWorkers(6, 16, 1)
		h.pass(200 * time.Millisecond) // until the workers' clocks are known
		h.crashes["j0001.0"] = true
		job := h.job(2, 12, 10*time.Second, veryLong, veryLong)
		h.submit(job)
		h.pass(time.Second)
		require.Equal(t, 1, h.starts["j0001.0"], "the lease has not lapsed")
		require.Equal(t, "none", h.outcome(job))
		h.pass(200 * time.Millisecond)
		require.Equal(t, 2, h.starts["j0001.0"])
		require.Equal(t, "failed", h.outcome(job), "before the second lease has lapsed")
		h.pass(100 * time.Millisecond)
		for _, sim := range h.workers {
			require.Empty(t, sim.running)
		}
		h.pass(10 * time.Second)
		require.Equal(t, 2, h.starts["j0001.0"])
		require.Empty(t, h.cell.byID)
	}
}

// TestSilentWorkersDoNotFailAJob guards against giving a task up because its workers were cut off.
func TestSilentWorkersDoNotFailAJob(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(4, 16, 1)
	h.pass(200 * time.Millisecond) // until the workers' clocks are known
	job := h.job(1, 5, time.Second, veryLong, veryLong)
	h.submit(job)
	for range 3 {
		require.NotNil(t, job.Tasks[0].run)
		h.workers[job.Tasks[0].run.Worker.ID].unresponsive = true
		h.pass(1200 * time.Millisecond)
		require.Equal(t, "none", h.outcome(job))
	}
	h.pass(time.Second)
	require.Equal(t, "completed", h.outcome(job))
}

// TestResubmittedJobKeepsItsCountOfCrashes guards against counting from zero when the caller sends the job anew while its
// last run is still accounted for.
func TestResubmittedJobKeepsItsCountOfCrashes(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(6, 16, 1)
	h.pass(200 * time.Millisecond) // until the workers' clocks are known
	h.crashes["j.0"] = true
	for range 4 {
		job := h.jobNamed("j", 1, 5, short, veryLong, veryLong)
		h.submit(job)
		h.pass(700 * time.Millisecond)
	}
	require.Equal(t, 2, h.starts["j.0"])
	require.Equal(t, Failed, h.answers["j"].Outcome)
}

// TestCrashDoesNotCountForAStartThatWasNotSent guards against blaming a task whose start was under way when its worker
// crashed under another one.
func TestCrashDoesNotCountForAStartThatWasNotSent(t *testing.T) {
	for result, want := range map[StartResult]int{StartUndelivered: 0, StartRejected: 0, StartAccepted: 1, StartUnconfirmed: 1} {
		h := newHarness(t)
		h.addWorkers(1, 16, 1)
		h.pass(200 * time.Millisecond) // until the worker's clock is known
		job := h.job(1, 5, time.Second, veryLong, veryLong)
		effects := h.cell.Submit(job, h.now)
		worker := effects.Starts[0].Run.Worker
		h.cell.MarkUnresponsive(worker)
		h.cell.HandleCrash(worker, ConnectionRefused, h.now)
		require.Zero(t, job.Tasks[0].crashes, "the call has no result yet")
		h.cell.HandleStartResult(effects.Starts[0].Run, result, h.now)
		require.Equal(t, want, job.Tasks[0].crashes, result)
	}
}
