package worker

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"chervilusher.dev/lib/platform"
)

// sample is the usage from a moment on.
type sample struct {
	since time.Time
	usage platform.Usage
}

// room tracks what the running tasks take, and what the worker reports of it.
type room struct {
	clock clockwork.Clock
	size  Settings

	mu      sync.Mutex
	now     platform.Usage
	history []sample // oldest first; the first one is what is reported
}

func newRoom(clock clockwork.Clock, size Settings) *room {
	usage := platform.Usage{Lag: size.Lag}
	return &room{
		clock:   clock,
		size:    size,
		now:     usage,
		history: []sample{{since: clock.Now(), usage: usage}},
	}
}

// take reserves room for a task; false means that it does not fit now.
func (r *room) take(start platform.TaskStart) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	fits := r.now.Cores+start.Cores <= r.size.Cores &&
		r.now.Memory+start.Memory <= r.size.Memory &&
		r.now.Accelerators+start.Accelerators <= r.size.Accelerators
	if fits {
		r.add(start, 1)
	}
	return fits
}

// free returns what a task took.
func (r *room) free(start platform.TaskStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(start, -1)
}

func (r *room) add(start platform.TaskStart, sign int) {
	r.now.Cores += float64(sign) * start.Cores
	r.now.Memory += int64(sign) * start.Memory
	r.now.Accelerators += sign * start.Accelerators
	r.now.Running += sign
	r.history = append(r.history, sample{since: r.clock.Now(), usage: r.now})
	r.prune()
}

// report returns the usage as it was one lag ago.
func (r *room) report() platform.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune()
	return r.history[0].usage
}

// prune drops the samples that the lag has passed, but for the latest of them.
func (r *room) prune() {
	seen := r.clock.Now().Add(-time.Duration(r.size.Lag))
	for len(r.history) > 1 && !r.history[1].since.After(seen) {
		r.history = r.history[1:]
	}
}
