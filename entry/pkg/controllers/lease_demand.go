package controllers

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/lending"
	"chervilusher.dev/lib/platform"
)

// leaseLinger is how long a worker's lease is renewed after the last demand for its group.
const leaseLinger = 30 * time.Second

// NeedsLease reports whether slots of the worker are lent, or whether a host has asked for its group lately; the dispatch lock is held.
func (l *LendingController) NeedsLease(worker *blackboard.Backend, now time.Time) bool {
	if worker.Busy > 0 || l.keeper.Lent(worker.Name) > 0 {
		return true
	}
	asked, ok := l.asked[worker.Group]
	return ok && now.Sub(asked) < leaseLinger
}

// LeaseNeeded receives when a group of workers is asked for whose leases may have lapsed.
func (l *LendingController) LeaseNeeded() <-chan struct{} {
	return l.wanted
}

// noteDemand remembers which groups of workers are asked for; the dispatch lock is held.
func (l *LendingController) noteDemand(ask *lending.BorrowRequest, now time.Time) {
	for i := range ask.Demands {
		name := ask.Demands[i].Requirements.Group
		group, ok := l.board.Dispatch.Groups[name]
		if !ok || group.Role != platform.RoleWorker {
			continue
		}
		asked, known := l.asked[name]
		l.asked[name] = now
		if !known || now.Sub(asked) >= leaseLinger {
			wakeUp(l.wanted)
		}
	}
}

// wakeUp sends without blocking; one waiting signal is enough.
func wakeUp(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// alwaysLeased is the demand of ways of lending that know of none: every worker is leased.
type alwaysLeased struct{}

// NeedsLease returns true.
func (alwaysLeased) NeedsLease(*blackboard.Backend, time.Time) bool { return true }

// LeaseNeeded returns nil.
func (alwaysLeased) LeaseNeeded() <-chan struct{} { return nil }

// LeaseDemandOf returns the lender's own knowledge of demand, or that every worker is leased.
func LeaseDemandOf(lender SlotAllocator) LeaseDemand {
	if demand, ok := lender.(LeaseDemand); ok {
		return demand
	}
	return alwaysLeased{}
}
