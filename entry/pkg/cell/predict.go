package cell

import (
	"container/heap"
	"time"
)

// joinDelay is how long a new worker may take to its first report; a call takes some milliseconds.
const joinDelay = 30 * time.Millisecond

// farOff stands for a time that cannot be foreseen.
const farOff = time.Hour

// forecast foresees when tasks can start: each place for a task comes free at a time, and a task that starts there
// takes it for a while.
type forecast struct {
	now    time.Time
	places timeHeap
}

// newForecast returns the places for tasks of the job's size at the workers that suit: those that are free, and one for
// each run's end. No more free places are counted than there are tasks, since a worker has room for any number of tasks
// that need next to nothing.
func (c *Cell) newForecast(job *Job, tasks int, suits func(*Worker) bool, now time.Time) *forecast {
	f := &forecast{now: now}
	need := job.Tasks[0].Demand
	open := 0
	for _, worker := range c.ordered {
		if open >= tasks {
			break // all tasks start now, whatever the other workers have
		}
		if worker.Group != job.Group || !suits(worker) {
			continue
		}
		free := now
		switch {
		case worker.joining && !worker.Leaving:
			free = now.Add(joinDelay)
		case !worker.usable(now):
			continue
		}
		places := min(worker.free().Times(need), tasks)
		for range places {
			f.places = append(f.places, free)
		}
		if free.Equal(now) {
			open += places
		}
		for _, run := range worker.runs {
			f.places = append(f.places, run.expectedEnd(now))
		}
	}
	heap.Init(&f.places)
	return f
}

// take starts so many tasks one after the other where a place comes free first, and returns when the last one starts.
func (f *forecast) take(tasks int, length time.Duration) time.Time {
	last := f.now
	for range tasks {
		if len(f.places) == 0 {
			return f.now.Add(farOff)
		}
		last = f.places[0]
		f.places[0] = last.Add(length)
		heap.Fix(&f.places, 0)
	}
	return last
}

// timeHeap is a heap of times, earliest first.
type timeHeap []time.Time

// Len implements heap.Interface.
func (h timeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timeHeap) Less(i, j int) bool { return h[i].Before(h[j]) }

// Swap implements heap.Interface.
func (h timeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timeHeap) Push(value any) { *h = append(*h, value.(time.Time)) }

// Pop implements heap.Interface.
func (h *timeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// expectedEnd returns when the run is expected to end; one that is overdue counts as taking half as long again.
func (r *Run) expectedEnd(now time.Time) time.Time {
	if r.stopping {
		return now.Add(lapseMargin)
	}
	end := r.sent.Add(r.expected)
	if end.Before(now) {
		return now.Add(now.Sub(r.sent) / 2)
	}
	return end
}

// predict returns how long the job would wait until its last task has started.
func (c *Cell) predict(job *Job, now time.Time) time.Duration {
	return c.foresee(job, func(*Worker) bool { return true }, now)
}

// foresee returns how long the job would wait until its last task has started at a worker that suits.
func (c *Cell) foresee(job *Job, suits func(*Worker) bool, now time.Time) time.Duration {
	ahead := c.ahead(job)
	tasks := job.waiting()
	for _, other := range ahead {
		tasks += other.waiting()
	}
	foreseen := c.newForecast(job, tasks, suits, now)
	for _, other := range ahead {
		foreseen.take(other.waiting(), c.speeds.usual(other.Queue, other.longest()))
	}
	return foreseen.take(job.waiting(), c.speeds.usual(job.Queue, job.longest())).Sub(now)
}

// ahead returns the waiting jobs that start before the job.
func (c *Cell) ahead(job *Job) []*Job {
	var ahead []*Job
	for _, other := range c.waiting {
		if other != job && !other.Decided() && (other.Started() || !c.latestStart(other).After(c.latestStart(job))) {
			ahead = append(ahead, other)
		}
	}
	return ahead
}

// allowWaves moves the objective of a job that is wider than all room of the cell: its tasks can only run in waves.
func (c *Cell) allowWaves(job *Job) {
	places := 0
	for _, worker := range c.ordered {
		if worker.Group == job.Group && worker.isPromising() {
			places += worker.Capacity.Times(job.Tasks[0].Demand)
		}
	}
	if places == 0 {
		return
	}
	waves := (len(job.Tasks) - 1) / places
	job.Objective = job.Objective.Add(time.Duration(waves) * c.speeds.usual(job.Queue, job.longest()))
}
