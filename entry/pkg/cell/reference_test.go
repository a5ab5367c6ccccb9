package cell

import (
	"container/heap"
	"slices"
	"time"
)

// reference decides as the first keepers did: for each waiting job it looks at all workers and at all jobs ahead.
type reference struct {
	*Cell
}

// assign starts what it can in the order of the jobs, and gives up what cannot be served.
func (r reference) assign(now time.Time, effects *Effects) {
	waiting := slices.DeleteFunc(slices.Clone(r.waiting), func(job *Job) bool { return !job.waits() })
	slices.SortStableFunc(waiting, r.compareOrder)
	for _, job := range waiting {
		if reason := r.giveUpReason(job, now); reason != "" {
			r.giveUp(job, reason, now, effects)
			continue
		}
		if job.predecessor != nil && job.predecessor.running() {
			continue
		}
		if now.After(r.startDeadline(job)) || r.IsBlocked(job, now) || !r.hasRoom(job, now) {
			continue
		}
		if !job.Started() && now.Add(r.delay(job, waiting, everyWorker, now)).After(r.latestStart(job)) {
			continue
		}
		for _, task := range job.Tasks {
			if task.state != Waiting {
				continue
			}
			if worker := r.choose(task, now); worker != nil {
				effects.Starts = append(effects.Starts, r.start(task, worker, now))
			}
		}
	}
}

func everyWorker(*Worker) bool {
	return true
}

func (r reference) hasRoom(job *Job, now time.Time) bool {
	return slices.ContainsFunc(job.Tasks, func(task *Task) bool {
		return task.state == Waiting && slices.ContainsFunc(r.ordered, func(worker *Worker) bool {
			return worker.Group == job.Group && worker.usableFor(job, now) && worker.hasRoomFor(task)
		})
	})
}

// choose returns the worker for the task, or nil.
func (r reference) choose(task *Task, now time.Time) *Worker {
	best, late := choice{}, choice{}
	fastest := unknownDelay
	for _, worker := range r.ordered {
		if worker.Group != task.Job.Group || !worker.usableFor(task.Job, now) {
			continue
		}
		expected := r.speeds.expected(task, worker)
		fastest = min(fastest, expected)
		if !worker.hasRoomFor(task) || !worker.leasesEndInTime(task.Job) {
			continue
		}
		if endsInTime(task, expected, now) {
			best.offer(worker, cost(task, worker, r.speeds.slowness(worker)))
		} else {
			late.offer(worker, expected.Seconds())
		}
	}
	if best.worker == nil && now.Add(fastest).After(task.Job.Objective) {
		return late.worker
	}
	return best.worker
}

// tasksAhead returns the number of tasks that wait before those of the job.
func (r reference) tasksAhead(job *Job, now time.Time) int {
	tasks := 0
	for _, other := range r.waiting {
		if other != job && other.waits() && !r.IsBlocked(other, now) && r.isAhead(other, job) {
			tasks += other.waiting()
		}
	}
	return tasks
}

// delay predicts the delay until the last task of the job starts: each free slot and each end of a run serves one task.
func (r reference) delay(job *Job, waiting []*Job, eligible func(*Worker) bool, now time.Time) time.Duration {
	var ahead []*Job
	tasks := job.waiting()
	for _, other := range waiting {
		if other != job && other.waits() && !r.IsBlocked(other, now) && r.isAhead(other, job) {
			ahead = append(ahead, other)
			tasks += other.waiting()
		}
	}
	shared := r.slots(job, tasks, eligible, now)
	alone := r.idle(job, eligible, now)
	for _, other := range ahead {
		shared.schedule(other.waiting(), r.typical(other))
		alone.schedule(other.waitingAlone(), r.typical(other))
	}
	delay := shared.schedule(job.waiting(), r.typical(job))
	if job.waitingAlone() == 0 {
		return delay
	}
	return max(delay, alone.schedule(job.waitingAlone(), r.typical(job)))
}

// slots returns when each slot for a task of the job becomes free.
func (r reference) slots(job *Job, tasks int, eligible func(*Worker) bool, now time.Time) *referenceSlots {
	slots := &referenceSlots{}
	demand := job.Tasks[0].Demand
	for _, worker := range r.ordered {
		if worker.Group != job.Group || !worker.Capacity.Fits(demand) || !eligible(worker) {
			continue
		}
		freeAt := time.Duration(0)
		switch {
		case worker.joining && !worker.Leaving && !worker.releasing && !worker.evacuated():
			freeAt = joinDelay
		case worker.hasLoneRun() && !worker.evacuated() && worker.unusableReason(now) == reasonLoneRun:
			for range min(worker.Capacity.Slots(demand), tasks) {
				*slots = append(*slots, worker.idleAt(now).Sub(now))
			}
			continue
		case !worker.usableFor(job, now):
			continue
		}
		for range min(worker.free().Slots(demand), tasks) {
			*slots = append(*slots, freeAt)
		}
		*slots = append(*slots, referenceEnds(worker, demand, now)...)
	}
	heap.Init(slots)
	return slots
}

// referenceEnds returns the ends of runs that give room for a task.
func referenceEnds(worker *Worker, demand Resources, now time.Time) []time.Duration {
	runs := worker.sortedRuns()
	slices.SortStableFunc(runs, func(a, b *Run) int { return a.expectedEnd(now).Compare(b.expectedEnd(now)) })
	var ends []time.Duration
	free, overdrawn := worker.free(), worker.free().IsOverdrawn()
	for _, run := range runs {
		free = free.Plus(run.Task.Demand)
		if !overdrawn || free.Fits(demand) {
			ends = append(ends, run.expectedEnd(now).Sub(now))
		}
	}
	return ends
}

// idle returns when each worker becomes idle.
func (r reference) idle(job *Job, eligible func(*Worker) bool, now time.Time) *referenceSlots {
	slots := &referenceSlots{}
	for _, worker := range r.ordered {
		if worker.Group != job.Group || !eligible(worker) || !worker.Capacity.Fits(job.Tasks[0].Demand) {
			continue
		}
		if worker.usableFor(job, now) || worker.unusableReason(now) == reasonLoneRun {
			*slots = append(*slots, worker.idleAt(now).Sub(now))
		}
	}
	heap.Init(slots)
	return slots
}

// referenceSlots is a min-heap of the times when slots become free.
type referenceSlots []time.Duration

// Len implements heap.Interface.
func (h referenceSlots) Len() int { return len(h) }

// Less implements heap.Interface.
func (h referenceSlots) Less(i, j int) bool { return h[i] < h[j] }

// Swap implements heap.Interface.
func (h referenceSlots) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *referenceSlots) Push(value any) { *h = append(*h, value.(time.Duration)) }

// Pop implements heap.Interface.
func (h *referenceSlots) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// schedule starts the tasks one after the other, each in the slot that becomes free first, and returns the last start.
func (h *referenceSlots) schedule(tasks int, length time.Duration) time.Duration {
	last := time.Duration(0)
	for range tasks {
		if len(*h) == 0 {
			return unknownDelay
		}
		last = (*h)[0]
		(*h)[0] += length
		heap.Fix(h, 0)
	}
	return last
}
