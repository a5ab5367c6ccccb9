package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTaskIsGivenUpElsewhereWheneverTheWorkerOfItsUnansweredStartCrashes guards against a start that is forgotten once the worker's
// second life has answered, and is carried out by its third one beside the task's next run.
func TestTaskIsGivenUpElsewhereWheneverTheWorkerOfItsUnansweredStartCrashes(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.pass(4 * time.Second)
	job := h.job(1, 5, 20*time.Second, veryLong, veryLong)
	id := h.loseStart(job)
	late := h.late[0]
	h.late = nil
	sentAt := h.now
	h.crashWorker(id)
	h.pass(1500 * time.Millisecond)
	h.workers[id].down = false
	h.pass(200 * time.Millisecond)
	require.Equal(t, 1, h.runningCount(), "the second life has answered, and the task has started")
	h.cell.SetReleasing(h.cell.Worker(id), true)
	for h.now.Sub(sentAt) < callDelay-3*time.Second {
		job = h.moveAwayFrom(id, job)
		h.crashWorker(id)
		h.pass(100 * time.Millisecond)
		require.Zero(t, h.runningCount(), "it was given up, as the next life may carry the first start out")
		h.pass(1200 * time.Millisecond)
		h.workers[id].down = false
	}
	require.Equal(t, StartAccepted, h.deliverStart(late.start, late.token, late.capacity))
	h.workers[id].running[runKey{"j0001.0", 1}].unguarded = true
	require.Equal(t, 1, h.runningCount())
	h.pass(400 * time.Millisecond)
	require.LessOrEqual(t, h.runningCount(), 1, "the late run was stopped")
	h.now = sentAt.Add(callDelay)
	h.pass(1500 * time.Millisecond)
	require.Empty(t, h.cell.unsettled.byKey, "it cannot be carried out any more")
}

// moveAwayFrom sends the first job anew if it was given up, and waits until its task runs at another worker.
func (h *harness) moveAwayFrom(worker string, job *Job) *Job {
	h.script = func(string, int) (hangs, fails, lost bool) { return false, false, false }
	if h.outcome(job) == "abandoned" {
		delete(h.answers, job.ID)
		job = h.jobNamed(job.ID, 1, 5, 20*time.Second, veryLong, veryLong)
		h.submit(job)
	}
	h.pass(time.Second) // the worker rejects the numbers that it has stopped
	require.Equal(h.t, 1, h.runningCount())
	require.NotEqual(h.t, worker, job.Tasks[0].run.Worker.ID)
	return job
}

// TestStartWithoutAnAnswerIsToldAtOnce guards against starts that nobody knows of when their keeper is lost before their calls
// have failed.
func TestStartWithoutAnAnswerIsToldAtOnce(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond)
	run := h.cell.Submit(h.job(1, 5, 5*time.Second, veryLong, veryLong), h.now).Starts[0].Run
	h.cell.Tick(h.now.Add(answerDelay))
	require.Empty(t, h.cell.RecentLateStarts(h.now))
	h.now = h.now.Add(answerDelay + time.Millisecond)
	h.cell.Tick(h.now)
	require.Equal(t, callDelay-answerDelay-time.Millisecond, h.cell.RecentLateStarts(h.now)[0].Known)
	h.cell.HandleStartResult(run, StartAccepted, h.now)
	require.Len(t, h.cell.RecentLateStarts(h.now), 1)
	require.Zero(t, h.cell.RecentLateStarts(h.now)[0].Known, "it has been answered since")
}

// TestNextKeeperKnowsTheUnansweredStartsOfALostOne guards against late starts of a keeper that was lost before their worker crashed:
// it has told of them, the worker's next keeper sees the crash, and a third one runs the task.
func TestNextKeeperKnowsTheUnansweredStartsOfALostOne(t *testing.T) {
	lost, next, third := newHarness(t), newHarness(t), newHarness(t)
	lost.addWorkers(2, 16, 1)
	next.workers = lost.workers
	third.addWorkers(2, 16, 1)
	lost.pass(200 * time.Millisecond)
	third.pass(200 * time.Millisecond)
	next.now = lost.now
	id := lost.loseStart(lost.job(1, 5, 20*time.Second, veryLong, veryLong))
	lost.late = nil
	told := lost.cell.RecentLateStarts(lost.now)
	require.Equal(t, []LateStart{{Task: "j0001.0", Worker: id, Number: 1, Sent: lost.now.UnixNano(), Known: callDelay}}, told)
	for _, h := range []*harness{next, third} {
		effects := h.cell.MergeLateStarts(told, h.now)
		require.Empty(t, effects)
	}
	third.cell.unlist(third.cell.Worker(id))
	again := third.job(1, 5, 20*time.Second, veryLong, veryLong)
	third.submit(again)
	require.Equal(t, 1, third.runningCount(), "the worker is not known to be gone")

	next.tokens[id] = 1
	next.cell.Add(&Worker{ID: id, Kind: "1", Group: "desk", Capacity: next.workers[id].capacity})
	next.hold(id)
	require.Empty(t, next.cell.RecentLateStarts(next.now))
	next.crashWorker(id)
	told = next.cell.RecentLateStarts(next.now)
	require.Len(t, told, 1)
	require.Positive(t, told[0].Remaining)
	effects := third.cell.MergeLateStarts(told, third.now)
	third.applyEffects(&effects)
	require.Equal(t, "abandoned", third.outcome(again))
	told[0].Indirect = true // it neither sent the start nor keeps the worker
	require.Equal(t, told, third.cell.KnownLateStarts(third.now), "for hosts that start")
	next.workers[id].down = false
	next.pass(200 * time.Millisecond)
	third.cell.MergeLateStarts(next.cell.RecentLateStarts(next.now), third.now)
	require.Empty(t, third.cell.unsettled.blocking)
	require.True(t, third.cell.MayStartLate(again, third.now), "nobody may say that it has not run")
}

// TestLateStartsOfANextLifeStayWithinItsCapacity guards against two starts without an answer, of which each fitted when it was sent,
// that their worker carries out together after it has started anew, before its keeper's first call.
func TestLateStartsOfANextLifeStayWithinItsCapacity(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(4 * time.Second)
	h.script = func(string, int) (hangs, fails, lost bool) { return false, false, true }
	for range 2 {
		job := h.job(1, 9, 5*time.Second, veryLong, veryLong)
		h.submit(job)
		effects := h.cell.Cancel(job, "the caller left", h.now)
		h.applyEffects(&effects)
		h.pass(400 * time.Millisecond) // the stop is confirmed, and its room is free again
	}
	require.Len(t, h.late, 2)
	starts := h.late
	h.late = nil
	h.crashWorker("w00")
	sim := h.workers["w00"]
	sim.down = false
	for _, late := range starts {
		run := late.start.Run
		sim.start(runKey{run.Task.Name, run.Number}, run.Task.Demand, run.Task.Estimate, late.start.Lease, false, false, h.now)
	}
	require.True(t, sim.capacity.Fits(sim.used()), "%v in use of %v", sim.used(), sim.capacity)
}
