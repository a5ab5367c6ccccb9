package cell

import (
	"slices"
	"strings"
	"time"

	"chervilusher.dev/entry/pkg/invariant"
)

// Add adds a worker to the cell; it gets no work before its first report.
func (c *Cell) Add(worker *Worker) {
	worker.runs = map[runKey]*Run{}
	worker.listed = nil
	worker.unknownRuns = map[runKey]struct{}{}
	worker.cell = c
	worker.evacuatedSince = c.evacuatedSince[worker.FailureDomain]
	worker.joining = true
	worker.announced = worker.Leaving
	if before, ok := c.workers[worker.ID]; ok {
		c.unlist(before)
	}
	c.workers[worker.ID] = worker
	at, _ := slices.BinarySearchFunc(c.ordered, worker.ID, byName)
	c.ordered = slices.Insert(c.ordered, at, worker)
}

// unlist removes the worker from the map and the sorted list of workers.
func (c *Cell) unlist(worker *Worker) {
	delete(c.workers, worker.ID)
	worker.place = -1
	c.ordered = slices.DeleteFunc(c.ordered, func(other *Worker) bool { return other == worker })
}

func byName(worker *Worker, name string) int {
	return strings.Compare(worker.ID, name)
}

// Worker returns the worker with that ID, or nil.
func (c *Cell) Worker(id string) *Worker {
	return c.workers[id]
}

// Workers returns the workers, sorted by ID.
func (c *Cell) Workers() []*Worker {
	return slices.Clone(c.ordered)
}

// Remove removes a worker; the results of its runs stay unknown.
func (c *Cell) Remove(id string, now time.Time) Effects {
	var effects Effects
	worker, ok := c.workers[id]
	if !ok {
		return effects
	}
	c.abandonRuns(worker, "the worker is gone", now, &effects)
	if worker.unresponsive {
		c.blockUnsettled(worker, now, &effects)
	}
	c.unlist(worker)
	c.assign(now, &effects)
	return effects
}

// HandleFenced handles that another keeper holds the worker: it gives up the worker's runs and abandons their jobs.
func (c *Cell) HandleFenced(worker *Worker, now time.Time) Effects {
	var effects Effects
	worker.held = false
	worker.joining = false
	worker.unresponsive = false
	worker.unknownRuns = map[runKey]struct{}{}
	c.freeFenced(worker, now)
	c.abandonRuns(worker, "another keeper took the worker over", now, &effects)
	c.assign(now, &effects)
	return effects
}

// MarkUnresponsive records that a call to the worker was not answered.
func (c *Cell) MarkUnresponsive(worker *Worker) {
	worker.unresponsive = true
	worker.joining = false
}

// Release gives up the worker, which must be idle.
func (c *Cell) Release(worker *Worker) {
	invariant.Check(len(worker.runs) == 0, "only_idle_released", "worker %s", worker.ID)
	worker.held = false
}

// SetReleasing sets whether the worker is being handed over to another keeper. The worker itself need not leave for that.
func (c *Cell) SetReleasing(worker *Worker, releasing bool) {
	worker.releasing = releasing
}

// SetLeaving sets whether the worker has announced that it leaves.
func (c *Cell) SetLeaving(worker *Worker, leaving bool) {
	worker.setLeaving(leaving)
}

// HandleReport processes a worker's report, the answer to a call that was sent at the given time.
func (c *Cell) HandleReport(worker *Worker, report *Report, sent, now time.Time) Effects {
	var effects Effects
	worker.unresponsive = false
	worker.joining = false
	worker.viewStale = false
	worker.reportedAt = now
	if report.Incarnation != worker.incarnation {
		c.recordCrash(worker, AnotherIncarnation, now, &effects)
		worker.startIncarnation(report)
	}
	worker.crashed = false
	worker.announced = worker.Leaving
	worker.unexplained = nil
	if report.Clock > 0 {
		if !worker.clock.known() {
			worker.clock.latestLease = report.Clock + c.limits.Lease // an earlier keeper may have renewed it until now
		}
		worker.clock.reading = report.Clock
		worker.clock.readAt = now
	}
	for _, end := range report.Ended {
		if end.Sequence <= worker.ackedSequence {
			continue
		}
		worker.ackedSequence = end.Sequence
		key := runKey{end.Task, end.Run}
		delete(worker.unknownRuns, key)
		if run, ok := worker.runs[key]; ok {
			c.settleAnswered(run, now)
			c.handleEnd(run, end.Result, now, &effects)
		}
	}
	c.reconcile(worker, report, sent, now, &effects)
	c.freeUnsettled(worker, sent, now)
	worker.held = true
	c.assign(now, &effects)
	return effects
}

