package cell

import (
	"iter"
	"time"
)

// predictDelay returns the predicted delay until the last task of the job has started; if that is more than a caller is
// told to wait, some time beyond.
func (c *Cell) predictDelay(job *Job, now time.Time) time.Duration {
	return c.forecastWithin(job, nil, maxRetryDelay, now)
}

// forecastWithin returns the predicted delay until the last task of the job has started on an eligible worker, of all
// workers if eligible is nil. Of a delay beyond the limit it returns some time beyond.
func (c *Cell) forecastWithin(job *Job, eligible func(*Worker) bool, limit time.Duration, now time.Time) time.Duration {
	if c.startsAtOnce(job, eligible, now) {
		return 0
	}
	c.lookOut(&c.outlook, job, eligible, now)
	var scheduled load
	jobs := 0
	for other := range c.ahead(job, now) {
		if jobs++; jobs > maxLookAhead {
			c.outlook.pour(c.loadAhead(job, now).minus(scheduled))
			break
		}
		if soonest, _ := c.outlook.earliest(); soonest > limit {
			return soonest
		}
		c.outlook.schedule(other.waiting(), c.typical(other))
		scheduled.add(other.waiting(), c.typical(other))
	}
	delay := c.outlook.schedule(job.waiting(), c.typical(job))
	if job.waitingAlone() == 0 {
		return delay
	}
	return max(delay, c.forecastAlone(job, eligible, now))
}

// startsAtOnce reports whether no job is ahead and the eligible workers have room for all tasks.
func (c *Cell) startsAtOnce(job *Job, eligible func(*Worker) bool, now time.Time) bool {
	for range c.ahead(job, now) {
		return false
	}
	missing := job.waiting()
	for _, worker := range c.ordered {
		if missing <= 0 || job.waitingAlone() > 0 {
			break
		}
		if worker.Group == job.Group && !worker.joining && (eligible == nil || eligible(worker)) && worker.Capacity.Fits(job.Tasks[0].Demand) && worker.usableFor(job, now) {
			missing -= worker.free().Slots(job.Tasks[0].Demand)
		}
	}
	return missing <= 0
}

// maxLookAhead is the number of jobs ahead whose tasks a forecast schedules one by one. Of those after them only the sum of
// their work counts: no run time is known well enough for more.
const maxLookAhead = 256

// takesRoom reports whether the waiting job may start before others.
func (c *Cell) takesRoom(job *Job, now time.Time) bool {
	return !job.Decided() && !c.IsBlocked(job, now)
}

// ahead returns the waiting jobs that start before the job. They come before all that do not, but for jobs that have changed
// since they were sorted.
func (c *Cell) ahead(job *Job, now time.Time) iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, other := range c.waiting {
			if other == job || !other.waits() {
				continue
			}
			if isAhead := c.isAhead(other, job); !isAhead && !other.moved {
				return
			} else if isAhead && c.takesRoom(other, now) && !yield(other) {
				return
			}
		}
	}
}

// extendObjective extends the objective of a job with more tasks than the cell has slots, since its tasks must run in
// several rounds.
func (c *Cell) extendObjective(job *Job) {
	slots := c.slotsUpTo(len(job.Tasks), job)
	if slots == 0 {
		return
	}
	rounds := (len(job.Tasks) - 1) / slots
	job.Objective = job.Objective.Add(time.Duration(rounds) * c.typical(job))
}
