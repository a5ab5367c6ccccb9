package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crashWorker ends the worker's process, which the keeper sees at its next call.
func (h *harness) crashWorker(id string) {
	h.workers[id].down = true
	h.workers[id].restart(h.now)
	h.hold(id)
}

// loseStart submits a job of one task whose first start is not answered, and returns the worker that may carry it out.
func (h *harness) loseStart(job *Job) (worker string) {
	h.script = func(_ string, run int) (hangs, fails, lost bool) { return false, false, run == 1 }
	h.submit(job)
	require.Len(h.t, h.late, 1)
	return h.late[0].start.Run.Worker.ID
}

// runningCount returns how many runs of the first job's task go on.
func (h *harness) runningCount() int {
	count := 0
	for _, sim := range h.workers {
		for key := range sim.running {
			if key.task == "j0001.0" {
				count++
			}
		}
	}
	return count
}

// TestTaskWaitsForTheNextLifeOfTheWorkerOfItsUnansweredStart guards against a task that is started elsewhere once the lease
// has lapsed, while its worker, which has crashed, carries the first start out after it has started anew.
func TestTaskWaitsForTheNextLifeOfTheWorkerOfItsUnansweredStart(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.pass(4 * time.Second) // the lease's end on the earlier clock is far ahead of the new one
	job := h.job(1, 5, 5*time.Second, veryLong, veryLong)
	id := h.loseStart(job)
	late := h.late[0]
	h.late = nil
	h.workers[id].ignoresStops = true
	h.crashWorker(id)
	h.pass(2 * time.Second)
	require.Zero(t, h.runningCount(), "the lease has lapsed, but the worker may be back")
	h.workers[id].down, h.workers[id].ignoresStops = false, false
	require.Equal(t, StartAccepted, h.deliverStart(late.start, late.token, late.capacity))
	for range 200 {
		h.pass(step)
		require.LessOrEqual(t, h.runningCount(), 1)
	}
	require.Equal(t, 1, h.runningCount(), "the late run was stopped, and the task has started")
	require.Greater(t, job.Tasks[0].run.Number, 1)
}

// TestTaskIsGivenUpElsewhereWhenTheWorkerOfItsStoppedStartCrashes guards against a late start in the worker's next life, which
// does not know of the stop that the one before has confirmed.
func TestTaskIsGivenUpElsewhereWhenTheWorkerOfItsStoppedStartCrashes(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.pass(200 * time.Millisecond)
	job := h.job(1, 5, 20*time.Second, veryLong, veryLong)
	id := h.loseStart(job)
	h.late = nil
	h.cell.SetReleasing(h.cell.Worker(id), true)
	h.pass(400 * time.Millisecond)
	require.NotEqual(t, id, job.Tasks[0].run.Worker.ID)
	h.crashWorker(id)
	h.pass(100 * time.Millisecond)
	require.Equal(t, "abandoned", h.outcome(job))
	require.Zero(t, h.runningCount())
	again := h.jobNamed("j0001", 1, 5, 20*time.Second, veryLong, veryLong)
	delete(h.answers, "j0001")
	h.submit(again)
	h.pass(time.Second)
	require.Equal(t, "none", h.outcome(again))
	require.Zero(t, h.runningCount(), "the worker is not back")
	h.workers[id].down = false
	h.pass(400 * time.Millisecond)
	require.Equal(t, 1, h.runningCount())
}

// TestJobWithAStoppedStartIsNotToldThatItHasNotRun guards against a refusal that a late start in the worker's next life
// makes untrue.
func TestJobWithAStoppedStartIsNotToldThatItHasNotRun(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond)
	job := h.job(1, 5, 100*time.Millisecond, time.Second, longDeadline)
	h.loseStart(job)
	h.cell.SetReleasing(h.cell.Worker("w00"), true) // nothing starts again
	for deadline := h.now.Add(10 * time.Second); h.outcome(job) == "none" && h.now.Before(deadline); {
		h.pass(step)
	}
	require.Nil(t, job.Tasks[0].run)
	require.False(t, job.Started())
	require.Equal(t, "abandoned", h.outcome(job))
}

