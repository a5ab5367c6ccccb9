package cell

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// lateWeight makes a worker that would miss the objective the last choice.
	lateWeight = 1000.0
	// leftoverWeight is the cost of leaving a whole worker's cores in a gap, against one usual run time.
	leftoverWeight = 0.5
	// avoidWeight is the cost of the worker where the last run failed or hung.
	avoidWeight = 100.0
)

// place returns the worker for a task, or nil when no worker has room for it now.
func (c *Cell) place(task *Task, now time.Time) *Worker {
	var best *Worker
	bestCost := math.Inf(1)
	for _, worker := range c.workers {
		if worker.Group != task.Job.Group || !worker.usable(now) || !worker.free().Fits(task.Need) {
			continue
		}
		cost := c.cost(task, worker, now)
		if cost < bestCost || (cost == bestCost && worker.ID < best.ID) {
			best = worker
			bestCost = cost
		}
	}
	return best
}

// cost weighs a worker's speed against the gap that the task would leave there.
func (c *Cell) cost(task *Task, worker *Worker, now time.Time) float64 {
	expected := c.speeds.expected(task, worker)
	left := worker.free().Minus(task.Need)
	cost := c.speeds.slowness(worker)
	cost += leftoverWeight * float64(left.Cores) / float64(max(1, worker.Capacity.Cores))
	if late := now.Add(expected).Sub(task.Job.Objective); late > 0 {
		cost += lateWeight * (1 + late.Seconds())
	}
	if worker == task.avoid {
		cost += avoidWeight
	}
	return cost
}

func (c *Cell) sortedWorkers() []*Worker {
	workers := make([]*Worker, 0, len(c.workers))
	for _, worker := range c.workers {
		workers = append(workers, worker)
	}
	slices.SortFunc(workers, func(a, b *Worker) int { return strings.Compare(a.ID, b.ID) })
	return workers
}

func (w *Worker) sortedRuns() []*Run {
	runs := make([]*Run, 0, len(w.runs))
	for _, run := range w.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b *Run) int {
		if order := strings.Compare(a.Task.Name, b.Task.Name); order != 0 {
			return order
		}
		return a.Number - b.Number
	})
	return runs
}
