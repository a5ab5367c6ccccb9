package cell

import (
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/invariant"
)

const (
	// objectiveTolerance is the fraction of its objective by which an admitted job may be expected to miss it: run
	// times are known only to within a fifth, and a worker that becomes idle has slots for several tasks.
	objectiveTolerance = 0.15
)

// assign starts waiting tasks in the order of their latest start times and gives up jobs that can no longer be served.
func (c *Cell) assign(now time.Time, effects *Effects) {
	c.sortWaiting()
	unmet := unmetDemand{}
	remaining := c.waiting[:0]
	for _, job := range c.waiting {
		if job.Decided() {
			continue
		}
		if reason := c.giveUpReason(job, now); reason != "" {
			c.giveUp(job, reason, now, effects)
			continue
		}
		if job.predecessor != nil && job.predecessor.running() {
			remaining = append(remaining, job)
			continue
		}
		job.predecessor = nil
		if now.After(c.startDeadline(job)) || c.IsBlocked(job, now) {
			remaining = append(remaining, job)
			continue
		}
		if unmet.covers(job) || !c.hasFreeSlot(job, now) {
			unmet.add(job)
			remaining = append(remaining, job)
			continue
		}
		if !job.Started() && now.Add(c.predictDelay(job, now)).After(c.latestStart(job)) {
			remaining = append(remaining, job)
			continue
		}
		if c.startTasks(job, now, effects); job.waiting() > 0 {
			remaining = append(remaining, job)
		}
	}
	clear(c.waiting[len(remaining):])
	c.waiting = remaining
}

// unmetDemand maps a group to the smallest demand that fits no worker. While jobs are only started, no larger task of
// the group fits either.
type unmetDemand map[string]Resources

// covers reports whether the job's tasks are known not to fit any worker.
func (u unmetDemand) covers(job *Job) bool {
	demand, known := u[job.Group]
	return known && job.Tasks[0].Demand.Fits(demand)
}

// add records that the job's waiting tasks do not fit any worker; those that have to run alone say nothing of others.
func (u unmetDemand) add(job *Job) {
	demand := job.Tasks[0].Demand
	sharing := job.waiting() - job.waitingAlone()
	if smallest, known := u[job.Group]; sharing > 0 && (!known || smallest.Fits(demand)) {
		u[job.Group] = demand
	}
}

// hasFreeSlot reports whether a usable worker has free resources for a waiting task of the job.
func (c *Cell) hasFreeSlot(job *Job, now time.Time) bool {
	var looked struct{ sharing, alone bool } // all tasks of a job have the same demand
	for _, task := range job.Tasks {
		kind := &looked.sharing
		if task.mustRunAlone() {
			kind = &looked.alone
		}
		if task.state != Waiting || *kind {
			continue
		}
		*kind = true
		for _, worker := range c.ordered {
			if worker.Group == job.Group && worker.usableFor(job, now) && worker.hasRoomFor(task) {
				return true
			}
		}
	}
	return false
}

func (c *Cell) sortWaiting() {
	slices.SortStableFunc(c.waiting, c.compareOrder)
}

// latestStart returns the estimated time by which the job's last task must start to meet the objective.
func (c *Cell) latestStart(job *Job) time.Time {
	tolerance := time.Duration(objectiveTolerance * float64(job.Objective.Sub(job.Arrived)))
	return job.Objective.Add(tolerance - c.speeds.typical(job.Queue, job.longest()))
}

// IsTooLate reports whether the job would miss its objective even if all its tasks started now.
func (c *Cell) IsTooLate(job *Job, now time.Time) bool {
	return now.After(c.latestStart(job))
}

// giveUpReason returns why the job should not wait any longer, or "".
func (c *Cell) giveUpReason(job *Job, now time.Time) string {
	if now.Add(c.speeds.typical(job.Queue, job.longest())).After(job.Deadline) {
		return "it cannot end before its deadline"
	}
	if !job.Started() && c.IsTooLate(job, now) {
		return "no room in time"
	}
	return ""
}

// startTasks starts the waiting tasks of the job for which a worker is found.
func (c *Cell) startTasks(job *Job, now time.Time, effects *Effects) {
	for _, task := range job.Tasks {
		if task.state != Waiting {
			continue
		}
		worker := c.selectWorker(task, now)
		if worker == nil {
			continue
		}
		effects.Starts = append(effects.Starts, c.start(task, worker, now))
	}
}

func (c *Cell) start(task *Task, worker *Worker, now time.Time) Start {
	invariant.Check(task.state == Waiting && task.run == nil, "task_runs_once", "task %s starts beside another run", task.Name)
	invariant.Check(!task.Job.Decided(), "no_start_after_answer", "job %s", task.Job.ID)
	invariant.Check(worker.held && len(worker.unknownRuns) == 0, "only_held_workers", "worker %s", worker.ID)
	invariant.Check(worker.free().Fits(task.Demand), "room_holds", "worker %s", worker.ID)
	invariant.Check(!worker.hasLoneRun() && worker.hasRoomFor(task), "lone_runs_stay_alone", "worker %s", worker.ID)
	invariant.Check(worker.leasesEndInTime(task.Job), "leases_end_in_time", "task %s at worker %s", task.Name, worker.ID)
	if !task.Job.Started() {
		task.Job.Diagnostics.QueueingDelay = now.Sub(task.Job.Arrived)
		task.Job.startedAt = now
	}
	task.runs++
	task.state = Started
	run := &Run{
		Task:     task,
		Number:   task.runs,
		Worker:   worker,
		sentAt:   now,
		expected: c.speeds.expected(task, worker),
		alone:    task.mustRunAlone(),
	}
	if run.alone {
		worker.loneRuns++
	}
	task.run = run
	worker.runs[runKey{task.Name, run.Number}] = run
	worker.used = worker.used.Plus(task.Demand)
	worker.limitStarts(task.Job)
	lease, _ := worker.Lease(now, c.limits.Lease)
	return Start{Run: run, Lease: lease}
}

// CanEverRun reports whether each task fits the capacity of some held or joining worker of the group that is not
// evacuated.
func (c *Cell) CanEverRun(job *Job) bool {
	for i, task := range job.Tasks {
		if i > 0 && task.Demand == job.Tasks[i-1].Demand {
			continue
		}
		if !slices.ContainsFunc(c.ordered, func(worker *Worker) bool {
			return worker.Group == job.Group && worker.isExpected() && worker.Capacity.Fits(task.Demand)
		}) {
			return false
		}
	}
	return true
}
