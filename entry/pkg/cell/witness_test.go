package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lostSender is a keeper that is lost in these tests.
var lostSender = Sender{Host: "lost", Incarnation: "1"}

// witness has the keeper notified of a start of the first job's task at the first worker, which lostSender is about to send.
func (h *harness) witness() {
	h.cell.WitnessStarts(lostSender, []LateStart{{Task: "j0001.0", Worker: "w00", Number: 1, Sent: h.now.UnixNano(), Known: callDelay}}, h.now)
}

func (h *harness) loseSender() int {
	effects, unsettled := h.cell.HandleKeeperFailure(lostSender.Host, "", h.now)
	h.applyEffects(&effects)
	return unsettled
}

// merge has the keeper merge the reports in the heartbeats of the other one.
func (h *harness) merge(other *harness) {
	effects := h.cell.MergeLateStarts(other.cell.RecentLateStarts(other.now), h.now)
	h.applyEffects(&effects)
}

// TestStartOfAKeeperThatFailsAtOnceBlocksItsTask guards against a start that its keeper sends just before it fails and that the
// worker carries out after a restart, beside the task's run elsewhere. The worker crashes twice before.
func TestStartOfAKeeperThatFailsAtOnceBlocksItsTask(t *testing.T) {
	next, third := newHarness(t), newHarness(t)
	next.addWorkers(1, 16, 1)
	next.pass(200 * time.Millisecond)
	third.addWorkers(2, 16, 1)
	third.cell.unlist(third.cell.Worker("w00"))
	third.pass(200 * time.Millisecond)
	next.witness()
	next.pass(failAfter)
	require.Equal(t, 1, next.loseSender())
	third.pass(failAfter)
	third.merge(next)
	for range 2 {
		again := third.jobNamed("j0001", 1, 5, 20*time.Second, veryLong, veryLong)
		third.submit(again)
		third.pass(time.Second) // the worker rejects the numbers that it has stopped
		require.Equal(t, 1, third.runningCount(), "the worker is not known to be gone")
		next.crashWorker("w00")
		third.merge(next)
		require.Equal(t, "abandoned", third.outcome(again))
		third.pass(200 * time.Millisecond)
		require.Zero(t, third.runningCount(), "the worker's next life may carry the start out")
		next.workers["w00"].down = false
		next.pass(400 * time.Millisecond)
		third.merge(next)
		delete(third.answers, "j0001")
	}
	require.True(t, third.cell.MayStartTaskLate("j0001.0", third.now), "nobody may say that it has not run")
	third.pass(callDelay)
	require.False(t, third.cell.MayStartTaskLate("j0001.0", third.now))
}

// TestReportedStartsAreNotTakenForUnsettled guards against tasks that are blocked for starts which were answered, or which the
// keeper has reported itself.
func TestReportedStartsAreNotTakenForUnsettled(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.witness()
	h.cell.HandleStartsReported(Sender{Host: lostSender.Host, Incarnation: "2"}, h.now.UnixNano())
	h.cell.HandleStartsReported(lostSender, h.now.UnixNano()-1)
	require.Len(t, h.cell.unsettled.witnessed[lostSender], 1)
	h.cell.HandleStartsReported(lostSender, h.now.UnixNano())
	require.Empty(t, h.cell.unsettled.witnessed)
	require.Zero(t, h.loseSender())

	h.witness()
	_, unsettled := h.cell.HandleKeeperFailure(lostSender.Host, lostSender.Incarnation, h.now)
	require.Zero(t, unsettled, "the process goes on")
	report := LateStart{Task: "j0001.0", Worker: "w00", Number: 1, Sent: h.now.UnixNano(), Known: callDelay}
	h.cell.MergeLateStarts([]LateStart{report}, h.now)
	require.Zero(t, h.loseSender())
	require.Len(t, h.cell.unsettled.byKey, 1)
}

// TestReportedTimeFollowsTheReports guards against a reported time that is ahead of the unsettled starts in the reports.
func TestReportedTimeFollowsTheReports(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	require.Zero(t, h.cell.StartsReportedUntil())
	h.pass(200 * time.Millisecond)
	run := h.cell.Submit(h.job(1, 5, 5*time.Second, veryLong, veryLong), h.now).Starts[0].Run
	for range 20 {
		h.now = h.now.Add(step)
		h.cell.Tick(h.now)
		isCovered := h.cell.StartsReportedUntil() >= run.sentAt.UnixNano()
		require.Equal(t, isCovered, len(h.cell.RecentLateStarts(h.now)) == 1)
	}
	require.GreaterOrEqual(t, h.cell.StartsReportedUntil(), run.sentAt.UnixNano())
}

