package worker

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/lib/platform"
)

// leases grants the worker to one holder at a time, each grant under a higher fence.
type leases struct {
	clock clockwork.Clock

	mu     sync.Mutex
	holder string
	fence  int64
	ends   time.Time
}

// take grants or renews the lease; false means that another holder has it.
func (l *leases) take(request platform.LeaseRequest) (platform.Lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	held := now.Before(l.ends)
	renews := held && request.Fence == l.fence && request.Holder == l.holder
	stale := request.Fence != 0 && !renews
	if stale || held && request.Holder != l.holder {
		return l.describe(now), false
	}
	if !renews {
		l.fence++
		l.holder = request.Holder
	}
	l.ends = now.Add(min(request.Length.Std(), maxLease))
	return l.describe(now), true
}

// giveBack ends the lease of the fence; false means that it is not in force.
func (l *leases) giveBack(fence int64) (platform.Lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if fence != l.fence || !now.Before(l.ends) {
		return l.describe(now), false
	}
	l.ends = now
	return l.describe(now), true
}

// valid reports whether the fence is of the lease in force.
func (l *leases) valid(fence int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fence == l.fence && l.clock.Now().Before(l.ends)
}

func (l *leases) describe(now time.Time) platform.Lease {
	left := max(l.ends.Sub(now), 0)
	return platform.Lease{Holder: l.holder, Fence: l.fence, Left: jsontime.Duration(left)}
}
