package cell

import (
	"slices"
	"time"
)

// endTimes tells when running tasks are expected to end; it is worked out on first use.
type endTimes struct {
	cell  *Cell
	now   time.Time
	known bool
	times []time.Time
}

// farOff stands for a time that cannot be foreseen.
const farOff = time.Hour

// after returns when so many more tasks will have ended.
func (e *endTimes) after(count int) time.Time {
	if !e.known {
		e.known = true
		e.times = e.cell.expectedEnds(e.now)
	}
	switch {
	case count <= 0:
		return e.now
	case count > len(e.times):
		return e.now.Add(farOff)
	default:
		return e.times[count-1]
	}
}

// expectedEnds returns when the running tasks are expected to end, earliest first; one that is overdue counts as taking half as long again.
func (c *Cell) expectedEnds(now time.Time) []time.Time {
	var ends []time.Time
	for _, worker := range c.workers {
		if !worker.usable(now) {
			continue
		}
		for _, run := range worker.runs {
			ends = append(ends, run.expectedEnd(now))
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends
}

func (r *Run) expectedEnd(now time.Time) time.Time {
	if r.stopping {
		return now.Add(lapseMargin)
	}
	end := r.sent.Add(r.expected)
	if end.Before(now) {
		return now.Add(now.Sub(r.sent) / 2)
	}
	return end
}

// predict returns how long the job would wait until all its tasks have started.
func (c *Cell) predict(job *Job, now time.Time) time.Duration {
	ahead := 0
	for _, other := range c.waiting {
		if other != job && !other.Decided() && !c.latestStart(other).After(c.latestStart(job)) {
			ahead += other.waiting()
		}
	}
	missing := ahead + job.waiting() - c.startable(job, now)
	if missing <= 0 {
		return 0
	}
	ends := endTimes{cell: c, now: now}
	return ends.after(missing).Sub(now)
}
