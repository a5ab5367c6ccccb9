package cell

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minRetryDelay keeps refused callers from retrying within the same burst.
	minRetryDelay = time.Second
	// maxRetryDelay bounds the retry delay, also when no worker is large enough, since workers come and go every few
	// seconds.
	maxRetryDelay = 5 * time.Second
	// retrySpread is the range of retry delays at the bound, so that not all callers return in the same second.
	retrySpread = time.Second
)

// RetryDelay returns the delay before the caller of a refused job should retry: at least the forecast delay, and at
// random within twice the time that the workers need for all callers who were refused before, so that these do not
// return together.
func (c *Cell) RetryDelay(job *Job, now time.Time) time.Duration {
	return c.retryDelay(job, c.predictDelay(job, now), now)
}

// retryDelay does so for a job with that forecast delay.
func (c *Cell) retryDelay(job *Job, delay time.Duration, now time.Time) time.Duration {
	c.refuseWork(job, now)
	slots := c.slots(job)
	if slots == 0 {
		return maxRetryDelay
	}
	work := time.Duration(len(job.Tasks)) * c.speeds.typical(job.Queue, job.longestTask().Estimate)
	backlog := c.addRefused(job.Group, work/time.Duration(slots), now)
	delay += rand.N(min(2*backlog, maxRetryDelay) + 1)
	return min(max(delay, minRetryDelay), maxRetryDelay-rand.N(retrySpread))
}

// addRefused adds the time that all workers of the group take for a refused job, and returns the time that they need
// for all callers who were told to return.
func (c *Cell) addRefused(group string, work time.Duration, now time.Time) time.Duration {
	backlog := min(max(0, c.returns[group].Sub(now))+work, maxRetryDelay)
	c.returns[group] = now.Add(backlog)
	return backlog
}

// holdReturns puts the end of the refused callers' work off while the group is short, since its workers do none of it then.
func (c *Cell) holdReturns(group string, now time.Time) {
	if end, ok := c.returns[group]; ok && end.After(c.sharesAt) {
		c.returns[group] = end.Add(now.Sub(c.sharesAt))
	}
}

// slots returns how many tasks of the job's size the workers that take new jobs run at once.
func (c *Cell) slots(job *Job) int {
	return c.slotsUpTo(math.MaxInt, job)
}

// slotsUpTo returns the same number if it is less than the given one, and else one that is not.
func (c *Cell) slotsUpTo(enough int, job *Job) int {
	slots := 0
	for _, worker := range c.ordered {
		if slots >= enough {
			break
		}
		if worker.Group == job.Group && worker.isExpected() {
			slots += worker.Capacity.Slots(job.Tasks[0].Demand)
		}
	}
	return slots
}
