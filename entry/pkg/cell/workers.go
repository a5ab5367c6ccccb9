package cell

import (
	"slices"
	"strings"
	"time"

	"chervilusher.dev/entry/pkg/invariant"
)

// Add takes a worker into the cell; it gets no work before Take.
func (c *Cell) Add(worker *Worker) {
	worker.runs = map[runKey]*Run{}
	worker.foreign = map[runKey]struct{}{}
	worker.doubted = c.doubted
	worker.joining = true
	if before, ok := c.workers[worker.ID]; ok {
		c.unlist(before)
	}
	c.workers[worker.ID] = worker
	at, _ := slices.BinarySearchFunc(c.ordered, worker.ID, byName)
	c.ordered = slices.Insert(c.ordered, at, worker)
}

// unlist takes a worker out of the list.
func (c *Cell) unlist(worker *Worker) {
	delete(c.workers, worker.ID)
	c.ordered = slices.DeleteFunc(c.ordered, func(other *Worker) bool { return other == worker })
}

func byName(worker *Worker, name string) int {
	return strings.Compare(worker.ID, name)
}

// Worker returns the worker of that name, or nil.
func (c *Cell) Worker(id string) *Worker {
	return c.workers[id]
}

// Workers returns the workers in the order of their names.
func (c *Cell) Workers() []*Worker {
	return slices.Clone(c.ordered)
}

// Remove takes a worker out; the ends of its runs are not known.
func (c *Cell) Remove(id string, now time.Time) Effects {
	var effects Effects
	worker, ok := c.workers[id]
	if !ok {
		return effects
	}
	c.abandonRuns(worker, "the worker is gone", now, &effects)
	c.unlist(worker)
	c.assign(now, &effects)
	return effects
}

// HandleFenced takes in that another keeper has the worker; it stops what this keeper has started there.
func (c *Cell) HandleFenced(worker *Worker, now time.Time) Effects {
	var effects Effects
	worker.held = false
	worker.joining = false
	worker.foreign = map[runKey]struct{}{}
	c.abandonRuns(worker, "another keeper took the worker over", now, &effects)
	c.assign(now, &effects)
	return effects
}

// MarkUnresponsive takes in that a call to the worker was not answered.
func (c *Cell) MarkUnresponsive(worker *Worker) {
	worker.silent = true
	worker.joining = false
}

// Release gives the worker up, which must be idle.
func (c *Cell) Release(worker *Worker) {
	invariant.Check(len(worker.runs) == 0, "only_idle_released", "worker %s", worker.ID)
	worker.held = false
}

// SetLeaving takes in whether the worker is about to leave.
func (c *Cell) SetLeaving(worker *Worker, leaving bool) {
	worker.Leaving = leaving
}

// HandleReport takes in a worker's lists, answered to a call that was sent at the given time.
func (c *Cell) HandleReport(worker *Worker, report *Report, sent, now time.Time) Effects {
	var effects Effects
	worker.silent = false
	worker.joining = false
	worker.stale = false
	worker.reported = now
	if report.Incarnation != worker.born {
		worker.reborn(report)
	}
	if report.Clock > 0 {
		worker.clock.read = report.Clock
		worker.clock.at = now
	}
	for _, end := range report.Ended {
		if end.Sequence <= worker.acked {
			continue
		}
		worker.acked = end.Sequence
		key := runKey{end.Task, end.Run}
		delete(worker.foreign, key)
		if run, ok := worker.runs[key]; ok {
			c.ended(run, end.Result, now, &effects)
		}
	}
	c.compare(worker, report, sent, now, &effects)
	worker.held = true
	c.assign(now, &effects)
	return effects
}

// reborn takes in a new life of the worker; which runs were lost with the last one, its lists tell.
func (w *Worker) reborn(report *Report) {
	w.born = report.Incarnation
	w.acked = 0
	w.clock = workerClock{}
	w.health = health{}
}

// compare holds the worker's list of what runs against what the keeper knows.
func (c *Cell) compare(worker *Worker, report *Report, sent, now time.Time, effects *Effects) {
	listed := make(map[runKey]struct{}, len(report.Running))
	worker.foreign = map[runKey]struct{}{}
	for _, entry := range report.Running {
		key := runKey{entry.Task, entry.Run}
		listed[key] = struct{}{}
		if run, ok := worker.runs[key]; ok {
			run.confirm(now)
			continue
		}
		worker.foreign[key] = struct{}{}
		effects.Stops = append(effects.Stops, Stop{Worker: worker, Task: entry.Task, Number: entry.Run})
	}
	for _, run := range worker.sortedRuns() {
		if _, ok := listed[runKey{run.Task.Name, run.Number}]; ok {
			continue
		}
		switch {
		case run.taken.IsZero() && !run.buried.IsZero() && run.buried.Before(sent):
			c.notRun(run, now, effects)
		case !run.taken.IsZero() && run.taken.Before(sent) && !report.Partial:
			c.ended(run, RunLapsed, now, effects) // it was lost with an earlier life of the worker
		}
	}
}

