package controllers

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/lending"
	"chervilusher.dev/lib/platform"
)

// leaseRetention is how long a worker's lease is renewed after the last request for its group.
const leaseRetention = 30 * time.Second

// NeedsLease reports whether slots of the worker are in use or lent, or its group was requested within leaseRetention.
// The dispatch lock is held.
func (l *LendingController) NeedsLease(worker *blackboard.Backend, now time.Time) bool {
	if worker.Busy > 0 || l.lender.Lent(worker.Name) > 0 {
		return true
	}
	last, ok := l.lastDemand[worker.Group]
	return ok && now.Sub(last) < leaseRetention
}

// LeaseNeeded signals a request for a group of workers whose leases may have expired.
func (l *LendingController) LeaseNeeded() <-chan struct{} {
	return l.leaseNeeded
}

// recordDemand records the groups of workers that are requested; the dispatch lock is held.
func (l *LendingController) recordDemand(request *lending.BorrowRequest, now time.Time) {
	for i := range request.Demands {
		name := request.Demands[i].Requirements.Group
		group, ok := l.board.Dispatch.Groups[name]
		if !ok || group.Role != platform.RoleWorker {
			continue
		}
		last, known := l.lastDemand[name]
		l.lastDemand[name] = now
		if !known || now.Sub(last) >= leaseRetention {
			notify(l.leaseNeeded)
		}
	}
}

// notify sends without blocking; one pending signal is enough.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// alwaysLeased is the LeaseDemand of allocators that do not track demand: every worker is leased.
type alwaysLeased struct{}

// NeedsLease returns true.
func (alwaysLeased) NeedsLease(*blackboard.Backend, time.Time) bool { return true }

// LeaseNeeded returns nil.
func (alwaysLeased) LeaseNeeded() <-chan struct{} { return nil }

// LeaseDemandOf returns the allocator if it tracks demand, or else a demand for every worker's lease.
func LeaseDemandOf(allocator SlotAllocator) LeaseDemand {
	if demand, ok := allocator.(LeaseDemand); ok {
		return demand
	}
	return alwaysLeased{}
}
