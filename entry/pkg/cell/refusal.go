package cell

import "time"

// Waits returns for each queue the largest part of its time until its latest start that a job has waited for its first start.
func (c *Cell) Waits(now time.Time) map[string]float64 {
	waits := map[string]float64{}
	for _, job := range c.waiting {
		if job.Decided() || job.Started() || job.predecessor != nil || c.IsBlocked(job, now) {
			continue
		}
		waited, allowed := now.Sub(job.Arrived), c.latestStart(job).Sub(job.Arrived)
		part := 1.0
		if allowed > 0 {
			part = min(1, max(0, waited.Seconds()/allowed.Seconds()))
		}
		waits[job.Queue] = max(waits[job.Queue], part)
	}
	return waits
}

// HasBlockedTasks reports whether a worker may carry out an earlier start of any task, whose job must not be refused.
func (c *Cell) HasBlockedTasks() bool {
	return len(c.unsettled.blocking) > 0
}