// StartResult is what became of the call that starts a run.
type StartResult int

// Results of a start.
const (
	StartAccepted    StartResult = iota
	StartRejected                // it will not run
	StartUnhealthy               // the worker is unhealthy and has done nothing
	StartUnconfirmed             // no answer; it may run
)

// String returns the result as logs and metrics name it.
func (r StartResult) String() string {
	return [...]string{"taken", "rejected", "unhealthy", "unsure"}[r]
}

// HandleStartResult takes in the answer to a start.
func (c *Cell) HandleStartResult(run *Run, result StartResult, now time.Time) Effects {
	var effects Effects
	if run.over {
		return effects
	}
	switch result {
	case StartAccepted:
		run.confirm(now)
	case StartRejected:
		run.Worker.stale = true
		c.notRun(run, now, &effects)
	case StartUnhealthy:
		run.Worker.health.leaveOut(now)
		c.notRun(run, now, &effects)
	case StartUnconfirmed:
		run.unsure = true
		run.Worker.stale = true
		c.stop(run, now, &effects)
	}
	c.assign(now, &effects)
	return effects
}

// confirm takes in that the run has begun.
func (r *Run) confirm(now time.Time) {
	r.unsure = false
	r.Task.began = true
	if r.taken.IsZero() {
		r.taken = now
	}
}

// HandleStopConfirmed takes in that the worker has stopped a run or will never start it; the next list tells which.
func (c *Cell) HandleStopConfirmed(run *Run, now time.Time) {
	if run.buried.IsZero() {
		run.buried = now
	}
}

// ended takes in a listed end.
func (c *Cell) ended(run *Run, how RunResult, now time.Time, effects *Effects) {
	task := run.Task
	task.began = true
	c.release(run)
	effects.note(run, how.String(), now)
	switch how {
	case RunDone:
		run.Worker.health.good()
		if !run.stopping {
			c.speeds.observe(run, now.Sub(run.sent))
		}
	case RunFailed:
		run.Worker.health.failed(now)
	case RunStopped, RunLapsed:
	}
	if task.Job.Decided() {
		task.state = Dropped
		return
	}
	switch how {
	case RunDone:
		task.state = Done
		c.complete(task.Job, now, effects)
	case RunFailed:
		task.failed++
		task.avoid = run.Worker
		if task.failed >= task.Job.Attempts {
			task.state = Dropped
			c.answer(task.Job, &Answer{Outcome: Failed, Reason: "a task failed on each attempt"}, effects, now)
			return
		}
		c.again(task)
	case RunStopped, RunLapsed:
		task.avoid = run.Worker
		c.again(task)
	}
}

// complete answers the job when its last task is done.
func (c *Cell) complete(job *Job, now time.Time, effects *Effects) {
	for _, task := range job.Tasks {
		if task.state != Done {
			return
		}
	}
	c.answer(job, &Answer{Outcome: Completed}, effects, now)
}

// again lets the task wait for another start.
func (c *Cell) again(task *Task) {
	task.state = Waiting
	for _, job := range c.waiting {
		if job == task.Job {
			return
		}
	}
	c.waiting = append(c.waiting, task.Job)
}

// notRun takes in that a run never began and never will.
func (c *Cell) notRun(run *Run, now time.Time, effects *Effects) {
	c.release(run)
	effects.note(run, "not run", now)
	task := run.Task
	if task.Job.Decided() {
		task.state = Dropped
		return
	}
	c.again(task)
}

// release gives the run's room back.
func (c *Cell) release(run *Run) {
	worker := run.Worker
	delete(worker.runs, runKey{run.Task.Name, run.Number})
	worker.used = worker.used.Minus(run.Task.Demand)
	invariant.Check(worker.used.Cores >= 0, "room_balances", "worker %s", worker.ID)
	run.over = true
	run.Task.run = nil
	c.forget(run.Task.Job.ID)
}

// loseRuns takes in that nothing of this keeper's runs at the worker any more.
func (c *Cell) loseRuns(worker *Worker, now time.Time, effects *Effects) {
	for _, run := range worker.sortedRuns() {
		c.ended(run, RunLapsed, now, effects)
	}
}

// abandonRuns gives up the jobs whose tasks ran at a worker that this keeper cannot see any more.
func (c *Cell) abandonRuns(worker *Worker, reason string, now time.Time, effects *Effects) {
	for _, run := range worker.sortedRuns() {
		c.release(run)
		job := run.Task.Job
		run.Task.state = Dropped
		run.Task.began = true
		if !job.Decided() {
			c.answer(job, &Answer{Outcome: Abandoned, Reason: reason}, effects, now)
		}
	}
}
