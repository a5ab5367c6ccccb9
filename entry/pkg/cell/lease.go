package cell

import "time"

// endMargin covers the end of the runs once their lease has expired, and the time until the caller's host and the
// caller itself see what happened.
const endMargin = lapseMargin + 40*time.Millisecond

// minStartLease returns the lease below which no new run starts on a worker; a lease is renewed long before this much
// of it has passed.
func (l *Limits) minStartLease() time.Duration {
	return l.Lease / 2
}

// Lease returns the lease end, on the worker's clock, for a call sent now, or false if the lease must not be extended.
// That of a worker that does not answer is not, since each renewal would put off the time from which its runs have
// certainly ended.
func (w *Worker) Lease(now time.Time, length time.Duration) (time.Duration, bool) {
	if !w.clock.known() || w.unresponsive || len(w.unknownRuns) > 0 {
		return 0, false
	}
	length = min(length, w.leaseLimit(now))
	if length <= 0 {
		return 0, false
	}
	end := w.clock.estimate(now) + length
	w.clock.latestLease = max(w.clock.latestLease, end)
	return end, true
}

// leaseLimit returns the longest lease from now on with which each run ends before the caller of its job may resubmit
// the job, should the home have failed just after it was last known to wait for the answer. A lease covers the whole
// worker, so each renewal would keep such a run alive too.
func (w *Worker) leaseLimit(now time.Time) time.Duration {
	limit := w.cell.limits.Lease
	for _, run := range w.listed {
		limit = min(limit, w.clock.least(w.cell.leaseDeadline(run.Task.Job))-w.clock.estimate(now))
	}
	return limit
}

// isLeaseShort reports whether a new run would get a lease too short to be renewed in time.
func (w *Worker) isLeaseShort(now time.Time) bool {
	return w.clock.known() && now.After(w.startsUntil) && w.leaseLimit(now) < w.cell.limits.minStartLease()
}

// updateStartsUntil recomputes until when runs may start on the worker; the times at which jobs were wanted rise.
func (w *Worker) updateStartsUntil() {
	w.startsUntil = time.Time{}
	for _, run := range w.listed {
		w.limitStarts(run.Task.Job)
	}
}

func (w *Worker) limitStarts(job *Job) {
	if until := w.cell.startDeadline(job); w.startsUntil.IsZero() || until.Before(w.startsUntil) {
		w.startsUntil = until
	}
}

// leaseDeadline returns when the leases of the job's runs must have expired at the latest.
func (c *Cell) leaseDeadline(job *Job) time.Time {
	return c.wantedAt(job).Add(c.limits.Resubmit - endMargin)
}

// startDeadline returns until when a run of the job gets a lease that is long enough to start with.
func (c *Cell) startDeadline(job *Job) time.Time {
	return c.leaseDeadline(job).Add(-time.Duration(float64(c.limits.minStartLease()) / minClockRate))
}

// isUnheard reports whether the home has not reported for too long that the job's caller waits, although the home itself may
// be heard; a pause of this process does not count.
func (c *Cell) isUnheard(job *Job, now time.Time) bool {
	until, reports := c.heardUntil(job)
	return reports && now.After(until)
}

// heardUntil returns until when the home need not report that the job's caller waits, or false if it does not report that.
func (c *Cell) heardUntil(job *Job) (time.Time, bool) {
	wanted := job.WantedAt
	if wanted.Before(c.tickingSince) {
		wanted = c.tickingSince
	}
	return wanted.Add(c.limits.Unheard), job.Call > 0 && c.limits.Unheard > 0
}

// leasesEndInTime reports whether the leases that the worker was already sent, for any run, expire before the job's lease
// deadline. A start cannot shorten them, so they would keep its run alive after the deadline if the keeper is lost.
func (w *Worker) leasesEndInTime(job *Job) bool {
	return w.leasesEndBy(w.cell.leaseDeadline(job))
}

func (w *Worker) leasesEndBy(deadline time.Time) bool {
	return w.clock.latestLease <= w.clock.least(deadline)
}

// wantedAt returns until when the job's caller is known not to resubmit it: when its home was last known to wait for the
// answer. The caller of an abandoned job may resubmit it whatever its home does later; that of a failed one has its final
// answer, unless the home has failed before it passed the answer on.
func (c *Cell) wantedAt(job *Job) time.Time {
	failed := job.Decided() && job.answer.Outcome == Failed
	if !failed && (job.Decided() || job.Call > 0) {
		return job.WantedAt
	}
	wanted := job.WantedAt
	if wanted.IsZero() {
		wanted = job.Arrived
	}
	if seen := c.homes.SeenAt(job.Home, job.HomeIncarnation); seen.After(wanted) {
		return seen
	}
	return wanted
}

// JobHomes returns the homes of the jobs without an answer.
func (c *Cell) JobHomes() map[string]bool {
	homes := map[string]bool{}
	for home := range c.byHome {
		homes[home] = true
	}
	return homes
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
