package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateStartAtARestartedWorkerIsRejected guards against a start whose answer was lost and that a worker carries out after
// it has started anew under its ID: it has no tombstone and has seen no token, and the lease is not past on its new clock.
func TestLateStartAtARestartedWorkerIsRejected(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.tokens["w00"], h.tokens["w01"] = tokenStep, tokenStep
	h.pass(4 * time.Second) // the lease's end on the earlier clock is far ahead of the new one
	h.script = func(_ string, run int) (hangs, fails, lost bool) { return false, false, run == 1 }
	job := h.job(1, 5, veryLong, 2*veryLong, 2*veryLong)
	h.submit(job)
	require.Len(t, h.late, 1)
	first := h.late[0].start.Run.Worker.ID
	h.pass(step)
	h.workers[first].restart(h.now)
	h.pass(2 * time.Second) // the task has started elsewhere or anew, and then the first start arrives
	require.Empty(t, h.late)
	running := 0
	for _, sim := range h.workers {
		running += len(sim.running)
	}
	require.Equal(t, 1, running)
}

// TestUnconfirmedStartIsSettledOnceTheRestartedWorkerHasTheRaisedToken checks that the task waits for no longer than that,
// and that a start which was decided before the restart is not sent with the raised token.
func TestUnconfirmedStartIsSettledOnceTheRestartedWorkerHasTheRaisedToken(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	worker, sim := h.cell.Worker("w00"), h.workers["w00"]
	job := h.job(1, 5, veryLong, 2*veryLong, 2*veryLong)
	effects := h.cell.Submit(job, h.now)
	require.Len(t, effects.Starts, 1)
	run := effects.Starts[0].Run
	sim.restart(h.now)
	report := sim.hold(0, 0, h.now)
	require.True(t, worker.HasRestarted(report))
	h.cell.HandleRestart(worker, report, h.now)
	require.False(t, worker.HasRestarted(report))
	require.False(t, worker.Held())
	require.True(t, run.Fenced())
	require.False(t, run.Finished())
	effects = h.cell.HandleReport(worker, report, h.now, h.now)
	require.True(t, run.Finished())
	require.Len(t, effects.Starts, 1)
	require.False(t, effects.Starts[0].Run.Fenced())
}

// TestLeaseGivenToANewIncarnationUnknowinglyIsWaitedFor has a worker start anew under its name and carry out a start that was
// sent before the keeper knew; its lease counts on the new clock up to the longest one, although the keeper's clock began anew.
func TestLeaseGivenToANewIncarnationUnknowinglyIsWaitedFor(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.pass(30 * time.Second)
	job := h.job(1, 5, veryLong, 2*veryLong, 2*veryLong)
	start := h.cell.Submit(job, h.now).Starts[0]
	sim := h.workers[start.Run.Worker.ID]
	sim.restart(h.now.Add(-100 * time.Millisecond))
	require.Equal(t, StartAccepted, sim.start(runKey{start.Run.Task.Name, 1}, start.Run.Task.Demand, veryLong, start.Lease, false, false, h.now))
	h.cell.HandleStartResult(start.Run, StartAccepted, h.now)
	h.now = h.now.Add(step)
	h.cell.HandleReport(start.Run.Worker, sim.hold(0, 0, h.now), h.now, h.now)
	h.cell.MarkUnresponsive(start.Run.Worker) // the next call is not answered
	h.now = h.now.Add(50 * time.Millisecond)
	effects := h.cell.Tick(h.now)
	sim.advance(h.now)
	require.Contains(t, sim.running, runKey{start.Run.Task.Name, 1})
	require.Empty(t, effects.Starts, "the first run goes on")
}

// TestRestartOfAWorkerIsEvidenceOfACrash guards against a count of crashes that misses a worker which is back before a
// connection to it was refused.
func TestRestartOfAWorkerIsEvidenceOfACrash(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond) // until the worker's clock is known
	worker, sim := h.cell.Worker("w00"), h.workers["w00"]
	job := h.job(1, 5, veryLong, 2*veryLong, 2*veryLong)
	h.submit(job)
	h.now = h.now.Add(step)
	sim.restart(h.now)
	report := sim.hold(0, 0, h.now)
	crashes := h.cell.HandleRestart(worker, report, h.now).Crashes
	require.Equal(t, []CrashedWorker{{Worker: "w00", Evidence: AnotherIncarnation, Tasks: []string{"j0001.0"}}}, crashes)
	require.Empty(t, h.cell.HandleReport(worker, report, h.now, h.now).Crashes, "the same crash")
	require.Equal(t, "crashed", job.Diagnostics.EndedRuns[0].Result)
}

// TestJobOfARestartedWorkerIsNotToldThatItHasNotRun guards against refusing a job whose start had no answer: the worker may
// have run it before it crashed.
func TestJobOfARestartedWorkerIsNotToldThatItHasNotRun(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond) // until the worker's clock is known
	worker, sim := h.cell.Worker("w00"), h.workers["w00"]
	job := h.job(1, 5, veryLong, 2*veryLong, 2*veryLong)
	run := h.cell.Submit(job, h.now).Starts[0].Run
	h.cell.HandleStartResult(run, StartUnconfirmed, h.now)
	h.now = h.now.Add(step)
	sim.restart(h.now)
	report := sim.hold(0, 0, h.now)
	h.cell.SetReleasing(worker, true) // nothing starts again
	h.cell.HandleRestart(worker, report, h.now)
	h.cell.HandleReport(worker, report, h.now, h.now)
	require.True(t, run.Finished())
	require.True(t, job.Started())
}
