package cell

import (
	"slices"
	"time"
)

// maxWorkerCrashes is the number of workers that may crash under a task before its job has failed; the platform allows
// that a task is given up from the second on.
const maxWorkerCrashes = 2

// CrashEvidence is how a keeper learnt that the process of a worker has ended.
type CrashEvidence string

// Kinds of evidence, as logs show them. Silence, timeouts and connections that break are none: workers that are cut off
// or slow show the same.
const (
	ConnectionRefused  CrashEvidence = "connection refused"
	AnotherIncarnation CrashEvidence = "another incarnation"
)

// CrashedWorker describes a worker whose process has ended, for the log.
type CrashedWorker struct {
	Worker   string
	Evidence CrashEvidence
	Tasks    []string // that may have been running
}

// HandleCrash records evidence that the process of an unresponsive worker has ended. Its runs stay accounted for until
// their lease has lapsed, since a network may refuse connections as well.
func (c *Cell) HandleCrash(worker *Worker, evidence CrashEvidence, now time.Time) Effects {
	var effects Effects
	c.recordCrash(worker, evidence, now, &effects)
	return effects
}

// recordCrash marks the runs at the worker and counts the crash for their tasks, once for each incarnation of the worker.
// A run whose start call has no result yet is counted then, if it may have been running.
func (c *Cell) recordCrash(worker *Worker, evidence CrashEvidence, now time.Time, effects *Effects) {
	if !worker.held || worker.crashed {
		return
	}
	worker.crashed = true
	crashed := CrashedWorker{Worker: worker.ID, Evidence: evidence}
	for _, run := range worker.sortedRuns() {
		run.crashed = true
		crashed.Tasks = append(crashed.Tasks, run.Task.Name)
		if run.mayHaveBegun() {
			c.countCrash(run.Task, now)
		}
	}
	c.failCrashingJobs(now, effects)
	effects.Crashes = append(effects.Crashes, crashed)
}

// countCrash counts a worker's crash under the task; failCrashingJobs has to follow.
func (c *Cell) countCrash(task *Task, now time.Time) {
	task.crashes = max(task.crashes, c.crashTable.count(task.Name, now)) + 1
	c.crashTable.raise(task.Name, task.crashes, now)
}

// failCrashing answers the job if too many workers have crashed under one of its tasks, and reports whether it did.
func (c *Cell) failCrashing(job *Job, now time.Time, effects *Effects) bool {
	if job.Decided() || !job.crashesWorkers() {
		return false
	}
	c.answer(job, &Answer{Outcome: Failed, Reason: "two workers crashed under a task"}, effects, now)
	return true
}

// crashesWorkers reports whether too many workers have crashed under one of the job's tasks.
func (j *Job) crashesWorkers() bool {
	return slices.ContainsFunc(j.Tasks, func(task *Task) bool { return task.crashes >= maxWorkerCrashes })
}

// mayHaveBegun reports whether the start was sent and its call has ended, or the run was listed.
func (r *Run) mayHaveBegun() bool {
	return r.unconfirmed || !r.acceptedAt.IsZero()
}

// resultName returns the result of the run as logs show it.
func (r *Run) resultName(result RunResult) string {
	if r.crashed && result == RunLapsed {
		return "crashed"
	}
	return result.String()
}
