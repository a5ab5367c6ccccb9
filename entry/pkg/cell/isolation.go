package cell

import "time"

// isolateAfterCrash makes tasks under which a worker has crashed run alone, so that no other task is lost with the next
// worker, and the ones that did not cause the crash complete.
const isolateAfterCrash = true

// mustRunAlone reports whether the task may have crashed a worker and has to run alone.
func (t *Task) mustRunAlone() bool {
	return isolateAfterCrash && t.crashes.All > 0
}

// hasLoneRun reports whether the worker has a run that must stay alone.
func (w *Worker) hasLoneRun() bool {
	return w.loneRuns > 0
}

// hasRoomFor reports whether the worker has the free resources for the task, and no other run if it has to run alone.
func (w *Worker) hasRoomFor(task *Task) bool {
	return w.free().Fits(task.Demand) && (!task.mustRunAlone() || len(w.runs) == 0)
}

// idleAt returns when the runs at the worker are expected to have ended.
func (w *Worker) idleAt(now time.Time) time.Time {
	last := now
	for _, run := range w.listed {
		if end := run.expectedEnd(now); end.After(last) {
			last = end
		}
	}
	return last
}

// forecastAlone returns the predicted delay until the last waiting task of the job that has to run alone has started
// on an eligible worker, of all workers if eligible is nil.
func (c *Cell) forecastAlone(job *Job, eligible func(*Worker) bool, now time.Time) time.Duration {
	o := outlook{now: now}
	for _, worker := range c.ordered {
		if worker.Group != job.Group || eligible != nil && !eligible(worker) || !worker.Capacity.Fits(job.Tasks[0].Demand) {
			continue
		}
		if worker.usableFor(job, now) || worker.unusableReason(now) == reasonLoneRun {
			o.add(worker.idleAt(now).Sub(now), 1)
		}
	}
	for other := range c.ahead(job, now) {
		o.schedule(other.waitingAlone(), c.typical(other))
	}
	return o.schedule(job.waitingAlone(), c.typical(job))
}
