package cell

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// leftoverWeight is the cost of leaving all cores of a worker unused, relative to one typical run time.
	leftoverWeight = 0.5
	// runSlack is the safety factor on the expected run time against the objective, since run times vary.
	runSlack = 1.02
	// avoidWeight is the cost of the worker where the last run failed or hung.
	avoidWeight = 100.0
)

// selectWorker returns a worker for the task, or nil if the task should wait. A worker where the task would be late is
// chosen only if no worker could still finish it in time. It belongs to a pass of assign.
func (c *Cell) selectWorker(task *Task, now time.Time) *Worker {
	best, late := choice{}, choice{}
	fastest := time.Duration(math.MaxInt64)
	length := c.speeds.length(task)
	leaseDeadline := c.leaseDeadline(task.Job)
	for _, worker := range c.ordered {
		if worker.Group != task.Job.Group || !c.isUsableFor(task.Job, worker, now) {
			continue
		}
		slowness := c.speeds.slowness(worker)
		expected := time.Duration(length * slowness)
		fastest = min(fastest, expected)
		if !worker.hasRoomFor(task) || !worker.leasesEndBy(leaseDeadline) {
			continue
		}
		if endsInTime(task, expected, now) {
			best.offer(worker, cost(task, worker, slowness)+c.interferenceCost(task, worker, now))
		} else {
			late.offer(worker, expected.Seconds())
		}
	}
	if best.worker == nil && now.Add(fastest).After(task.Job.Objective) {
		return late.worker
	}
	return best.worker
}

// isInTime reports whether the task is expected to meet its job's objective if it starts on the worker now.
func (c *Cell) isInTime(task *Task, worker *Worker, now time.Time) bool {
	return endsInTime(task, c.speeds.expected(task, worker), now)
}

// endsInTime reports whether a task with this expected run time would meet its job's objective if it starts now.
func endsInTime(task *Task, expected time.Duration, now time.Time) bool {
	return !now.Add(time.Duration(runSlack * float64(expected))).After(task.Job.Objective)
}

// choice is the cheapest worker so far.
type choice struct {
	worker *Worker
	cost   float64
}

func (c *choice) offer(worker *Worker, cost float64) {
	if c.worker == nil || cost < c.cost || (cost == c.cost && worker.ID < c.worker.ID) {
		c.worker = worker
		c.cost = cost
	}
}

// cost combines the worker's slowness with the cores that the task would leave unused there.
func cost(task *Task, worker *Worker, slowness float64) float64 {
	left := worker.free().Minus(task.Demand)
	cost := slowness
	cost += leftoverWeight * float64(left.Cores) / float64(max(1, worker.Capacity.Cores))
	if worker == task.avoid {
		cost += avoidWeight
	}
	return cost
}

// sortedRuns returns a copy of the runs, sorted by task.
func (w *Worker) sortedRuns() []*Run {
	return slices.Clone(w.listed)
}

func (w *Worker) addRun(run *Run) {
	w.runs[runKey{run.Task.Name, run.Number}] = run
	at, _ := slices.BinarySearchFunc(w.listed, run, compareRuns)
	w.listed = slices.Insert(w.listed, at, run)
}

func (w *Worker) removeRun(run *Run) {
	delete(w.runs, runKey{run.Task.Name, run.Number})
	if at := slices.Index(w.listed, run); at >= 0 {
		w.listed = slices.Delete(w.listed, at, at+1)
	}
}

func compareRuns(a, b *Run) int {
	if order := strings.Compare(a.Task.Name, b.Task.Name); order != 0 {
		return order
	}
	return a.Number - b.Number
}
