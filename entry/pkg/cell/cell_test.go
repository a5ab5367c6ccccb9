package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	short          = 50 * time.Millisecond
	shortObjective = 140 * time.Millisecond // objective of a short task
	longDeadline   = 1500 * time.Millisecond
	veryLong       = time.Hour
)

func TestJobIsCompletedWhenAllTasksAreDone(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	job := h.job(4, 7, short, shortObjective, longDeadline)
	h.submit(job)
	require.Equal(t, "none", h.outcome(job))
	h.pass(60 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(job))
}

func TestJobThatFitsNowhereIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	job := h.job(1, 17, short, shortObjective, longDeadline)
	h.submit(job)
	require.Equal(t, "refused", h.outcome(job))
	require.Positive(t, h.answers[job.ID].RetryAfter)
}

func TestFullCellRefusesAtOnceWhatWouldMissItsObjective(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	long := h.job(4, 7, time.Second, 2*time.Second, 6*time.Second)
	h.submit(long)
	job := h.job(2, 7, short, shortObjective, longDeadline)
	h.submit(job)
	require.Equal(t, "refused", h.outcome(job))
	require.Positive(t, h.answers[job.ID].RetryAfter)
	h.pass(1100 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(long))
}

func TestJobWaitsForResourcesThatBecomeFreeInTime(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	first := h.job(4, 7, short, shortObjective, longDeadline)
	second := h.job(4, 7, short, shortObjective, longDeadline)
	h.submit(first)
	h.submit(second)
	require.Equal(t, "none", h.outcome(second))
	h.pass(120 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(second))
}

func TestFailedOnlyWhenAttemptsAreUsedUp(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(3, 16, 1)
	h.script = func(task string, run int) (bool, bool, bool) { return false, task == "j0001.0" && run == 1, false }
	once := h.job(2, 7, short, shortObjective, longDeadline)
	h.submit(once)
	h.pass(150 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(once))
	h.script = func(task string, _ int) (bool, bool, bool) { return false, task == "j0002.0", false }
	always := h.job(2, 7, short, shortObjective, longDeadline)
	h.submit(always)
	h.pass(150 * time.Millisecond)
	require.Equal(t, "failed", h.outcome(always))
}

func TestUnansweredStartIsStoppedBeforeTheTaskStartsAnew(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.script = func(_ string, run int) (bool, bool, bool) { return false, false, run == 1 }
	job := h.job(1, 7, short, longDeadline, longDeadline)
	h.submit(job)
	h.pass(300 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(job))
	h.script = func(string, int) (bool, bool, bool) { return false, false, false }
	h.pass(3 * time.Second) // the delayed start arrives and must be rejected
	for _, sim := range h.workers {
		require.Empty(t, sim.running)
	}
}

func TestTaskOfASilentWorkerStartsAnewOnlyAfterItsLease(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond) // until the worker's clock is known
	job := h.job(1, 7, 500*time.Millisecond, 5*time.Second, 6*time.Second)
	h.submit(job)
	h.workers["w00"].unresponsive = true
	h.addWorkers(1, 16, 1)
	for range 9 {
		h.pass(100 * time.Millisecond)
		require.Empty(t, h.workers["w01"].running, "the unresponsive worker may still run the task")
		require.Equal(t, "none", h.outcome(job))
	}
	h.pass(900 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(job))
}

func TestHangingRunIsMovedAndItsWorkerEjected(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.script = func(_ string, run int) (bool, bool, bool) { return run == 1, false, false }
	job := h.job(1, 7, short, shortObjective, longDeadline)
	h.submit(job)
	h.pass(500 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(job))
}

func TestWorkerIsEjectedAfterConsecutiveFailures(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.script = func(string, int) (bool, bool, bool) { return false, true, false }
	for range ejectionThreshold {
		h.submit(h.job(1, 7, short, shortObjective, longDeadline))
		h.pass(short + 10*time.Millisecond)
	}
	require.False(t, h.cell.Worker("w00").usable(h.now))
	h.pass(maxEjection)
	require.True(t, h.cell.Worker("w00").usable(h.now))
}

func TestRunsOfAnEarlierKeeperAreStoppedBeforeAnythingStarts(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	sim := h.workers["w00"]
	sim.running[runKey{"orphan.0", 1}] = &simRun{demand: Resources{Cores: 10000}, until: h.now.Add(veryLong)}
	sim.lease = sim.clock(h.now) + time.Second
	worker := &Worker{ID: "w00", Group: "desk", Capacity: sim.capacity}
	h.add(worker)
	h.hold("w00")
	require.True(t, worker.HasUnknownRuns())
	require.Empty(t, sim.running, "the unknown run was not stopped")
	require.False(t, worker.usable(h.now), "its resources are not known to be free before the end is reported")
	h.hold("w00")
	job := h.job(1, 10, short, shortObjective, longDeadline)
	h.submit(job)
	h.pass(100 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(job))
}

