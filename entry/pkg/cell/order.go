package cell

import (
	"cmp"
	"time"

	"chervilusher.dev/entry/pkg/share"
)

// compareOrder orders waiting jobs: started ones first, since one late task delays the whole job, then those within their
// queue's share, and then by latest start time.
func (c *Cell) compareOrder(a, b *Job) int {
	if a.Started() != b.Started() {
		if a.Started() {
			return -1
		}
		return 1
	}
	if order := compareShare(a, b); order != 0 {
		return order
	}
	if order := c.latestStart(a).Compare(c.latestStart(b)); order != 0 {
		return order
	}
	return int(a.seq - b.seq)
}

// isAhead reports whether the other waiting job starts before the job.
func (c *Cell) isAhead(other, job *Job) bool {
	if other.Started() {
		return true
	}
	if order := compareShare(other, job); order != 0 {
		return order < 0
	}
	return !c.latestStart(other).After(c.latestStart(job))
}

// compareShare orders jobs by what their queue's share covers, and those beyond it by priority.
func compareShare(a, b *Job) int {
	if order := cmp.Compare(a.rank, b.rank); order != 0 || a.rank != share.Beyond {
		return order
	}
	return cmp.Compare(a.Priority, b.Priority)
}

// work returns the core-seconds that the job's tasks are expected to take on workers of mean speed.
func (c *Cell) work(job *Job) float64 {
	work := 0.0
	for _, task := range job.Tasks {
		work += cores(task.Demand) * c.speeds.typical(job.Queue, task.Estimate).Seconds()
	}
	return work
}

// cores returns the cores of an amount of resources; other resources are not divided among queues.
func cores(amount Resources) float64 {
	const milli = 1000
	return float64(amount.Cores) / milli
}

// offerWork records a job that has arrived and takes its work from its queue's share if that covers it.
func (c *Cell) offerWork(job *Job, now time.Time) {
	shares := c.groupShares(job.Group)
	if shares == nil {
		return
	}
	work := c.work(job)
	shares.ledger.Offer(job.Queue, job.Priority, work, now)
	shares.observePatience(job, c.speeds.length(job.longestTask()))
	job.rank = shares.ledger.Rank(job.Queue, now)
	if shares.ledger.IsShort() {
		job.Diagnostics.Share = job.rank.String()
	}
	if job.rank == share.Within {
		job.charged = work
		shares.ledger.Charge(job.Queue, work)
	}
}

// refuseWork records that a job is refused, or only served late, and gives its work back to its queue's share.
func (c *Cell) refuseWork(job *Job, now time.Time) {
	shares := c.groupShares(job.Group)
	if shares == nil {
		return
	}
	work := c.work(job)
	if job.seq == 0 { // it was too late when it came
		shares.ledger.Offer(job.Queue, job.Priority, work, now)
	}
	shares.ledger.Refuse(work, now)
	shares.ledger.Charge(job.Queue, -job.charged)
	job.charged = 0
}

// placeInOrder sets where a job that has not been submitted would stand in the order.
func (c *Cell) placeInOrder(job *Job, now time.Time) {
	if shares := c.groupShares(job.Group); shares != nil {
		job.rank = shares.ledger.Rank(job.Queue, now)
	}
}
