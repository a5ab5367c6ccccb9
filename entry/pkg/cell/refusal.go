package cell

import "time"

// Waits returns for each queue with jobs that wait for their first start the part of their time until the latest start that they
// have waited on average.
func (c *Cell) Waits(now time.Time) map[string]float64 {
	waits := map[string]float64{}
	jobs := map[string]int{}
	for _, job := range c.waiting {
		if job.Decided() || job.Started() || job.predecessor != nil || c.IsBlocked(job, now) {
			continue
		}
		waited, allowed := now.Sub(job.Arrived), c.latestStart(job).Sub(job.Arrived)
		part := 1.0
		if allowed > 0 {
			part = min(1, max(0, waited.Seconds()/allowed.Seconds()))
		}
		jobs[job.Queue]++
		waits[job.Queue] += (part - waits[job.Queue]) / float64(jobs[job.Queue])
	}
	return waits
}

// HasBlockedTasks reports whether a worker may carry out an earlier start of any task, whose job must not be refused.
func (c *Cell) HasBlockedTasks() bool {
	return len(c.unsettled.blocking) > 0
}
