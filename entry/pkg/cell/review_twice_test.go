package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStartOnALeaseThatWasRenewedEndsBeforeTheCallerResubmits has a job of a home that was last heard 450 ms ago start on a
// worker whose lease has just been renewed for another job; then home and keeper are lost.
func TestStartOnALeaseThatWasRenewedEndsBeforeTheCallerResubmits(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond)
	h.submit(h.job(1, 5, veryLong, 2*veryLong, 2*veryLong))
	h.pass(time.Second)
	seen := h.now
	h.silentHomes = map[string]time.Time{"silent": seen}
	h.pass(450 * time.Millisecond) // the suspicion comes after 500 ms
	job := h.job(1, 5, veryLong, 2*veryLong, 2*veryLong)
	job.Home, job.Arrived = "silent", seen
	h.submit(job)
	sim := h.workers["w00"]
	require.Contains(t, sim.running, runKey{job.Tasks[0].Name, 1})
	h.now = seen.Add(resendAfter)
	sim.advance(h.now)
	require.NotContains(t, sim.running, runKey{job.Tasks[0].Name, 1})
}

// TestStopConfirmedByAnEarlierIncarnationDoesNotFreeTheTask has the start of a task unanswered, its stop confirmed, and the
// worker start anew under its name: the tombstone is gone, and the start may still be carried out.
func TestStopConfirmedByAnEarlierIncarnationDoesNotFreeTheTask(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.pass(200 * time.Millisecond)
	job := h.job(1, 5, veryLong, 2*veryLong, 2*veryLong)
	run := h.cell.Submit(job, h.now).Starts[0].Run
	effects := h.cell.HandleStartResult(run, StartUnconfirmed, h.now)
	require.Len(t, effects.Stops, 1)
	h.cell.HandleStopConfirmed(run, h.now)
	sim := h.workers[run.Worker.ID]
	sim.restart(h.now.Add(10 * time.Millisecond))
	h.now = h.now.Add(20 * time.Millisecond)
	effects = h.cell.HandleReport(run.Worker, sim.hold(0, 0, h.now), h.now, h.now)
	require.Empty(t, effects.Starts, "the first start may still be carried out at the new incarnation")
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