// TestReportedTimeWaitsWhileNotAllFitIntoAHeartbeat guards against a witness that drops a start before it was reported as unsettled.
func TestReportedTimeWaitsWhileNotAllFitIntoAHeartbeat(t *testing.T) {
	h := newHarness(t)
	h.cell.Tick(h.now)
	before := h.cell.StartsReportedUntil()
	require.Equal(t, h.now.Add(-answerDelay).UnixNano()-1, before)
	seen := map[string]bool{}
	const count = 5 * maxCrashNews
	for i := range count {
		h.cell.WitnessStarts(lostSender, []LateStart{{Task: fmt.Sprint(i), Worker: "w00", Number: 1, Known: callDelay}}, h.now)
	}
	require.Equal(t, count, h.loseSender())
	for end := h.now.Add(reportWindow); h.now.Before(end); h.now = h.now.Add(reportTurn) {
		h.cell.Tick(h.now)
		require.Equal(t, before, h.cell.StartsReportedUntil())
		starts := h.cell.RecentLateStarts(h.now)
		require.LessOrEqual(t, len(starts), maxCrashNews)
		for i := range starts {
			seen[starts[i].Task] = true
		}
	}
	require.Len(t, seen, count, "they take turns")
	h.now = h.now.Add(reportWindow)
	h.cell.Tick(h.now)
	require.Greater(t, h.cell.StartsReportedUntil(), before)
}

// TestKeeperOfACrashedWorkerReportsThatALaterReportBlocks guards against a task that runs elsewhere since only its worker's keeper
// has seen the crash, and received the report of the start after it.
func TestKeeperOfACrashedWorkerReportsThatALaterReportBlocks(t *testing.T) {
	for name, learn := range map[string]func(h *harness){
		"witnessed": func(h *harness) {
			h.witness()
			h.loseSender()
		},
		"reported": func(h *harness) {
			h.cell.MergeLateStarts([]LateStart{{Task: "j0001.0", Worker: "w00", Number: 1, Known: callDelay}}, h.now)
		},
	} {
		h := newHarness(t)
		h.addWorkers(1, 16, 1)
		h.pass(200 * time.Millisecond)
		h.crashWorker("w00")
		learn(h)
		reports := h.cell.RecentLateStarts(h.now)
		require.Len(t, reports, 1, name)
		require.Positive(t, reports[0].Remaining, name)
	}
}

// TestWitnessedStartsAreBounded guards against a peer whose notices fill the memory, or that sends odd names.
func TestWitnessedStartsAreBounded(t *testing.T) {
	h := newHarness(t)
	starts := []LateStart{
		{Worker: "w00", Known: callDelay},
		{Task: string(make([]byte, maxTaskName+1)), Known: callDelay},
		{Task: "j", Worker: string(make([]byte, maxTaskName+1)), Known: callDelay},
	}
	h.cell.WitnessStarts(lostSender, starts, h.now)
	require.Empty(t, h.cell.unsettled.witnessed)
	for i := range maxWitnessed + 1 {
		h.cell.WitnessStarts(lostSender, []LateStart{{Task: fmt.Sprint(i), Worker: "w00", Number: 1, Known: callDelay}}, h.now)
	}
	require.Len(t, h.cell.unsettled.witnessed[lostSender], maxWitnessed)
	require.Equal(t, "1", h.cell.unsettled.witnessed[lostSender][0].task, "the latest remain")
	h.now = h.now.Add(callDelay)
	h.cell.Tick(h.now)
	require.Empty(t, h.cell.unsettled.witnessed)
}

// TestWitnessDoesNotUnblockATask guards against a task that starts elsewhere since a witness, which does not hold the worker, repeats
// an older state after the worker's keeper has reported the crash.
func TestWitnessDoesNotUnblockATask(t *testing.T) {
	witness, keeper, third := newHarness(t), newHarness(t), newHarness(t)
	witness.witness()
	witness.loseSender()
	keeper.addWorkers(1, 16, 1)
	keeper.merge(witness)
	third.merge(witness)
	earlier := witness.cell.RecentLateStarts(witness.now)
	keeper.crashWorker("w00")
	third.merge(keeper)
	require.Contains(t, third.cell.unsettled.blocking, "j0001.0")
	third.cell.MergeLateStarts(earlier, third.now)
	require.Contains(t, third.cell.unsettled.blocking, "j0001.0", "only the worker's keeper sees that its next life rejects the start")
	keeper.workers["w00"].down = false
	keeper.pass(400 * time.Millisecond)
	third.merge(keeper)
	require.Empty(t, third.cell.unsettled.blocking)
}
