package cell

import (
	"slices"
	"time"
)

// HomeReport lists the open calls of a home to this keeper.
type HomeReport struct {
	Home        string
	Incarnation string
	Sent        time.Time           // on the home's clock
	WantedAt    map[int64]time.Time // when the caller was last known to wait, by number of the call
}

// HandleHomeReport records which jobs the home still waits for, and abandons the others.
func (c *Cell) HandleHomeReport(report *HomeReport, now time.Time) Effects {
	var effects Effects
	var closed []*Job
	for job := range c.byHome[report.Home] {
		if job.Call == 0 || job.HomeIncarnation != report.Incarnation {
			continue
		}
		if wanted, open := report.WantedAt[job.Call]; !open && job.SentAt.Before(report.Sent) {
			closed = append(closed, job)
		} else if wanted.After(job.WantedAt) {
			job.WantedAt = wanted
		}
	}
	if len(closed) == 0 {
		return effects
	}
	slices.SortFunc(closed, func(a, b *Job) int { return int(a.seq - b.seq) })
	for _, job := range closed {
		c.answer(job, &Answer{Outcome: Abandoned, Reason: "the home no longer waits"}, &effects, now)
	}
	c.assign(now, &effects)
	return effects
}