// startIncarnation resets the state for a new incarnation of the worker; its report shows which runs were lost.
func (w *Worker) startIncarnation(report *Report) {
	w.incarnation = report.Incarnation
	w.ackedSequence = 0
	w.clock = workerClock{}
	w.health = health{}
}

// reconcile compares the running list of the worker's report with the runs that the keeper knows.
func (c *Cell) reconcile(worker *Worker, report *Report, sent, now time.Time, effects *Effects) {
	listed := make(map[runKey]struct{}, len(report.Running))
	worker.unknownRuns = map[runKey]struct{}{}
	for _, entry := range report.Running {
		key := runKey{entry.Task, entry.Run}
		listed[key] = struct{}{}
		if run, ok := worker.runs[key]; ok {
			run.confirm(now)
			c.settleAnswered(run, now)
			continue
		}
		worker.unknownRuns[key] = struct{}{}
		effects.Stops = append(effects.Stops, Stop{Worker: worker, Task: entry.Task, Number: entry.Run})
	}
	for _, run := range worker.sortedRuns() {
		if _, ok := listed[runKey{run.Task.Name, run.Number}]; ok {
			continue
		}
		switch {
		case run.acceptedAt.IsZero() && run.fenced:
			run.Task.began = true // the earlier incarnation may have run it
			c.handleNotRun(run, now, effects)
		case run.acceptedAt.IsZero() && !run.tombstonedAt.IsZero() && run.tombstonedAt.Before(sent):
			c.addUnsettled(run, now)
			c.handleNotRun(run, now, effects)
		case !run.acceptedAt.IsZero() && run.acceptedAt.Before(sent) && !report.Partial:
			c.handleEnd(run, RunLapsed, now, effects) // lost with an earlier incarnation of the worker
		}
	}
}

// StartResult is the result of the call that starts a run.
type StartResult int

// Results of a start.
const (
	StartAccepted    StartResult = iota
	StartRejected                // it will not run
	StartUnhealthy               // the worker is unhealthy and has done nothing
	StartUnconfirmed             // no answer; it may run
	StartUndelivered             // nothing was sent, since the worker refused the connection; it will not run
)

// String returns the result as logs and metrics show it.
func (r StartResult) String() string {
	return [...]string{"taken", "rejected", "unhealthy", "unsure", "undelivered"}[r]
}

// HandleStartResult processes the result of a start call.
func (c *Cell) HandleStartResult(run *Run, result StartResult, now time.Time) Effects {
	var effects Effects
	if result != StartUnconfirmed {
		c.settleAnswered(run, now)
	}
	if run.finished {
		return effects
	}
	missed := run.crashed && !run.mayHaveBegun() // by recordCrash
	switch result {
	case StartAccepted:
		run.confirm(now)
	case StartRejected, StartUndelivered:
		run.Worker.viewStale = true
		c.handleNotRun(run, now, &effects)
	case StartUnhealthy:
		run.Worker.health.eject(now)
		c.handleNotRun(run, now, &effects)
	case StartUnconfirmed:
		run.unconfirmed = true
		run.Worker.viewStale = true
		c.addUnsettled(run, now)
		c.stop(run, now, &effects)
	}
	if missed && run.mayHaveBegun() {
		c.countCrash(run, now)
		c.failCrashingJobs(now, &effects)
	}
	c.assign(now, &effects)
	return effects
}

// confirm records that the run has begun.
func (r *Run) confirm(now time.Time) {
	r.unconfirmed = false
	r.Task.began = true
	if r.acceptedAt.IsZero() {
		r.acceptedAt = now
	}
}

