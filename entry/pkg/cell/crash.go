package cell

import (
	"slices"
	"time"
)

const (
	// maxConfirmedCrashes is the number of workers that may crash under a task before its job has failed; the platform
	// allows that a task is given up from the second on.
	maxConfirmedCrashes = 2
	// maxCrashes bounds all crashes, since a task may crash its workers before they answer; the platform allows one start
	// more.
	maxCrashes = 4
)

// Crashes counts the workers that have crashed under a task.
type Crashes struct {
	Confirmed int `json:"c"` // while it was known to run
	Alone     int `json:"a"` // of these, while it ran alone
	// All counts these too, and those after a start without an answer, after a lapse while the worker was silent, or of a
	// worker that may have announced that it leaves.
	All int `json:"n"`
}

// areTooMany reports whether the task is to be given up. A task that ran beside others may have ended just before a
// crash, so two crashes beside others do not suffice.
func (c Crashes) areTooMany() bool {
	return (c.Confirmed >= maxConfirmedCrashes && c.Alone > 0) || c.All >= maxCrashes
}

// atLeast returns the larger count of each kind.
func (c Crashes) atLeast(other Crashes) Crashes {
	return Crashes{Confirmed: max(c.Confirmed, other.Confirmed), Alone: max(c.Alone, other.Alone), All: max(c.All, other.All)}
}

func (c Crashes) plus(other Crashes) Crashes {
	return Crashes{Confirmed: c.Confirmed + other.Confirmed, Alone: c.Alone + other.Alone, All: c.All + other.All}
}

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
	Left     bool     // as announced, so that it has not crashed
	Tasks    []string // that may have been running
}

// HandleCrash records evidence that the process of an unresponsive worker has ended. Its runs stay accounted for until
// their lease has lapsed, since a network may refuse connections as well.
func (c *Cell) HandleCrash(worker *Worker, evidence CrashEvidence, now time.Time) Effects {
	var effects Effects
	if !worker.held { // it has ended before its first report, or once more
		worker.goneAt = now
		c.blockUnsettled(worker, now, &effects)
		return effects
	}
	c.recordCrash(worker, evidence, now, &effects)
	return effects
}

// recordCrash marks the runs at the worker and counts the crash for their tasks, once for each incarnation of the worker.
// A run whose start call has no result yet is counted then, if it may have been running. The end of a worker that leaves
// as announced counts for no task, but its next incarnation may carry out earlier starts as well.
func (c *Cell) recordCrash(worker *Worker, evidence CrashEvidence, now time.Time, effects *Effects) {
	if !worker.held || worker.crashed {
		return
	}
	worker.crashed = true
	worker.goneAt = now
	crashed := CrashedWorker{Worker: worker.ID, Evidence: evidence, Left: worker.isExpectedToEnd()}
	for _, run := range worker.sortedRuns() {
		c.addUnsettled(run, now)
		crashed.Tasks = append(crashed.Tasks, run.Task.Name)
		if run.crashed {
			continue // a worker that answered in between has not crashed twice under one run
		}
		run.crashed, run.left = !crashed.Left, crashed.Left
		if run.crashed && run.mayHaveBegun() {
			c.countCrash(run, now)
		}
	}
	for _, run := range worker.unexplained {
		crashed.Tasks = append(crashed.Tasks, run.Task.Name)
		if !crashed.Left {
			c.countLapse(run, now)
		}
	}
	worker.unexplained = nil
	c.failCrashingJobs(now, effects)
	c.blockUnsettled(worker, now, effects)
	effects.Crashes = append(effects.Crashes, crashed)
}

// isExpectedToEnd reports whether the end of the worker's process is no crash: it has announced that it leaves, or its
// failure domain is evacuated.
func (w *Worker) isExpectedToEnd() bool {
	return w.announced || w.evacuated()
}

// SetDirectoryRead sets as of when the directory is known.
func (c *Cell) SetDirectoryRead(at time.Time) {
	c.directoryReadAt = at
}

// mayHaveMissedNotice reports whether a worker whose process has just ended may have announced it in the directory since
// that was read.
func (c *Cell) mayHaveMissedNotice(now time.Time) bool {
	return c.limits.LeaveNotice > 0 && now.Sub(c.directoryReadAt) > c.limits.LeaveNotice
}

// countCrash counts the crash of a run's worker for its task; failCrashingJobs has to follow.
func (c *Cell) countCrash(run *Run, now time.Time) {
	counted := Crashes{All: 1}
	if !run.acceptedAt.IsZero() && run.tombstonedAt.IsZero() && !c.mayHaveMissedNotice(now) {
		counted.Confirmed = 1
		if run.alone {
			counted.Alone = 1
		}
	}
	c.addCrashes(run.Task, counted, now)
}

// countLapse counts a run that lapsed before it was known that its worker had crashed, and that may have ended by its
// lease; failCrashingJobs has to follow.
func (c *Cell) countLapse(run *Run, now time.Time) {
	c.addCrashes(run.Task, Crashes{All: 1}, now)
}

func (c *Cell) addCrashes(task *Task, counted Crashes, now time.Time) {
	task.crashes = c.crashTable.count(task.Name, now).atLeast(task.crashes).plus(counted)
	c.crashTable.raise(task.Name, task.crashes, now)
	task.Job.changed()
}

// failCrashing answers the job if too many workers have crashed under one of its tasks, and reports whether it did.
func (c *Cell) failCrashing(job *Job, now time.Time, effects *Effects) bool {
	if job.Decided() || !job.crashesWorkers() {
		return false
	}
	c.answer(job, &Answer{Outcome: Failed, Reason: "workers crashed under a task"}, effects, now)
	return true
}

// crashesWorkers reports whether too many workers have crashed under one of the job's tasks that is not done.
func (j *Job) crashesWorkers() bool {
	return slices.ContainsFunc(j.Tasks, func(task *Task) bool { return task.state != Done && task.crashes.areTooMany() })
}

// mayHaveBegun reports whether the start was sent and its call has ended, or the run was listed.
func (r *Run) mayHaveBegun() bool {
	return r.unconfirmed || !r.acceptedAt.IsZero()
}

// resultName returns the result of the run as logs show it.
func (r *Run) resultName(result RunResult) string {
	switch {
	case r.crashed && result == RunLapsed:
		return "crashed"
	case r.left && result == RunLapsed:
		return "left"
	default:
		return result.String()
	}
}
