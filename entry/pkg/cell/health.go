package cell

import "time"

const (
	// ejectionThreshold is the number of consecutive failed runs after which a worker is ejected.
	ejectionThreshold = 2
	// minEjection is the first ejection period; it doubles with each further failure.
	minEjection = 300 * time.Millisecond
	// maxEjection bounds the ejection period.
	maxEjection = 4 * time.Second
	// overdueFactor is the multiple of its expected run time after which a run is considered to hang.
	overdueFactor = 3
	// overdueSlack is added for short tasks.
	overdueSlack = 150 * time.Millisecond
)

// health tracks the failures of a worker and ejects it while it fails, rejects starts or hangs.
type health struct {
	failures     int // consecutive
	ejectedUntil time.Time
	ejection     time.Duration
}

// ejected reports whether the worker is ejected.
func (h *health) ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// recordSuccess resets the state after a successful run.
func (h *health) recordSuccess() {
	*h = health{}
}

// recordFailure counts a failed run, whether the fault is the worker's or the task's.
func (h *health) recordFailure(now time.Time) {
	h.failures++
	if h.failures >= ejectionThreshold {
		h.eject(now)
	}
}

// eject keeps new runs off the worker for the next ejection period.
func (h *health) eject(now time.Time) {
	h.ejection = min(max(minEjection, 2*h.ejection), maxEjection)
	h.ejectedUntil = now.Add(h.ejection)
}

// overdue reports whether the run exceeds its expected run time so far that it may hang.
func (r *Run) overdue(now time.Time) bool {
	return now.Sub(r.sentAt) > overdueFactor*r.expected+overdueSlack
}
