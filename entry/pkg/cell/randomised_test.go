package cell

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRandomisedSteps drives a cell through workers that fall silent, start anew, hang, fail and lose answers. The
// office checks at each start that no worker has more work than room, that no task runs twice at once, and that
// nothing of a refused job has run; the end checks that every job has its answer and that all room comes back.
func TestRandomisedSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOffice(t)
		o.addWorkers(rapid.IntRange(1, 4).Draw(t, "workers"), 16, rapid.SampledFrom([]float64{0.6, 1, 1.7}).Draw(t, "speed"))
		for _, sim := range o.workers {
			sim.drift = rapid.SampledFrom([]float64{0.98, 1, 1.02}).Draw(t, "drift")
		}
		odds := rapid.IntRange(0, 30).Draw(t, "odds") // of each fault, in a hundred starts
		o.script = func(string, int) (hangs, fails, lost bool) {
			return rapid.IntRange(0, 99).Draw(t, "hangs") < odds/3, rapid.IntRange(0, 99).Draw(t, "fails") < odds, rapid.IntRange(0, 99).Draw(t, "lost") < odds
		}
		remembered := map[string][3]bool{}
		draw := o.script
		o.script = func(task string, run int) (hangs, fails, lost bool) {
			key := fmt.Sprintf("%s/%d", task, run)
			drawn, ok := remembered[key]
			if !ok {
				drawn[0], drawn[1], drawn[2] = draw(task, run)
				remembered[key] = drawn
			}
			return drawn[0], drawn[1], drawn[2]
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			o.step(t)
		}
		o.settle(t)
	})
}

func (o *office) step(t *rapid.T) {
	id := fmt.Sprintf("w%02d", rapid.IntRange(0, len(o.workers)-1).Draw(t, "worker"))
	sim := o.workers[id]
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		sim.silent = !sim.silent
	case 1:
		sim.down = true
		sim.birth(o.now)
	case 2:
		sim.down = false
		sim.birth(o.now)
	case 3:
		effects := o.cell.HandleHomeFailure("home", "", o.now)
		o.carry(&effects)
	case 4:
		o.cell.SetLeaving(o.cell.Worker(id), rapid.Bool().Draw(t, "leaving"))
	case 5:
		name := fmt.Sprintf("j%04d", rapid.IntRange(1, o.jobs+1).Draw(t, "name"))
		if _, open := o.answers[name]; !open {
			o.submit(o.jobNamed(name+"x", 1, 5, 80*time.Millisecond, 200*time.Millisecond, patient))
			o.submit(o.jobNamed(name+"x", 1, 5, 80*time.Millisecond, 200*time.Millisecond, patient))
		}
	default:
		tasks := rapid.IntRange(1, 6).Draw(t, "tasks")
		estimate := time.Duration(rapid.IntRange(10, 800).Draw(t, "estimate")) * time.Millisecond
		job := o.job(tasks, int64(rapid.IntRange(3, 9).Draw(t, "cores")), estimate, 2*estimate+usual, 3*estimate+patient)
		o.submit(job)
		if o.outcome(job) == "refused" {
			o.submitLate(job)
		}
	}
	o.pass(time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond)
}

// settle heals the workers and checks that nothing is left.
func (o *office) settle(t *rapid.T) {
	for _, sim := range o.workers {
		sim.silent = false
		if sim.down {
			sim.down = false
			sim.birth(o.now)
		}
	}
	o.pass(8 * time.Second)
	if len(o.cell.jobs) > 0 || len(o.cell.waiting) > 0 || len(o.cell.byID) > 0 {
		t.Fatalf("%d jobs without an answer, %d waiting, %d remembered", len(o.cell.jobs), len(o.cell.waiting), len(o.cell.byID))
	}
	for _, worker := range o.cell.Workers() {
		if !worker.Idle() || worker.used != (Resources{}) {
			t.Fatalf("worker %s still holds %v", worker.ID, worker.used)
		}
	}
}
