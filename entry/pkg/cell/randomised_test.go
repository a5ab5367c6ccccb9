package cell

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRandomisedSteps drives a cell through workers that become unresponsive, restart, hang, fail, lose answers, shrink,
// grow and are evacuated. Each start is checked: no worker exceeds the capacity that the cell was told, no task runs twice at once, nothing of a refused
// job has run, and evacuated workers get no new jobs. At the end every job must have its answer and all resources must be free.
func TestRandomisedSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		for _, h.domain = range []string{"east", "west"} {
			h.addWorkers(rapid.IntRange(1, 3).Draw(t, "workers"), 16, rapid.SampledFrom([]float64{0.6, 1, 1.7}).Draw(t, "speed"))
		}
		for _, sim := range h.workers {
			sim.drift = rapid.SampledFrom([]float64{0.98, 1, 1.02}).Draw(t, "drift")
		}
		odds := rapid.IntRange(0, 30).Draw(t, "odds") // percentage of starts with each fault
		h.script = func(string, int) (hangs, fails, lost bool) {
			return rapid.IntRange(0, 99).Draw(t, "hangs") < odds/3, rapid.IntRange(0, 99).Draw(t, "fails") < odds, rapid.IntRange(0, 99).Draw(t, "lost") < odds
		}
		drawnFaults := map[string][3]bool{}
		draw := h.script
		h.script = func(task string, run int) (hangs, fails, lost bool) {
			key := fmt.Sprintf("%s/%d", task, run)
			drawn, ok := drawnFaults[key]
			if !ok {
				drawn[0], drawn[1], drawn[2] = draw(task, run)
				drawnFaults[key] = drawn
			}
			return drawn[0], drawn[1], drawn[2]
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			h.step(t)
		}
		h.settle(t)
	})
}

func (h *harness) step(t *rapid.T) {
	id := fmt.Sprintf("w%02d", rapid.IntRange(0, len(h.workers)-1).Draw(t, "worker"))
	sim := h.workers[id]
	switch rapid.IntRange(0, 11).Draw(t, "step") {
	case 0:
		sim.unresponsive = !sim.unresponsive
	case 1:
		sim.down = true
		sim.restart(h.now)
	case 2:
		sim.down = false
		sim.restart(h.now)
	case 3:
		effects := h.cell.HandleHomeFailure("home", "", h.now)
		h.applyEffects(&effects)
	case 4:
		h.cell.SetReleasing(h.cell.Worker(id), rapid.Bool().Draw(t, "leaving"))
	case 5:
		name := fmt.Sprintf("j%04d", rapid.IntRange(1, h.jobs+1).Draw(t, "name"))
		if _, open := h.answers[name]; !open {
			h.submit(h.jobNamed(name+"x", 1, 5, 80*time.Millisecond, 200*time.Millisecond, longDeadline))
			h.submit(h.jobNamed(name+"x", 1, 5, 80*time.Millisecond, 200*time.Millisecond, longDeadline))
		}
	case 6:
		h.evacuate(rapid.SampledFrom([][]string{nil, {"east"}, {"west"}, {"east", "west"}}).Draw(t, "evacuated")...)
	case 7:
		delay := time.Duration(rapid.Int64Range(0, capacityDelay.Milliseconds()).Draw(t, "delay")) * time.Millisecond
		h.setCapacity(id, rapid.SampledFrom([]int64{0, 4, 8, 16, 24}).Draw(t, "capacity"), delay)
	default:
		tasks := rapid.IntRange(1, 6).Draw(t, "tasks")
		estimate := time.Duration(rapid.IntRange(10, 800).Draw(t, "estimate")) * time.Millisecond
		job := h.job(tasks, int64(rapid.IntRange(3, 9).Draw(t, "cores")), estimate, 2*estimate+shortObjective, 3*estimate+longDeadline)
		h.submit(job)
		if h.outcome(job) == "refused" {
			h.submitLate(job)
		}
	}
	h.pass(time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond)
}

// settle heals the workers and checks that no job and no run is left.
func (h *harness) settle(t *rapid.T) {
	for _, sim := range h.workers {
		sim.unresponsive = false
		if sim.down {
			sim.down = false
			sim.restart(h.now)
		}
	}
	h.pass(8 * time.Second)
	if len(h.cell.jobs) > 0 || len(h.cell.waiting) > 0 || len(h.cell.byID) > 0 {
		t.Fatalf("%d jobs without an answer, %d waiting, %d identifiers left", len(h.cell.jobs), len(h.cell.waiting), len(h.cell.byID))
	}
	for _, worker := range h.cell.Workers() {
		if !worker.Idle() || worker.used != (Resources{}) {
			t.Fatalf("worker %s still has %v allocated", worker.ID, worker.used)
		}
	}
}
