package cell

import "time"

const (
	// endMargin covers the end of the runs once their lease has expired, and the time until the caller's host and the
	// caller itself see what happened.
	endMargin = lapseMargin + 40*time.Millisecond
	// minStartLease is the fraction of the longest lease below which no new run starts on a worker; a lease is renewed
	// each time that less than this is left.
	minStartLease = 0.5
)

// Lease returns the lease end, on the worker's clock, for a call sent now, or false if the lease must not be extended.
// That of a worker that does not answer is not, since each renewal would put off the time from which its runs have
// certainly ended.
func (w *Worker) Lease(now time.Time, length time.Duration) (time.Duration, bool) {
	if !w.clock.known() || w.unresponsive || len(w.unknownRuns) > 0 || w.hasSuspectedHome() {
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

// leaseLimit returns the longest lease from now on with which each run of an answered job ends before its caller may
// resubmit the job. A lease covers the whole worker, so each renewal would keep a run alive whose stop is unconfirmed.
func (w *Worker) leaseLimit(now time.Time) time.Duration {
	limit := w.limits.Lease
	for _, run := range w.runs {
		if job := run.Task.Job; job.Decided() {
			left := job.answeredAt.Add(w.limits.Resubmit - endMargin).Sub(now)
			limit = min(limit, time.Duration(minClockRate*float64(left)))
		}
	}
	return limit
}

// hasShortLease reports whether the lease that a new run would get is too short to be renewed in time.
func (w *Worker) hasShortLease(now time.Time) bool {
	return w.leaseLimit(now) < time.Duration(minStartLease*float64(w.limits.Lease))
}
