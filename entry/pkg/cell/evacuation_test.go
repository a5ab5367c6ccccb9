package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// evacuatedHarness has a worker in each of two failure domains.
func evacuatedHarness(t *testing.T) *harness {
	h := newHarness(t)
	for _, h.domain = range []string{"east", "west"} {
		h.addWorkers(1, 16, 1)
	}
	return h
}

func TestEvacuatedWorkersGetNoNewJobs(t *testing.T) {
	h := evacuatedHarness(t)
	h.evacuate("east")
	for range 2 {
		h.submit(h.job(1, 7, short, shortObjective, longDeadline))
	}
	require.Empty(t, h.workers["w00"].running)
	require.Len(t, h.workers["w01"].running, 2)
	require.Equal(t, 0, h.cell.Loads(h.now)[0].FreeSlots, "free slots of evacuated workers are offered to other keepers")
}

func TestFullyEvacuatedCellRefusesAtOnce(t *testing.T) {
	h := evacuatedHarness(t)
	running := h.job(4, 7, 300*time.Millisecond, time.Second, longDeadline)
	waiting := h.job(1, 7, short, time.Second, longDeadline)
	h.submit(running)
	h.submit(waiting)
	require.Equal(t, "none", h.outcome(waiting))
	h.evacuate("east", "west")
	require.Equal(t, "refused", h.outcome(waiting))
	require.Equal(t, maxRetryDelay, h.answers[waiting.ID].RetryAfter)
	late := h.job(1, 7, short, time.Second, longDeadline)
	require.False(t, h.cell.CanEverRun(late))
	require.False(t, h.submitLate(late))
	h.submit(late)
	require.Equal(t, "refused", h.outcome(late))
	h.pass(400 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(running), "what runs there ends by itself")
}

func TestStartedJobFinishesItsStartsWithinTheGrace(t *testing.T) {
	h := evacuatedHarness(t)
	job := h.job(6, 7, 200*time.Millisecond, 2*time.Second, 4*time.Second) // four at a time
	h.submit(job)
	h.evacuate("east", "west")
	h.pass(500 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(job))
}

// TestStartedJobIsAnsweredWhenTheGraceEnds has two tasks left to start when the workers may start nothing any more.
func TestStartedJobIsAnsweredWhenTheGraceEnds(t *testing.T) {
	h := evacuatedHarness(t)
	job := h.job(6, 7, 1200*time.Millisecond, 5*time.Second, 8*time.Second)
	h.submit(job)
	h.evacuate("east", "west")
	h.pass(evacuationGrace - step)
	require.Equal(t, "none", h.outcome(job))
	h.pass(2 * step)
	require.Equal(t, "abandoned", h.outcome(job))
}

func TestWorkersThatAreTakenBackServeAtOnce(t *testing.T) {
	h := evacuatedHarness(t)
	h.evacuate("east", "west")
	h.evacuate("west")
	h.domain = "west"
	h.addWorkers(1, 16, 1) // joins during the evacuation
	job := h.job(2, 7, short, shortObjective, longDeadline)
	h.submit(job)
	require.Len(t, h.workers["w00"].running, 2)
	h.evacuate()
	h.submit(h.job(4, 7, short, shortObjective, longDeadline))
	require.Len(t, h.workers["w01"].running, 2)
	require.Len(t, h.workers["w02"].running, 2)
}

// TestColdAfterEvacuation is the load in which workers come back slower than they were: what was learnt of each before
// must not flood those that were fast.
func TestColdAfterEvacuation(t *testing.T) {
	h := evacuatedHarness(t)
	worker := h.cell.Worker("w00")
	h.workers["w00"].speed = 0.2
	for range 2 * workerTrustRuns {
		h.submit(h.job(1, 16, 400*time.Millisecond, time.Second, longDeadline))
		h.submit(h.job(1, 16, 400*time.Millisecond, time.Second, longDeadline))
		h.pass(450 * time.Millisecond)
	}
	job := h.job(1, 7, short, shortObjective, longDeadline)
	learnt := h.cell.speeds.expected(job.Tasks[0], worker)
	h.evacuate("east")
	require.Equal(t, learnt, h.cell.speeds.expected(job.Tasks[0], worker))
	h.evacuate()
	require.Greater(t, h.cell.speeds.expected(job.Tasks[0], worker), 2*learnt, "the mean of its kind is expected of it at first")
}
