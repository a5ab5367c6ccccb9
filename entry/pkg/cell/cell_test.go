package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	short    = 50 * time.Millisecond
	usual    = 140 * time.Millisecond // objective of a short task
	patient  = 1500 * time.Millisecond
	veryLong = time.Hour
)

func TestJobIsCompletedWhenAllTasksAreDone(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(2, 16, 1)
	job := o.job(4, 7, short, usual, patient)
	o.submit(job)
	require.Equal(t, "none", o.outcome(job))
	o.pass(60 * time.Millisecond)
	require.Equal(t, "completed", o.outcome(job))
}

func TestJobThatFitsNowhereIsRefusedAtOnce(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(2, 16, 1)
	job := o.job(1, 17, short, usual, patient)
	o.submit(job)
	require.Equal(t, "refused", o.outcome(job))
	require.Positive(t, o.answers[job.ID].RetryAfter)
}

func TestFullCellRefusesAtOnceWhatWouldMissItsObjective(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(2, 16, 1)
	long := o.job(4, 7, time.Second, 2*time.Second, 6*time.Second)
	o.submit(long)
	job := o.job(2, 7, short, usual, patient)
	o.submit(job)
	require.Equal(t, "refused", o.outcome(job))
	require.Positive(t, o.answers[job.ID].RetryAfter)
	o.pass(1100 * time.Millisecond)
	require.Equal(t, "completed", o.outcome(long))
}

func TestJobWaitsForRoomThatComesInTime(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(2, 16, 1)
	first := o.job(4, 7, short, usual, patient)
	second := o.job(4, 7, short, usual, patient)
	o.submit(first)
	o.submit(second)
	require.Equal(t, "none", o.outcome(second))
	o.pass(120 * time.Millisecond)
	require.Equal(t, "completed", o.outcome(second))
}

func TestFailedOnlyWhenAttemptsAreUsedUp(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(3, 16, 1)
	o.script = func(task string, run int) (bool, bool, bool) { return false, task == "j0001.0" && run == 1, false }
	once := o.job(2, 7, short, usual, patient)
	o.submit(once)
	o.pass(150 * time.Millisecond)
	require.Equal(t, "completed", o.outcome(once))
	o.script = func(task string, _ int) (bool, bool, bool) { return false, task == "j0002.0", false }
	always := o.job(2, 7, short, usual, patient)
	o.submit(always)
	o.pass(150 * time.Millisecond)
	require.Equal(t, "failed", o.outcome(always))
}

func TestUnansweredStartIsStoppedBeforeTheTaskStartsAnew(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(2, 16, 1)
	o.script = func(_ string, run int) (bool, bool, bool) { return false, false, run == 1 }
	job := o.job(1, 7, short, patient, patient)
	o.submit(job)
	o.pass(300 * time.Millisecond)
	require.Equal(t, "completed", o.outcome(job))
	o.script = func(string, int) (bool, bool, bool) { return false, false, false }
	o.pass(3 * time.Second) // the lost start arrives and must do nothing
	for _, sim := range o.workers {
		require.Empty(t, sim.running)
	}
}

func TestTaskOfASilentWorkerStartsAnewOnlyAfterItsLease(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(1, 16, 1)
	job := o.job(1, 7, 500*time.Millisecond, 5*time.Second, 6*time.Second)
	o.submit(job)
	o.workers["w00"].silent = true
	o.addWorkers(1, 16, 1)
	o.pass(900 * time.Millisecond)
	require.Empty(t, o.workers["w01"].running, "the silent worker may still run the task")
	o.pass(900 * time.Millisecond)
	require.Equal(t, "completed", o.outcome(job))
}

func TestHangingRunIsMovedAndItsWorkerLeftOut(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(2, 16, 1)
	o.script = func(_ string, run int) (bool, bool, bool) { return run == 1, false, false }
	job := o.job(1, 7, short, usual, patient)
	o.submit(job)
	o.pass(500 * time.Millisecond)
	require.Equal(t, "completed", o.outcome(job))
}

func TestWorkerThatFailsInARowIsLeftOut(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(1, 16, 1)
	o.script = func(string, int) (bool, bool, bool) { return false, true, false }
	for range failuresToPause {
		o.submit(o.job(1, 7, short, usual, patient))
		o.pass(short + 10*time.Millisecond)
	}
	require.False(t, o.cell.Worker("w00").usable(o.now))
	o.pass(longestPause)
	require.True(t, o.cell.Worker("w00").usable(o.now))
}

