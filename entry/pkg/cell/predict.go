package cell

import (
	"container/heap"
	"slices"
	"time"
)

// joinDelay is the time allowed for the first report of a new worker; a call takes some milliseconds.
const joinDelay = 30 * time.Millisecond

// unknownDelay stands for a delay that cannot be predicted.
const unknownDelay = time.Hour

// forecast predicts when tasks can start: each slot becomes free at a certain time, and a task that starts there
// occupies it for its run time.
type forecast struct {
	now   time.Time
	slots timeHeap
}

// newForecast returns the slots for tasks of the job's size on eligible workers: the free ones, and one for the end of
// each run that gives room. Free slots are limited to the number of tasks, since a worker has almost unlimited slots for tasks with a
// tiny demand.
func (c *Cell) newForecast(job *Job, tasks int, eligible func(*Worker) bool, now time.Time) *forecast {
	f := &forecast{now: now}
	demand := job.Tasks[0].Demand
	freeNow := 0
	for _, worker := range c.ordered {
		if freeNow >= tasks {
			break // all tasks start now, whatever the other workers have free
		}
		if worker.Group != job.Group || !worker.Capacity.Fits(demand) || !eligible(worker) {
			continue
		}
		freeAt := now
		switch {
		case worker.joining && !worker.Leaving && !worker.releasing && !worker.evacuated():
			freeAt = now.Add(joinDelay)
		case worker.hasLoneRun() && !worker.evacuated() && worker.unusableReason(now) == reasonLoneRun:
			for range min(worker.Capacity.Slots(demand), tasks) {
				f.slots = append(f.slots, worker.idleAt(now))
			}
			continue
		case !worker.usableFor(job, now):
			continue
		}
		slots := min(worker.free().Slots(demand), tasks)
		for range slots {
			f.slots = append(f.slots, freeAt)
		}
		if freeAt.Equal(now) {
			freeNow += slots
		}
		f.slots = append(f.slots, worker.slotEnds(demand, now)...)
	}
	heap.Init(&f.slots)
	return f
}

// slotEnds returns when a slot for a task of that demand becomes free: at the end of each run, but on a worker whose
// capacity has shrunk below what is in use only from the end on that leaves room for the task.
func (w *Worker) slotEnds(demand Resources, now time.Time) []time.Time {
	free := w.free()
	if !free.IsOverdrawn() {
		ends := make([]time.Time, 0, len(w.runs))
		for _, run := range w.runs {
			ends = append(ends, run.expectedEnd(now))
		}
		return ends
	}
	runs := w.sortedRuns()
	slices.SortStableFunc(runs, func(a, b *Run) int { return a.expectedEnd(now).Compare(b.expectedEnd(now)) })
	var ends []time.Time
	for _, run := range runs {
		free = free.Plus(run.Task.Demand)
		if free.Fits(demand) {
			ends = append(ends, run.expectedEnd(now))
		}
	}
	return ends
}

// schedule starts the given number of tasks one after the other, each in the slot that becomes free first, and returns
// the start time of the last one.
func (f *forecast) schedule(tasks int, length time.Duration) time.Time {
	last := f.now
	for range tasks {
		if len(f.slots) == 0 {
			return f.now.Add(unknownDelay)
		}
		last = f.slots[0]
		f.slots[0] = last.Add(length)
		heap.Fix(&f.slots, 0)
	}
	return last
}

// timeHeap is a min-heap of times.
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

// expectedEnd returns when the run is expected to end; an overdue run is expected to take half as long again.
func (r *Run) expectedEnd(now time.Time) time.Time {
	if r.stopping {
		return now.Add(lapseMargin)
	}
	end := r.sentAt.Add(r.expected)
	if end.Before(now) {
		return now.Add(now.Sub(r.sentAt) / 2)
	}
	return end
}

// predictDelay returns the predicted delay until the last task of the job has started.
func (c *Cell) predictDelay(job *Job, now time.Time) time.Duration {
	return c.forecastDelay(job, func(*Worker) bool { return true }, now)
}

// forecastDelay returns the predicted delay until the last task of the job has started on an eligible worker.
func (c *Cell) forecastDelay(job *Job, eligible func(*Worker) bool, now time.Time) time.Duration {
	ahead := c.ahead(job, now)
	tasks := job.waiting()
	for _, other := range ahead {
		tasks += other.waiting()
	}
	f := c.newForecast(job, tasks, eligible, now)
	for _, other := range ahead {
		f.schedule(other.waiting(), c.typical(other))
	}
	delay := f.schedule(job.waiting(), c.typical(job)).Sub(now)
	return max(delay, c.forecastAlone(job, ahead, eligible, now))
}

// ahead returns the waiting jobs that start before the job.
func (c *Cell) ahead(job *Job, now time.Time) []*Job {
	var ahead []*Job
	for _, other := range c.waiting {
		if other != job && !other.Decided() && !c.IsBlocked(other, now) && c.isAhead(other, job) {
			ahead = append(ahead, other)
		}
	}
	return ahead
}

// extendObjective extends the objective of a job with more tasks than the cell has slots, since its tasks must run in
// several rounds.
func (c *Cell) extendObjective(job *Job) {
	slots := c.slots(job)
	if slots == 0 {
		return
	}
	rounds := (len(job.Tasks) - 1) / slots
	job.Objective = job.Objective.Add(time.Duration(rounds) * c.typical(job))
}
