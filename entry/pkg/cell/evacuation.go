package cell

import "time"

// evacuationGrace is how long jobs that have started may start their other tasks in an evacuated failure domain; the
// operator allows 5 s, of which the news of the evacuation may take some.
const evacuationGrace = time.Second

// SetEvacuated sets the evacuated failure domains: their workers get no new jobs, jobs that wait for them alone are
// refused, and what runs there ends by itself.
func (c *Cell) SetEvacuated(domains []string, now time.Time) Effects {
	before := c.evacuatedSince
	c.evacuatedSince = make(map[string]time.Time, len(domains))
	for _, domain := range domains {
		since, known := before[domain]
		if !known {
			since = now
		}
		c.evacuatedSince[domain] = since
	}
	for _, worker := range c.ordered {
		since := c.evacuatedSince[worker.FailureDomain]
		if worker.evacuated() && since.IsZero() {
			worker.slowness = average{} // it may have become slow meanwhile
		}
		worker.evacuatedSince = since
	}
	var effects Effects
	c.giveUpEvacuated(now, &effects)
	c.assign(now, &effects)
	return effects
}

// giveUpEvacuated gives up waiting jobs for which no worker is left that is not evacuated.
func (c *Cell) giveUpEvacuated(now time.Time, effects *Effects) {
	if !c.hasEvacuated() {
		return
	}
	for _, job := range c.waiting {
		if !job.Decided() && !c.isFinishing(job, now) && !c.CanEverRun(job) {
			c.giveUp(job, c.UnfitReason(job), now, effects)
		}
	}
}

// hasEvacuated reports whether the cell has an evacuated worker.
func (c *Cell) hasEvacuated() bool {
	if len(c.evacuatedSince) == 0 {
		return false
	}
	for _, worker := range c.ordered {
		if worker.evacuated() {
			return true
		}
	}
	return false
}

// isFinishing reports whether the job may still start tasks on an evacuated worker.
func (c *Cell) isFinishing(job *Job, now time.Time) bool {
	for _, worker := range c.ordered {
		if worker.Group == job.Group && worker.evacuated() && worker.finishes(job, now) {
			return true
		}
	}
	return false
}

// UnfitReason returns why no worker could ever run the job.
func (c *Cell) UnfitReason(job *Job) string {
	for _, worker := range c.ordered {
		if worker.Group == job.Group && worker.evacuated() && worker.Capacity.Fits(job.Tasks[0].Demand) {
			return "the workers are evacuated"
		}
	}
	return "no worker has room for a task of this size"
}

// mayFinish reports whether a worker was evacuated so lately that jobs may still start tasks on it.
func (c *Cell) mayFinish(now time.Time) bool {
	if len(c.evacuatedSince) == 0 {
		return false
	}
	for _, worker := range c.ordered {
		if worker.evacuated() && now.Sub(worker.evacuatedSince) < evacuationGrace {
			return true
		}
	}
	return false
}

// evacuated reports whether the worker's failure domain is evacuated.
func (w *Worker) evacuated() bool {
	return !w.evacuatedSince.IsZero()
}

// finishes reports whether the job, which had started before the evacuation, may start its other tasks on the worker.
func (w *Worker) finishes(job *Job, now time.Time) bool {
	hadStarted := job.Started() && !job.startedAt.IsZero() && !job.startedAt.After(w.evacuatedSince)
	return hadStarted && now.Sub(w.evacuatedSince) < evacuationGrace
}

// usableFor reports whether a new run of the job may start on the worker.
func (w *Worker) usableFor(job *Job, now time.Time) bool {
	switch w.unusableReason(now) {
	case reasonNone:
		return true
	case reasonEvacuated:
		return w.finishes(job, now)
	default:
		return false
	}
}
