package cell

import "time"

// Update applies a changed directory entry of a worker that the cell holds, and reports whether it differs. Runs go on
// when the capacity shrinks below what they use; waiting jobs that no worker is large enough for any more are refused,
// unless they have started.
func (c *Cell) Update(worker, entry *Worker, now time.Time) (effects Effects, changed bool) {
	if worker.isDescribedBy(entry) {
		return effects, false
	}
	shrinks := !entry.Capacity.Fits(worker.Capacity) || entry.Group != worker.Group
	if entry.Kind != worker.Kind {
		worker.slowness = average{} // that of another machine
	}
	worker.FailureDomain = entry.FailureDomain
	worker.evacuatedSince = c.evacuatedSince[entry.FailureDomain]
	worker.Rack = entry.Rack
	worker.Kind = entry.Kind
	worker.Group = entry.Group
	worker.Capacity = entry.Capacity
	worker.setLeaving(entry.Leaving)
	worker.releasing = false
	if shrinks {
		c.refuseUnfit(now, &effects)
	}
	c.assign(now, &effects)
	return effects, true
}

// isDescribedBy reports whether the entry says of the worker what the cell knows already.
func (w *Worker) isDescribedBy(entry *Worker) bool {
	return w.FailureDomain == entry.FailureDomain && w.Rack == entry.Rack && w.Kind == entry.Kind &&
		w.Group == entry.Group && w.Capacity == entry.Capacity && w.Leaving == entry.Leaving && !w.releasing
}

// setLeaving records what the directory says. An entry that says so no more may be that of the next incarnation.
func (w *Worker) setLeaving(leaving bool) {
	w.Leaving = leaving
	w.announced = w.announced || leaving
}

// refuseUnfit refuses the waiting jobs that have not started and that no worker is large enough for.
func (c *Cell) refuseUnfit(now time.Time, effects *Effects) {
	for _, job := range c.waiting {
		if !job.Decided() && !job.Started() && !c.CanEverRun(job) {
			c.giveUp(job, c.UnfitReason(job), now, effects)
		}
	}
}
