package cell

import "time"

// LimitDeadlines brings the deadlines of the undecided jobs forward, for a keeper that stops at the given time.
func (c *Cell) LimitDeadlines(latest, now time.Time) Effects {
	var effects Effects
	for job := range c.jobs {
		job.Deadline = minTime(job.Deadline, latest)
	}
	c.servableUntil = time.Time{}
	c.resetDue()
	c.assign(now, &effects)
	return effects
}