// TestSilentWorkerThatAnswersAgainFreesItsTasks guards against a task that waits for a worker which was only cut off.
func TestSilentWorkerThatAnswersAgainFreesItsTasks(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.pass(200 * time.Millisecond)
	job := h.job(1, 5, 5*time.Second, veryLong, veryLong)
	id := h.loseStart(job)
	h.late = nil
	h.workers[id].unresponsive = true
	h.cell.MarkUnresponsive(h.cell.Worker(id))
	job.Tasks[0].run.tombstonedAt = time.Time{}
	h.pass(1500 * time.Millisecond)
	require.Zero(t, h.runningCount())
	h.workers[id].unresponsive = false
	h.pass(400 * time.Millisecond)
	require.Equal(t, 1, h.runningCount())
	require.Empty(t, h.cell.unsettled.blocking)
}

// TestOtherKeepersDoNotStartATaskThatMayStartLate guards against a job that its caller sends again to another keeper, while
// the worker of an earlier start may be back and carry it out.
func TestOtherKeepersDoNotStartATaskThatMayStartLate(t *testing.T) {
	first, second := newHarness(t), newHarness(t)
	for _, h := range []*harness{first, second} {
		h.addWorkers(2, 16, 1)
		h.pass(200 * time.Millisecond)
	}
	id := first.loseStart(first.job(1, 5, 5*time.Second, veryLong, veryLong))
	first.crashWorker(id)
	told := first.cell.RecentLateStarts(first.now)
	sent := first.now.UnixNano()
	require.Equal(t, []LateStart{{Task: "j0001.0", Worker: id, Number: 1, Sent: sent, Remaining: callDelay, Known: callDelay}}, told)
	running := second.job(1, 5, 5*time.Second, veryLong, veryLong)
	second.submit(running)
	require.Equal(t, 1, second.runningCount())
	effects := second.cell.MergeLateStarts(elsewhere(told), second.now)
	second.applyEffects(&effects)
	require.Equal(t, "abandoned", second.outcome(running), "it was started before the news came")
	require.Empty(t, second.cell.RecentLateStarts(second.now), "only the worker's keeper tells of it")
	second.pass(100 * time.Millisecond)
	again := second.jobNamed("j0001", 1, 5, 100*time.Millisecond, time.Second, 5*time.Second)
	delete(second.answers, "j0001")
	second.submit(again)
	require.Equal(t, "none", second.outcome(again), "the worker may be back in time")
	second.pass(4800 * time.Millisecond)
	require.Equal(t, "none", second.outcome(again))
	require.Zero(t, second.runningCount())
	second.pass(200 * time.Millisecond)
	require.Equal(t, "abandoned", second.outcome(again), "it cannot end before its deadline, and may have run")
	require.False(t, second.cell.CanStartNow(second.jobNamed("j0001", 1, 5, 100*time.Millisecond, veryLong, veryLong), second.now))
	second.pass(callDelay)
	again = second.jobNamed("j0001", 1, 5, 100*time.Millisecond, time.Second, 5*time.Second)
	second.submit(again)
	second.pass(200 * time.Millisecond)
	require.Equal(t, "completed", second.outcome(again))
	first.pass(crashNews + time.Second)
	require.Empty(t, first.cell.RecentLateStarts(first.now))
	require.Len(t, first.cell.KnownLateStarts(first.now), 1, "for hosts that start")
	second.cell.MergeLateStarts(elsewhere(first.cell.KnownLateStarts(first.now)), second.now)
	require.NotEmpty(t, second.cell.unsettled.blocking)
	first.workers[id].down = false
	first.pass(400 * time.Millisecond)
	second.cell.MergeLateStarts(elsewhere(first.cell.RecentLateStarts(first.now)), second.now)
	require.Empty(t, second.cell.unsettled.blocking, "the worker's keeper tells that it is settled")
}

// elsewhere renames the workers, as two keepers of a test have workers of the same names.
func elsewhere(starts []LateStart) []LateStart {
	for i := range starts {
		starts[i].Worker = "elsewhere-" + starts[i].Worker
	}
	return starts
}

