package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lostSender is a keeper that is lost in these tests.
var lostSender = Sender{Host: "lost", Incarnation: "1"}

// witness has the keeper told of a start of the first job's task that the lost keeper is about to send to the first worker.
func (h *harness) witness() {
	h.cell.WitnessStarts(lostSender, []LateStart{{Task: "j0001.0", Worker: "w00", Number: 1, Sent: h.now.UnixNano(), Known: callDelay}}, h.now)
}

func (h *harness) loseSender() int {
	effects, unsettled := h.cell.HandleKeeperFailure(lostSender.Host, "", h.now)
	h.applyEffects(&effects)
	return unsettled
}

// hear has the keeper hear what the other one tells in its heartbeats.
func (h *harness) hear(other *harness) {
	effects := h.cell.MergeLateStarts(other.cell.RecentLateStarts(other.now), h.now)
	h.applyEffects(&effects)
}

// TestLateStartOfAKeeperThatIsLostAtOnceBlocksItsTask guards against a start that its keeper sends just before it is lost and that
// the worker carries out in a next life, beside the task's run elsewhere. The worker crashes twice before.
func TestLateStartOfAKeeperThatIsLostAtOnceBlocksItsTask(t *testing.T) {
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
	third.hear(next)
	for range 2 {
		again := third.jobNamed("j0001", 1, 5, 20*time.Second, veryLong, veryLong)
		third.submit(again)
		third.pass(time.Second) // the worker rejects the numbers that it has stopped
		require.Equal(t, 1, third.runningCount(), "the worker is not known to be gone")
		next.crashWorker("w00")
		third.hear(next)
		require.Equal(t, "abandoned", third.outcome(again))
		third.pass(200 * time.Millisecond)
		require.Zero(t, third.runningCount(), "the worker's next life may carry the start out")
		next.workers["w00"].down = false
		next.pass(400 * time.Millisecond)
		third.hear(next)
		delete(third.answers, "j0001")
	}
	require.True(t, third.cell.MayStartTaskLate("j0001.0", third.now), "nobody may say that it has not run")
	third.pass(callDelay)
	require.False(t, third.cell.MayStartTaskLate("j0001.0", third.now))
}

// TestStartsWhoseAnswersAreKnownOutliveNoLoss guards against tasks that are blocked for starts which were answered, or of which the
// keeper has told itself.
func TestStartsWhoseAnswersAreKnownOutliveNoLoss(t *testing.T) {
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
	told := LateStart{Task: "j0001.0", Worker: "w00", Number: 1, Sent: h.now.UnixNano(), Known: callDelay}
	h.cell.MergeLateStarts([]LateStart{told}, h.now)
	require.Zero(t, h.loseSender())
	require.Len(t, h.cell.unsettled.byKey, 1)
}

// TestAnswersAreKnownOnceOthersAreTold guards against a time that is told before the starts without an answer up to it.
func TestAnswersAreKnownOnceOthersAreTold(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	require.Zero(t, h.cell.StartsReportedUntil())
	h.pass(200 * time.Millisecond)
	run := h.cell.Submit(h.job(1, 5, 5*time.Second, veryLong, veryLong), h.now).Starts[0].Run
	for range 20 {
		h.now = h.now.Add(step)
		h.cell.Tick(h.now)
		isKnown := h.cell.StartsReportedUntil() >= run.sentAt.UnixNano()
		require.Equal(t, isKnown, len(h.cell.RecentLateStarts(h.now)) == 1)
	}
	require.GreaterOrEqual(t, h.cell.StartsReportedUntil(), run.sentAt.UnixNano())
}

// TestAnswersAreNotKnownWhileNotAllFitIntoAHeartbeat guards against a host that drops a start of which it was not told yet that it
// has no answer.
func TestAnswersAreNotKnownWhileNotAllFitIntoAHeartbeat(t *testing.T) {
	h := newHarness(t)
	h.cell.Tick(h.now)
	before := h.cell.StartsReportedUntil()
	require.Equal(t, h.now.Add(-answerDelay).UnixNano()-1, before)
	told := map[string]bool{}
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
			told[starts[i].Task] = true
		}
	}
	require.Len(t, told, count, "they take turns")
	h.now = h.now.Add(reportWindow)
	h.cell.Tick(h.now)
	require.Greater(t, h.cell.StartsReportedUntil(), before)
}

// TestKeeperOfAGoneWorkerTellsOthersOfAStartThatItHearsOf guards against a task that runs elsewhere since its worker's keeper alone
// knows that the worker has crashed, and it heard of the start only later.
func TestKeeperOfAGoneWorkerTellsOthersOfAStartThatItHearsOf(t *testing.T) {
	for name, learn := range map[string]func(h *harness){
		"witnessed": func(h *harness) {
			h.witness()
			h.loseSender()
		},
		"told": func(h *harness) {
			h.cell.MergeLateStarts([]LateStart{{Task: "j0001.0", Worker: "w00", Number: 1, Known: callDelay}}, h.now)
		},
	} {
		h := newHarness(t)
		h.addWorkers(1, 16, 1)
		h.pass(200 * time.Millisecond)
		h.crashWorker("w00")
		learn(h)
		told := h.cell.RecentLateStarts(h.now)
		require.Len(t, told, 1, name)
		require.Positive(t, told[0].Remaining, name)
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
	keeper.hear(witness)
	third.hear(witness)
	stale := witness.cell.RecentLateStarts(witness.now)
	keeper.crashWorker("w00")
	third.hear(keeper)
	require.Contains(t, third.cell.unsettled.blocking, "j0001.0")
	third.cell.MergeLateStarts(stale, third.now)
	require.Contains(t, third.cell.unsettled.blocking, "j0001.0", "only the worker's keeper sees that its next life rejects the start")
	keeper.workers["w00"].down = false
	keeper.pass(400 * time.Millisecond)
	third.hear(keeper)
	require.Empty(t, third.cell.unsettled.blocking)
}