// HandleStopConfirmed records that the worker has stopped the run or will never start it; its next report shows which.
func (c *Cell) HandleStopConfirmed(run *Run, now time.Time) {
	if run.tombstonedAt.IsZero() {
		run.tombstonedAt = now
	}
}

// handleEnd processes the end of a run: it completes, fails or requeues the task.
func (c *Cell) handleEnd(run *Run, result RunResult, now time.Time, effects *Effects) {
	task := run.Task
	task.began = true
	c.releaseResources(run, now)
	effects.recordEnd(run, run.resultName(result), now)
	switch result {
	case RunDone:
		run.Worker.health.recordSuccess()
		if !run.stopping {
			c.speeds.observe(run, c.observeSharing(run, now.Sub(run.sentAt)))
		}
	case RunFailed:
		run.Worker.health.recordFailure(now)
	case RunStopped, RunLapsed:
	}
	if task.Job.Decided() {
		task.state = Dropped
		c.move(task.Job)
		return
	}
	switch result {
	case RunDone:
		task.state = Done
		c.move(task.Job)
		c.complete(task.Job, now, effects)
	case RunFailed:
		task.failed++
		task.avoid = run.Worker
		if task.failed >= task.Job.Attempts {
			task.state = Dropped
			c.answer(task.Job, &Answer{Outcome: Failed, Reason: "a task failed on each attempt"}, effects, now)
			return
		}
		c.requeue(task)
	case RunStopped, RunLapsed:
		task.avoid = run.Worker
		c.requeue(task)
	}
}

// complete answers the job when its last task is done.
func (c *Cell) complete(job *Job, now time.Time, effects *Effects) {
	for _, task := range job.Tasks {
		if task.state != Done {
			return
		}
	}
	c.observeJob(job, now)
	c.answer(job, &Answer{Outcome: Completed}, effects, now)
}

// requeue makes the task wait for another start.
func (c *Cell) requeue(task *Task) {
	task.state = Waiting
	c.enqueue(task.Job)
}

// handleNotRun handles a run that never began and never will.
func (c *Cell) handleNotRun(run *Run, now time.Time, effects *Effects) {
	c.releaseResources(run, now)
	effects.recordEnd(run, "not run", now)
	task := run.Task
	if task.Job.Decided() {
		task.state = Dropped
		c.move(task.Job)
		return
	}
	c.requeue(task)
}

// releaseResources frees the resources of the run and marks it finished.
func (c *Cell) releaseResources(run *Run, now time.Time) {
	worker := run.Worker
	c.endSharing(run, now)
	worker.removeRun(run)
	worker.used = worker.used.Minus(run.Task.Demand)
	invariant.Check(worker.used.Cores >= 0, "room_balances", "worker %s", worker.ID)
	if run.alone {
		worker.loneRuns--
	}
	run.finished = true
	c.runEnds.remove(run)
	run.Task.run = nil
	c.move(run.Task.Job)
	c.forget(run.Task.Job.ID)
}

// expireRuns ends all runs of a worker whose leases have expired.
func (c *Cell) expireRuns(worker *Worker, now time.Time, effects *Effects) {
	for _, run := range worker.sortedRuns() {
		if !run.crashed && !run.left && run.mayHaveBegun() {
			worker.unexplained = append(worker.unexplained, run)
		}
		c.addUnsettled(run, now)
		c.handleEnd(run, RunLapsed, now, effects)
	}
	c.blockUnsettled(worker, now, effects)
}

// abandonRuns abandons the jobs with runs on a worker that this keeper can no longer observe.
func (c *Cell) abandonRuns(worker *Worker, reason string, now time.Time, effects *Effects) {
	for _, run := range worker.sortedRuns() {
		c.addUnsettled(run, now)
		c.releaseResources(run, now)
		job := run.Task.Job
		run.Task.state = Dropped
		run.Task.began = true
		c.move(job)
		if !job.Decided() {
			c.answer(job, &Answer{Outcome: Abandoned, Reason: reason}, effects, now)
		}
	}
}