func TestNoLeaseIsRenewedWithUnknownRuns(t *testing.T) {
	worker := &Worker{unknownRuns: map[runKey]struct{}{{"orphan.0", 1}: {}}}
	worker.clock.readAt = time.Unix(1, 0)
	_, renews := worker.Lease(time.Unix(2, 0), time.Second)
	require.False(t, renews)
}

func TestJobsOfAFencedWorkerAreAbandoned(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	job := h.job(1, 7, short, shortObjective, longDeadline)
	h.submit(job)
	effects := h.cell.HandleFenced(h.cell.Worker("w00"), h.now)
	h.applyEffects(&effects)
	require.Equal(t, "abandoned", h.outcome(job))
	next := h.job(1, 7, short, shortObjective, longDeadline)
	h.submit(next)
	require.Equal(t, "refused", h.outcome(next))
}

func TestLostHomeStopsItsJobsAtOnce(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	job := h.job(2, 7, 500*time.Millisecond, time.Second, longDeadline)
	h.submit(job)
	effects := h.cell.HandleHomeFailure("home", "", h.now)
	h.applyEffects(&effects)
	require.Empty(t, h.workers["w00"].running)
}

func TestJobSentAnewWaitsUntilTheEarlierOneIsGone(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.submit(h.jobNamed("again", 1, 7, 300*time.Millisecond, time.Second, longDeadline))
	h.workers["w00"].unresponsive = true
	h.workers["w01"].unresponsive = true
	again := h.jobNamed("again", 1, 7, short, 2*time.Second, 2*time.Second)
	h.submit(again)
	h.pass(100 * time.Millisecond)
	h.workers["w00"].unresponsive = false
	h.workers["w01"].unresponsive = false
	h.pass(700 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(again))
}

func TestLeavingWorkerGetsNoMoreWork(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.cell.SetReleasing(h.cell.Worker("w00"), true)
	job := h.job(1, 7, short, shortObjective, longDeadline)
	h.submit(job)
	h.pass(200 * time.Millisecond)
	require.Equal(t, "refused", h.outcome(job))
}

func TestDeadlineStopsRuns(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.script = func(string, int) (bool, bool, bool) { return true, false, false }
	job := h.job(1, 7, short, shortObjective, 300*time.Millisecond)
	h.submit(job)
	h.pass(400 * time.Millisecond)
	require.Equal(t, "abandoned", h.outcome(job))
	require.Empty(t, h.workers["w00"].running)
}

func TestJobWiderThanTheCellRunsInRounds(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(4, 16, 1)
	job := h.job(5, 9, 200*time.Millisecond, 380*time.Millisecond, longDeadline)
	h.submit(job)
	require.Equal(t, "none", h.outcome(job), "one of the five tasks has to wait for another's end")
	h.pass(450 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(job))

	wide := h.job(20, 9, 100*time.Millisecond, 220*time.Millisecond, longDeadline)
	h.submit(wide)
	h.pass(700 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(wide), "an idle cell must serve what it can, in five rounds")
}

func TestUnansweredStartDoesNotKeepItsWorkerOut(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.script = func(_ string, run int) (bool, bool, bool) { return false, false, run == 1 }
	job := h.job(1, 7, short, 2*shortObjective, longDeadline)
	h.submit(job)
	require.False(t, h.cell.Worker("w00").usable(h.now), "it is unknown whether the task runs there")
	h.hold("w00")
	require.True(t, h.cell.Worker("w00").usable(h.now), "the stop was answered, so the worker is healthy")
	h.pass(short + 10*time.Millisecond)
	require.Equal(t, "completed", h.outcome(job))
}

func TestLostWaitingCallIsMadeUpForByALook(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.submit(h.job(1, 7, short, shortObjective, longDeadline))
	polls := 0
	for range 40 { // no report arrives for 200 ms
		h.now = h.now.Add(5 * time.Millisecond)
		effects := h.cell.Tick(h.now)
		polls += len(effects.Polls)
		require.False(t, polls > 0 && h.now.Sub(h.cell.Worker("w00").reportedAt) < short+reportSlack, "too early")
	}
	require.Equal(t, 1, polls)
}

// A job arrives between a keeper's claim and the first reports of its workers.
func TestJobsWaitForJoiningWorkers(t *testing.T) {
	h := newHarness(t)
	sim := newSimWorker(Resources{Cores: 16_000, Memory: 1 << 20}, 1, 1, h.now)
	h.workers["w00"] = sim
	h.add(&Worker{ID: "w00", Group: "desk", Capacity: sim.capacity})
	job := h.job(2, 7, short, shortObjective, longDeadline)
	h.submit(job)
	require.Equal(t, "none", h.outcome(job))
	h.hold("w00")
	h.pass(shortObjective)
	require.Equal(t, Completed.String(), h.outcome(job))
}