// TestLateStartsOfOtherHostsAreBounded guards against a peer whose message fills the memory or blocks a task for good.
func TestLateStartsOfOtherHostsAreBounded(t *testing.T) {
	h := newHarness(t)
	told := make([]LateStart, 0, 2*maxUnsettled+3)
	for i := range 2 * maxUnsettled {
		told = append(told, LateStart{Task: fmt.Sprint(i), Remaining: time.Hour})
	}
	told = append(told, LateStart{Remaining: time.Second}, LateStart{Task: string(make([]byte, maxTaskName+1)), Remaining: time.Second}, LateStart{Task: "past", Remaining: -1})
	h.cell.MergeLateStarts(told, h.now)
	require.Len(t, h.cell.unsettled.byKey, maxUnsettled)
	require.Equal(t, h.now.Add(callDelay), h.cell.unsettled.until("0"))
	h.now = h.now.Add(callDelay)
	h.cell.Tick(h.now)
	require.Empty(t, h.cell.unsettled.byKey)
	require.Empty(t, h.cell.unsettled.byWorker)
	require.Empty(t, h.cell.unsettled.blocking)
}

// TestResubmittedJobIsGivenUpWhenTheWorkerOfItsEarlierStartCrashes guards against a job that its caller sends again to the same
// keeper: the late start of its first submission is one of another task object, but of the same task.
func TestResubmittedJobIsGivenUpWhenTheWorkerOfItsEarlierStartCrashes(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.pass(4 * time.Second)
	job := h.job(1, 5, 20*time.Second, veryLong, veryLong)
	id := h.loseStart(job)
	late := h.late[0]
	h.late = nil
	h.cell.SetReleasing(h.cell.Worker(id), true)
	h.pass(400 * time.Millisecond)
	effects := h.cell.Cancel(job, "the caller left", h.now)
	h.applyEffects(&effects)
	h.pass(1300 * time.Millisecond)
	delete(h.answers, "j0001")
	h.script = func(string, int) (hangs, fails, lost bool) { return false, false, false }
	h.submit(h.jobNamed("j0001", 1, 5, 20*time.Second, veryLong, veryLong))
	h.pass(800 * time.Millisecond)
	require.Equal(t, 1, h.runningCount())
	h.crashWorker(id)
	h.pass(1500 * time.Millisecond)
	h.workers[id].down = false
	h.deliverStart(late.start, late.token, late.capacity)
	require.LessOrEqual(t, h.runningCount(), 1)
}

// TestUnsettledStartsOutliveTheLoopOfTheirWorker guards against forgetting them when the worker is dropped and taken again.
func TestUnsettledStartsOutliveTheLoopOfTheirWorker(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.pass(200 * time.Millisecond)
	job := h.job(1, 5, 20*time.Second, veryLong, veryLong)
	id := h.loseStart(job)
	h.late = nil
	h.cell.SetReleasing(h.cell.Worker(id), true)
	h.pass(400 * time.Millisecond)
	effects := h.cell.Remove(id, h.now)
	h.applyEffects(&effects)
	h.tokens[id]++
	h.cell.Add(&Worker{ID: id, Kind: "1", Group: "desk", Capacity: h.workers[id].capacity})
	h.hold(id)
	h.pass(200 * time.Millisecond)
	require.Equal(t, "none", h.outcome(job))
	h.crashWorker(id)
	h.pass(100 * time.Millisecond)
	require.Equal(t, "abandoned", h.outcome(job))
}

// TestStartWithAnAnswerAfterTheCrashBlocksNothing guards against a task that waits for a worker which cannot start it any more.
func TestStartWithAnAnswerAfterTheCrashBlocksNothing(t *testing.T) {
	for _, result := range []StartResult{StartUndelivered, StartRejected, StartUnhealthy} {
		h := newHarness(t)
		h.addWorkers(2, 16, 1)
		h.pass(200 * time.Millisecond)
		effects := h.cell.Submit(h.job(1, 5, 5*time.Second, veryLong, veryLong), h.now)
		run := effects.Starts[0].Run
		h.crashWorker(run.Worker.ID)
		effects = h.cell.HandleStartResult(run, result, h.now)
		h.applyEffects(&effects)
		h.pass(200 * time.Millisecond)
		require.Equal(t, 1, h.runningCount(), result)
	}
}

// TestReportFromBeforeTheCrashSettlesNothing guards against an answer that is read after the evidence of the crash.
func TestReportFromBeforeTheCrashSettlesNothing(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.pass(200 * time.Millisecond)
	id := h.loseStart(h.job(1, 5, 20*time.Second, veryLong, veryLong))
	h.late = nil
	h.cell.SetReleasing(h.cell.Worker(id), true)
	h.pass(400 * time.Millisecond)
	worker, sent := h.cell.Worker(id), h.now
	report := h.workers[id].hold(worker.AckedSequence(), 0, h.now)
	h.now = h.now.Add(step)
	h.crashWorker(id)
	effects := h.cell.HandleReport(worker, report, sent, h.now)
	h.applyEffects(&effects)
	require.Contains(t, h.cell.unsettled.blocking, "j0001.0")
}

