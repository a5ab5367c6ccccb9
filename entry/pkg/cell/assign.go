package cell

import (
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/invariant"
)

const (
	// leastRetry keeps callers that were refused from coming back within the same burst.
	leastRetry = time.Second
	// foresight is the part of its objective by which a job may be expected to be late and still be taken: run times are
	// known to a fifth at best, and a worker that empties has room for more than one task.
	foresight = 0.15
	// mostRetry bounds when refused callers come back, also when no worker is large enough; workers come and go every
	// few seconds.
	mostRetry = 5 * time.Second
)

// assign starts waiting tasks in the order of their latest start and gives up what cannot be served any more.
func (c *Cell) assign(now time.Time, effects *Effects) {
	c.sortWaiting()
	full := fullFor{}
	kept := c.waiting[:0]
	for _, job := range c.waiting {
		if job.Decided() {
			continue
		}
		if reason := c.hopeless(job, now); reason != "" {
			c.giveUp(job, reason, now, effects)
			continue
		}
		if job.earlier != nil && job.earlier.running() {
			kept = append(kept, job)
			continue
		}
		job.earlier = nil
		if full.covers(job) || !c.hasPlace(job, now) {
			full.note(job)
			kept = append(kept, job)
			continue
		}
		if !job.Started() && now.Add(c.predict(job, now)).After(c.latestStart(job)) {
			kept = append(kept, job)
			continue
		}
		if c.startTasks(job, now, effects); job.waiting() > 0 {
			kept = append(kept, job)
		}
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
}

// fullFor is the smallest need of a task for which no worker has room, by group. While jobs are only started, no larger task
// of the group finds room either.
type fullFor map[string]Resources

// covers reports whether it is known that the job's tasks find no room.
func (f fullFor) covers(job *Job) bool {
	need, known := f[job.Group]
	return known && job.Tasks[0].Demand.Fits(need)
}

// note takes in that the job's waiting tasks find no room.
func (f fullFor) note(job *Job) {
	need := job.Tasks[0].Demand
	if smallest, known := f[job.Group]; job.waiting() > 0 && (!known || smallest.Fits(need)) {
		f[job.Group] = need
	}
}

// hasPlace reports whether some worker has room for a waiting task of the job.
func (c *Cell) hasPlace(job *Job, now time.Time) bool {
	for _, task := range job.Tasks {
		if task.state != Waiting {
			continue
		}
		for _, worker := range c.ordered {
			if worker.Group == job.Group && worker.usable(now) && worker.free().Fits(task.Demand) {
				return true
			}
		}
		return false // the tasks of a job are of one size
	}
	return false
}

// sortWaiting puts the jobs first of which something runs already, since one late task spoils them, and then those that must start first.
func (c *Cell) sortWaiting() {
	slices.SortStableFunc(c.waiting, func(a, b *Job) int {
		if a.Started() != b.Started() {
			if a.Started() {
				return -1
			}
			return 1
		}
		if order := c.latestStart(a).Compare(c.latestStart(b)); order != 0 {
			return order
		}
		return int(a.seq - b.seq)
	})
}

// latestStart returns when the last task of the job has to start to make its objective, as far as can be foreseen.
func (c *Cell) latestStart(job *Job) time.Time {
	tolerance := time.Duration(foresight * float64(job.Objective.Sub(job.Arrived)))
	return job.Objective.Add(tolerance - c.speeds.usual(job.Queue, job.longest()))
}

// hopeless returns why the job is not worth waiting any longer, or "".
func (c *Cell) hopeless(job *Job, now time.Time) string {
	if now.Add(c.speeds.usual(job.Queue, job.longest())).After(job.Deadline) {
		return "it cannot end before its deadline"
	}
	if !job.Started() && now.After(c.latestStart(job)) {
		return "no room in time"
	}
	return ""
}

// startTasks starts those of the job's tasks that find room.
func (c *Cell) startTasks(job *Job, now time.Time, effects *Effects) {
	for _, task := range job.Tasks {
		if task.state != Waiting {
			continue
		}
		worker := c.place(task, now)
		if worker == nil {
			continue
		}
		effects.Starts = append(effects.Starts, c.start(task, worker, now))
	}
}

func (c *Cell) start(task *Task, worker *Worker, now time.Time) Start {
	invariant.Check(task.state == Waiting && task.run == nil, "task_runs_once", "task %s starts beside another run", task.Name)
	invariant.Check(!task.Job.Decided(), "no_start_after_answer", "job %s", task.Job.ID)
	invariant.Check(worker.held && len(worker.foreign) == 0, "only_held_workers", "worker %s", worker.ID)
	invariant.Check(worker.free().Fits(task.Demand), "room_holds", "worker %s", worker.ID)
	if !task.Job.Started() {
		task.Job.Diagnostics.QueueingDelay = now.Sub(task.Job.Arrived)
	}
	task.runs++
	task.state = Started
	run := &Run{
		Task:     task,
		Number:   task.runs,
		Worker:   worker,
		sent:     now,
		expected: c.speeds.expected(task, worker),
	}
	task.run = run
	worker.runs[runKey{task.Name, run.Number}] = run
	worker.used = worker.used.Plus(task.Demand)
	lease, _ := worker.Lease(now, c.limits.Lease)
	return Start{Run: run, Lease: lease}
}

// CanEverRun reports whether some worker of the group is large enough for each task.
func (c *Cell) CanEverRun(job *Job) bool {
	for i, task := range job.Tasks {
		if i > 0 && task.Demand == job.Tasks[i-1].Demand {
			continue
		}
		if !slices.ContainsFunc(c.ordered, func(worker *Worker) bool {
			return worker.Group == job.Group && worker.isPromising() && worker.Capacity.Fits(task.Demand)
		}) {
			return false
		}
	}
	return true
}

// comeBack returns when a refused caller should come back, given how long it would have had to wait.
func comeBack(wait time.Duration) time.Duration {
	return min(max(wait, leastRetry), mostRetry)
}
