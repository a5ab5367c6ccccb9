package cell

import "time"

const (
	// failuresToPause is how many runs in a row may fail before a worker is left out.
	failuresToPause = 2
	// firstPause is how long a failing worker is left out first; each further failure doubles it.
	firstPause = 300 * time.Millisecond
	// longestPause bounds how long a failing worker is left out between two tries.
	longestPause = 4 * time.Second
	// overdueFactor is how many times its expected run time a run may take before the worker counts as hanging.
	overdueFactor = 3
	// overdueSlack is added to the expected run time of short tasks.
	overdueSlack = 150 * time.Millisecond
)

// health tells workers that fail, refuse or hang from those that work.
type health struct {
	bad   int // bad ends in a row
	until time.Time
	pause time.Duration
}

// paused reports whether the worker is left out.
func (h *health) paused(now time.Time) bool {
	return now.Before(h.until)
}

// good takes in a run that ended as it should.
func (h *health) good() {
	*h = health{}
}

// failed takes in a run that failed by the worker's fault or its own.
func (h *health) failed(now time.Time) {
	h.bad++
	if h.bad >= failuresToPause {
		h.leaveOut(now)
	}
}

// leaveOut lets no new run start for a while.
func (h *health) leaveOut(now time.Time) {
	h.pause = min(max(firstPause, 2*h.pause), longestPause)
	h.until = now.Add(h.pause)
}

// overdue reports whether the run takes so much longer than expected that it may hang.
func (r *Run) overdue(now time.Time) bool {
	return now.Sub(r.sent) > overdueFactor*r.expected+overdueSlack
}