// TestFencedWorkerFreesItsTasks guards against a task that waits although the worker has seen a later keeper's token.
func TestFencedWorkerFreesItsTasks(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.pass(200 * time.Millisecond)
	id := h.loseStart(h.job(1, 5, 5*time.Second, veryLong, veryLong))
	h.late = nil
	h.workers[id].unresponsive = true
	h.pass(1500 * time.Millisecond)
	require.Contains(t, h.cell.unsettled.blocking, "j0001.0")
	h.workers[id].unresponsive = false
	h.workers[id].token = h.tokens[id] + 1
	h.pass(400 * time.Millisecond)
	require.Empty(t, h.cell.unsettled.blocking)
	require.Zero(t, h.cell.RecentLateStarts(h.now)[0].Remaining, "others are told")
}

// TestBlockedJobDoesNotHoldOthersUp guards against refusing others for a job that cannot start yet.
func TestBlockedJobDoesNotHoldOthersUp(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.pass(200 * time.Millisecond)
	effects := h.cell.MergeLateStarts([]LateStart{{Task: "wide.0", Worker: "w02", Number: 1, Remaining: callDelay}}, h.now)
	h.applyEffects(&effects)
	wide := h.jobNamed("wide", 4, 8, 2*time.Second, veryLong, veryLong)
	h.submit(wide)
	h.pass(200 * time.Millisecond)
	require.Equal(t, "none", h.outcome(wide))
	require.Zero(t, h.cell.Loads(h.now)[0].Waiting)
	other := h.job(1, 8, 200*time.Millisecond, 600*time.Millisecond, longDeadline)
	require.True(t, h.cell.CanStartNow(other, h.now))
	h.submit(other)
	h.pass(50 * time.Millisecond)
	require.Equal(t, "none", h.outcome(other), "it runs")
}

// TestWaitingJobIsNotToldThatItNeverRunsOnceBlocked guards against a refusal that a late start of an earlier submission makes
// untrue.
func TestWaitingJobIsNotToldThatItNeverRunsOnceBlocked(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond)
	h.submit(h.jobNamed("other", 1, 16, 600*time.Millisecond, veryLong, veryLong))
	job := h.job(1, 16, 300*time.Millisecond, 1500*time.Millisecond, veryLong)
	h.submit(job)
	require.Equal(t, "none", h.outcome(job))
	effects := h.cell.MergeLateStarts([]LateStart{{Task: "j0001.0", Worker: "w02", Number: 1, Remaining: callDelay}}, h.now)
	h.applyEffects(&effects)
	h.pass(4 * time.Second)
	require.Equal(t, "abandoned", h.outcome(job))
}

// TestUnsettledStartsOfASoundWorkerAreDropped guards against memory that grows with each unanswered start.
func TestUnsettledStartsOfASoundWorkerAreDropped(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond)
	h.script = func(_ string, run int) (hangs, fails, lost bool) { return false, false, run == 1 }
	for range 20 {
		h.submit(h.job(1, 5, 50*time.Millisecond, time.Second, 5*time.Second))
		h.pass(time.Second)
		h.late = nil
	}
	require.NotEmpty(t, h.cell.unsettled.byKey)
	h.pass(callDelay + 2*time.Second)
	require.Empty(t, h.cell.unsettled.byKey)
	require.Empty(t, h.cell.unsettled.byWorker)
}

// TestListedRunIsSettled guards against a task that is blocked for a start which its worker has carried out already: a connection
// was refused before its call was answered.
func TestListedRunIsSettled(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond)
	effects := h.cell.Submit(h.job(1, 5, 5*time.Second, veryLong, veryLong), h.now)
	run := effects.Starts[0].Run
	h.cell.HandleCrash(run.Worker, ConnectionRefused, h.now)
	require.NotEmpty(t, h.cell.unsettled.blocking)
	require.Equal(t, StartAccepted, h.deliverStart(effects.Starts[0], 0, h.told["w00"]))
	h.pass(2 * step)
	require.Equal(t, 1, h.runningCount())
	require.Empty(t, h.cell.unsettled.byKey)
}