func TestRunsOfAnEarlierKeeperAreStoppedBeforeAnythingStarts(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(1, 16, 1)
	sim := o.workers["w00"]
	sim.running[runKey{"orphan.0", 1}] = &simRun{need: Resources{Cores: 10000}, until: o.now.Add(veryLong)}
	sim.lease = sim.clock(o.now) + time.Second
	worker := &Worker{ID: "w00", Group: "desk", Capacity: sim.capacity}
	o.cell.Add(worker)
	o.hold("w00")
	require.True(t, worker.HasUnknownRuns())
	require.Empty(t, sim.running, "the orphan was not stopped")
	require.False(t, worker.usable(o.now), "its room is not known to be free before its end is listed")
	o.hold("w00")
	job := o.job(1, 10, short, usual, patient)
	o.submit(job)
	o.pass(100 * time.Millisecond)
	require.Equal(t, "completed", o.outcome(job))
}

func TestNoLeaseIsRenewedWhileSomethingUnknownRuns(t *testing.T) {
	worker := &Worker{foreign: map[runKey]struct{}{{"orphan.0", 1}: {}}}
	worker.clock.at = time.Unix(1, 0)
	_, renews := worker.Lease(time.Unix(2, 0), time.Second)
	require.False(t, renews)
}

func TestFencedWorkerGivesUpItsJobsAndGetsNoMore(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(1, 16, 1)
	job := o.job(1, 7, short, usual, patient)
	o.submit(job)
	effects := o.cell.HandleFenced(o.cell.Worker("w00"), o.now)
	o.carry(&effects)
	require.Equal(t, "abandoned", o.outcome(job))
	next := o.job(1, 7, short, usual, patient)
	o.submit(next)
	require.Equal(t, "refused", o.outcome(next))
}

func TestLostHomeStopsItsJobsAtOnce(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(1, 16, 1)
	job := o.job(2, 7, 500*time.Millisecond, time.Second, patient)
	o.submit(job)
	effects := o.cell.HandleHomeFailure("home", "", o.now)
	o.carry(&effects)
	require.Empty(t, o.workers["w00"].running)
}

func TestJobSentAnewWaitsUntilTheEarlierOneIsGone(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(2, 16, 1)
	o.submit(o.jobNamed("again", 1, 7, 300*time.Millisecond, time.Second, patient))
	o.workers["w00"].silent = true
	o.workers["w01"].silent = true
	again := o.jobNamed("again", 1, 7, short, 2*time.Second, 2*time.Second)
	o.submit(again)
	o.pass(100 * time.Millisecond)
	o.workers["w00"].silent = false
	o.workers["w01"].silent = false
	o.pass(700 * time.Millisecond)
	require.Equal(t, "completed", o.outcome(again))
}

func TestLeavingWorkerGetsNoMoreWork(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(1, 16, 1)
	o.cell.SetLeaving(o.cell.Worker("w00"), true)
	job := o.job(1, 7, short, usual, patient)
	o.submit(job)
	o.pass(200 * time.Millisecond)
	require.Equal(t, "refused", o.outcome(job))
}

func TestDeadlineStopsWhatRuns(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(1, 16, 1)
	o.script = func(string, int) (bool, bool, bool) { return true, false, false }
	job := o.job(1, 7, short, usual, 300*time.Millisecond)
	o.submit(job)
	o.pass(400 * time.Millisecond)
	require.Equal(t, "abandoned", o.outcome(job))
	require.Empty(t, o.workers["w00"].running)
}

func TestJobWiderThanTheRoomRunsInWaves(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(4, 16, 1)
	job := o.job(5, 9, 200*time.Millisecond, 380*time.Millisecond, patient)
	o.submit(job)
	require.Equal(t, "none", o.outcome(job), "one of the five tasks has to wait for another's end")
	o.pass(450 * time.Millisecond)
	require.Equal(t, "completed", o.outcome(job))

	wide := o.job(20, 9, 100*time.Millisecond, 220*time.Millisecond, patient)
	o.submit(wide)
	o.pass(700 * time.Millisecond)
	require.Equal(t, "completed", o.outcome(wide), "an idle cell must serve what it can, in five waves")
}