// No job waits for a joining worker that did not answer.
func TestJobsAreRefusedIfAJoiningWorkerDoesNotAnswer(t *testing.T) {
	h := newHarness(t)
	sim := newSimWorker(Resources{Cores: 16_000, Memory: 1 << 20}, 1, 1, h.now)
	sim.unresponsive = true
	h.workers["w00"] = sim
	h.add(&Worker{ID: "w00", Group: "desk", Capacity: sim.capacity})
	h.hold("w00")
	job := h.job(2, 7, short, shortObjective, longDeadline)
	h.submit(job)
	require.Equal(t, Refused.String(), h.outcome(job))
}

// Checks the cause that is logged with each refusal.
func TestRefusalRecordsItsCause(t *testing.T) {
	causeOf := func(prepare func(h *harness)) string {
		h := newHarness(t)
		h.addWorkers(3, 16, 1)
		prepare(h)
		job := h.job(4, 8, short, short+30*time.Millisecond, longDeadline)
		h.submit(job)
		require.Equal(t, "refused", h.outcome(job))
		return job.Diagnostics.Shortage.Cause()
	}
	require.Equal(t, causeFull, causeOf(func(h *harness) {
		h.submit(h.job(6, 8, time.Second, 2*time.Second, 6*time.Second))
	}))
	require.Equal(t, causePartial, causeOf(func(h *harness) {
		h.submit(h.job(5, 8, time.Second, 2*time.Second, 6*time.Second))
	}))
	require.Equal(t, string(reasonUnresponsive), causeOf(func(h *harness) {
		h.cell.MarkUnresponsive(h.cell.Worker("w00"))
		h.cell.MarkUnresponsive(h.cell.Worker("w01"))
	}))
	require.Equal(t, string(reasonLeaving), causeOf(func(h *harness) {
		h.cell.SetReleasing(h.cell.Worker("w00"), true)
		h.cell.SetReleasing(h.cell.Worker("w01"), true)
		h.cell.MarkUnresponsive(h.cell.Worker("w02"))
	}))
}

func TestShortageIsOneLineInAFixedOrder(t *testing.T) {
	shortage := &Shortage{WaitingTasks: 4, TasksAhead: 2, FreeSlots: 3, UsableWorkers: 5, UnusableWorkers: map[UnusableReason]int{reasonUnresponsive: 2, reasonFailing: 1}}
	require.Equal(t, "wanted 4, ahead 2, free 3, workers in use 5, failing 1, silent 2", shortage.String())
	require.Equal(t, causePartial, shortage.Cause())
	shortage.FreeSlots = 4
	require.Equal(t, causeForecast, shortage.Cause())
}

// TestTasksOfALostWorkerStartAnewOnceItsLeaseHasEnded has the keeper go on calling a worker that is gone for good: one
// that is silent, and one whose address refuses connections, after which its tasks run alone.
func TestTasksOfALostWorkerStartAnewOnceItsLeaseHasEnded(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		h := newHarness(t)
		h.addWorkers(1, 16, 1)
		h.pass(200 * time.Millisecond) // until the worker's clock is known
		job := h.job(2, 7, 400*time.Millisecond, 5*time.Second, 6*time.Second)
		h.submit(job)
		h.workers["w00"].down = true
		h.workers["w00"].unresponsive = !refuses
		h.addWorkers(2, 16, 1)
		h.pass(simLease + 200*time.Millisecond)
		if refuses {
			require.Len(t, h.workers["w01"].running, 1)
			require.Len(t, h.workers["w02"].running, 1)
		} else {
			require.Len(t, h.workers["w01"].running, 2)
		}
		h.pass(500 * time.Millisecond)
		require.Equal(t, "completed", h.outcome(job))
	}
}

// TestJobOfALostWorkerIsAnsweredAsSoonAsItCannotBeServed leaves no room to start its tasks anew.
func TestJobOfALostWorkerIsAnsweredAsSoonAsItCannotBeServed(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond) // until the worker's clock is known
	job := h.job(2, 7, 400*time.Millisecond, time.Second, 6*time.Second)
	h.submit(job)
	h.workers["w00"].down = true
	h.pass(6*time.Second - 300*time.Millisecond)
	require.Equal(t, "abandoned", h.outcome(job), "its tasks cannot end before the deadline any more")
}

// TestRunThatIgnoresItsStopEndsBeforeTheCallerResubmits guards against renewing the lease of a run of an abandoned job
// together with that of the worker's other runs.
func TestRunThatIgnoresItsStopEndsBeforeTheCallerResubmits(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond) // until the worker's clock is known
	sim := h.workers["w00"]
	sim.ignoresStops = true
	abandoned := h.job(1, 7, veryLong, 2*veryLong, 2*veryLong)
	h.submit(abandoned)
	h.submit(h.job(1, 7, veryLong, 2*veryLong, 2*veryLong))
	h.pass(5 * time.Second)
	require.Len(t, sim.running, 2)
	effects := h.cell.Cancel(abandoned, "the caller left", h.now)
	h.applyEffects(&effects)
	h.pass(resendAfter)
	require.NotContains(t, sim.running, runKey{"j0001.0", 1})
}
