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

// assign gives up jobs that can no longer be served and starts waiting tasks in the order of the jobs.
func (c *Cell) assign(now time.Time, effects *Effects) {
	c.sortWaiting()
	c.giveUpHopeless(now, effects)
	c.sortWaiting()
	c.startWaiting(now, effects)
	c.sortWaiting()
}

// giveUpHopeless gives up the waiting jobs that can no longer be served.
func (c *Cell) giveUpHopeless(now time.Time, effects *Effects) {
	if !now.After(c.servableUntil) {
		return
	}
	c.pass++
	c.servableUntil = now.Add(unknownDelay)
	for _, job := range c.waiting {
		if now.After(c.servableUntilOf(job)) {
			if reason := c.giveUpReason(job, now); reason != "" {
				c.giveUpWith(job, reason, func() refusal { return c.sharedRefusalOf(job, now) }, now, effects)
				continue
			}
		}
		c.noteServable(job)
	}
}

// noteServable notes until when the job need not be given up.
func (c *Cell) noteServable(job *Job) {
	c.servableUntil = minTime(c.servableUntil, c.servableUntilOf(job))
}

// servableUntilOf returns until when the job need not be given up.
func (c *Cell) servableUntilOf(job *Job) time.Time {
	typical := c.typical(job)
	if known := &job.summary; known.deadline != job.Deadline {
		known.deadline = job.Deadline
		known.servable = job.Deadline.Add(-typical)
		if !known.started {
			known.servable = minTime(known.servable, c.latestStart(job))
		}
	}
	return job.summary.servable
}

// startWaiting starts waiting tasks in the order of their jobs, until no worker has room for a task of any kind.
func (c *Cell) startWaiting(now time.Time, effects *Effects) {
	if len(c.waiting) == 0 {
		return
	}
	finishing := c.mayFinish(now)
	c.pass++
	open := 0
	for _, kind := range c.kinds {
		if kind.begin(c.pass); c.hasRoom(kind, now) {
			open++
		}
	}
	outOfRoom := func(job *Job) bool { return job.kind.full && (!finishing || !job.Started()) }
	for place, job := range c.waiting {
		if open == 0 && !finishing {
			return
		}
		if outOfRoom(job) || c.isLate(job, now) || !c.mayStart(job, now) {
			continue
		}
		if !job.kind.full && !c.hasRoom(job.kind, now) {
			open--
		}
		if outOfRoom(job) || !c.hasFreeSlot(job, now) {
			continue
		}
		if job.Started() || c.comesInTime(job, place, now) {
			c.startTasks(job, !finishing, now, effects)
		}
	}
}

// mayStart reports whether tasks of the job may start, were there room.
func (c *Cell) mayStart(job *Job, now time.Time) bool {
	if job.predecessor != nil && job.predecessor.running() {
		return false
	}
	job.predecessor = nil
	return !now.After(c.startDeadline(job)) && !c.IsBlocked(job, now)
}

// isLate reports whether the outlook for jobs of this kind shows already that the job, which has not started, does not come
// in time.
func (c *Cell) isLate(job *Job, now time.Time) bool {
	if job.kind.lookedOut != c.started || job.Started() {
		return false
	}
	soonest, _ := job.kind.outlook.earliest()
	return soonest > c.latestStart(job).Sub(now)
}

// comesInTime reports whether the last task of the job, which has not started, is predicted to start in time. The jobs of one
// kind share an outlook, in which it takes the place of its tasks.
func (c *Cell) comesInTime(job *Job, place int, now time.Time) bool {
	limit := c.latestStart(job).Sub(now)
	isTied := place+1 < len(c.waiting) && c.isAhead(c.waiting[place+1], job)
	if isTied || job.waitingAlone() > 0 {
		return c.forecastWithin(job, nil, limit, now) <= limit
	}
	k := job.kind
	if k.lookedOut != c.started && c.startsAtOnce(job, nil, now) {
		return true
	}
	if k.lookedOut != c.started {
		k.lookedOut = c.started
		k.seen = 0
		c.lookOut(&k.outlook, job, nil, now)
	}
	for ; k.seen < place; k.seen++ {
		if soonest, _ := k.outlook.earliest(); soonest > limit {
			return false
		}
		if other := c.waiting[k.seen]; c.takesRoom(other, now) {
			k.outlook.schedule(other.waiting(), c.typical(other))
		}
	}
	if soonest, _ := k.outlook.earliest(); soonest > limit {
		return false
	}
	k.seen++
	return k.outlook.schedule(job.waiting(), c.typical(job)) <= limit
}

// hasFreeSlot reports whether a usable worker has free resources for a waiting task of the job.
func (c *Cell) hasFreeSlot(job *Job, now time.Time) bool {
	sharing := job.waitingAlone() < job.waiting()
	if sharing && !job.kind.full {
		return true
	}
	for _, worker := range c.ordered {
		if worker.Group == job.Group && worker.free().Fits(job.kind.demand) && (sharing || len(worker.runs) == 0) && worker.usableFor(job, now) {
			return true
		}
	}
	return false
}

// IsTooLate reports whether the job would miss its objective even if all its tasks started now.
func (c *Cell) IsTooLate(job *Job, now time.Time) bool {
	return now.After(c.latestStart(job))
}

// giveUpReason returns why the job should not wait any longer, or "".
func (c *Cell) giveUpReason(job *Job, now time.Time) string {
	if now.Add(c.typical(job)).After(job.Deadline) {
		return "it cannot end before its deadline"
	}
	if !job.Started() && c.IsTooLate(job, now) {
		return "no room in time"
	}
	return ""
}

// startTasks starts the waiting tasks of the job for which a worker is found. Unless some may finish their jobs
// after an evacuation, the speeds of the workers tell when no other task of the kind finds one either.
func (c *Cell) startTasks(job *Job, bySpeeds bool, now time.Time, effects *Effects) {
	for _, task := range job.Tasks {
		if task.state != Waiting || bySpeeds && job.kind.missed == c.started && !c.mayFind(job.kind, task, now) {
			continue
		}
		worker := c.selectWorker(task, now)
		if worker == nil {
			job.kind.missed = c.started
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
	c.started++
	c.runEnds.add(run)
	c.move(task.Job)
	worker.addRun(run)
	worker.used = worker.used.Plus(task.Demand)
	c.beginSharing(run, now)
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