func TestUnansweredStartDoesNotKeepItsWorkerOut(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(1, 16, 1)
	o.script = func(_ string, run int) (bool, bool, bool) { return false, false, run == 1 }
	job := o.job(1, 7, short, 2*usual, patient)
	o.submit(job)
	require.False(t, o.cell.Worker("w00").usable(o.now), "it is not known whether the task runs there")
	o.hold("w00")
	require.True(t, o.cell.Worker("w00").usable(o.now), "the stop was answered, so the worker is sound")
	o.pass(short + 10*time.Millisecond)
	require.Equal(t, "completed", o.outcome(job))
}

func TestLostWaitingCallIsMadeUpForByALook(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(1, 16, 1)
	o.submit(o.job(1, 7, short, usual, patient))
	looks := 0
	for range 40 { // no report comes for 200 ms
		o.now = o.now.Add(5 * time.Millisecond)
		effects := o.cell.Tick(o.now)
		looks += len(effects.Polls)
		require.False(t, looks > 0 && o.now.Sub(o.cell.Worker("w00").reported) < short+reportSlack, "too early")
	}
	require.Equal(t, 1, looks)
}

// TestJobsWaitForWorkersThatJoin has a job come between a keeper's claim and the first reports of its workers.
func TestJobsWaitForWorkersThatJoin(t *testing.T) {
	o := newOffice(t)
	sim := newSimWorker(Resources{Cores: 16_000, Memory: 1 << 20}, 1, 1, o.now)
	o.workers["w00"] = sim
	o.cell.Add(&Worker{ID: "w00", Group: "desk", Capacity: sim.capacity})
	job := o.job(2, 7, short, usual, patient)
	o.submit(job)
	require.Equal(t, "none", o.outcome(job))
	o.hold("w00")
	o.pass(usual)
	require.Equal(t, Completed.String(), o.outcome(job))
}

// TestJobsAreRefusedOnceAJoiningWorkerIsSilent checks that nothing waits for a worker that did not answer.
func TestJobsAreRefusedOnceAJoiningWorkerIsSilent(t *testing.T) {
	o := newOffice(t)
	sim := newSimWorker(Resources{Cores: 16_000, Memory: 1 << 20}, 1, 1, o.now)
	sim.silent = true
	o.workers["w00"] = sim
	o.cell.Add(&Worker{ID: "w00", Group: "desk", Capacity: sim.capacity})
	o.hold("w00")
	job := o.job(2, 7, short, usual, patient)
	o.submit(job)
	require.Equal(t, Refused.String(), o.outcome(job))
}

// TestRefusalTellsWhatTheWorkersLookedLike checks the cause of each refusal that an engineer is to find in the log.
func TestRefusalTellsWhatTheWorkersLookedLike(t *testing.T) {
	causeOf := func(prepare func(o *office)) string {
		o := newOffice(t)
		o.addWorkers(3, 16, 1)
		prepare(o)
		job := o.job(4, 8, short, short+30*time.Millisecond, patient)
		o.submit(job)
		require.Equal(t, "refused", o.outcome(job))
		return job.Diagnostics.Shortage.Cause()
	}
	require.Equal(t, causeFull, causeOf(func(o *office) {
		o.submit(o.job(6, 8, time.Second, 2*time.Second, 6*time.Second))
	}))
	require.Equal(t, causePieces, causeOf(func(o *office) {
		o.submit(o.job(5, 8, time.Second, 2*time.Second, 6*time.Second))
	}))
	require.Equal(t, string(unanswered), causeOf(func(o *office) {
		o.cell.MarkUnresponsive(o.cell.Worker("w00"))
		o.cell.MarkUnresponsive(o.cell.Worker("w01"))
	}))
	require.Equal(t, string(usedNoMore), causeOf(func(o *office) {
		o.cell.SetLeaving(o.cell.Worker("w00"), true)
		o.cell.SetLeaving(o.cell.Worker("w01"), true)
		o.cell.MarkUnresponsive(o.cell.Worker("w02"))
	}))
}

func TestShortageIsOneLineInAFixedOrder(t *testing.T) {
	shortage := &Shortage{WaitingTasks: 4, TasksAhead: 2, FreeSlots: 3, UsableWorkers: 5, UnusableWorkers: map[UnusableReason]int{unanswered: 2, failing: 1}}
	require.Equal(t, "wanted 4, ahead 2, free 3, workers in use 5, failing 1, silent 2", shortage.String())
	require.Equal(t, causePieces, shortage.Cause())
	shortage.FreeSlots = 4
	require.Equal(t, causeForecast, shortage.Cause())
}
