package controllers

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/keeper"
	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/lib/platform"
)

const (
	// renewalsPerLease is the number of renewals within the length of a lease.
	renewalsPerLease = 3
	// leaseCalls bounds the concurrent lease calls.
	leaseCalls = 32
)

// Leaser acquires, renews and releases leases of workers.
type Leaser interface {
	Lease(ctx context.Context, address string, request platform.LeaseRequest) (lease *platform.Lease, held bool, err error)
	Release(ctx context.Context, address string, fence int64) error
}

// LeaseDemand reports which workers need a lease.
type LeaseDemand interface {
	// NeedsLease reports whether tasks wait for the worker or run on it; the dispatch lock is held.
	NeedsLease(worker *blackboard.Backend, now time.Time) bool
	// LeaseNeeded signals that a worker without need for a lease now has one; it may be nil.
	LeaseNeeded() <-chan struct{}
}

// LeaseController holds the leases of the workers for which this host is the lender.
type LeaseController struct {
	common   *common.Common
	board    *blackboard.Board
	leaser   Leaser
	assigner Assigner
	demand   LeaseDemand
	calls    sync.Mutex // held while leases are renewed or released
	released bool
}

// NewLeaseController returns a controller without leases.
func NewLeaseController(
	c *common.Common,
	board *blackboard.Board,
	leaser Leaser,
	assigner Assigner,
	demand LeaseDemand,
) *LeaseController {
	return &LeaseController{common: c.Prefixed("lease"), board: board, leaser: leaser, assigner: assigner, demand: demand}
}

// Serve acquires and renews the needed leases until the context ends; the others expire.
func (l *LeaseController) Serve(ctx context.Context) {
	ticker := l.common.Clock.NewTicker(l.common.Settings.Lease.Length.Std() / renewalsPerLease)
	defer ticker.Stop()
	for {
		l.renewAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-l.demand.LeaseNeeded():
		}
	}
}

// ReleaseAll releases this host's leases for good, so that another host need not wait until they expire.
func (l *LeaseController) ReleaseAll(ctx context.Context) {
	l.calls.Lock()
	defer l.calls.Unlock()
	l.released = true
	var calls errgroup.Group
	calls.SetLimit(leaseCalls)
	for _, backend := range l.held() {
		calls.Go(func() error {
			if err := l.leaser.Release(ctx, backend.Address, backend.Lease.Fence); err != nil {
				l.common.Log.WithError(err).WithField("worker", backend.Name).Warn("cannot release a lease; it will expire")
			}
			return nil
		})
	}
	_ = calls.Wait()
}

func (l *LeaseController) renewAll(ctx context.Context) {
	if l.renewNeeded(ctx) {
		l.assigner.AssignAll()
	}
}

// renewNeeded renews the needed leases of this host's workers and reports whether there were any.
// After ReleaseAll it does nothing.
func (l *LeaseController) renewNeeded(ctx context.Context) bool {
	l.calls.Lock()
	defer l.calls.Unlock()
	if l.released {
		return false
	}
	members := l.board.Members.Load()
	renewed := 0
	var calls errgroup.Group
	calls.SetLimit(leaseCalls)
	for _, backend := range l.needingLease() {
		if keeper.Of(backend.Name, backend.FailureDomain, members) != l.common.Settings.Name {
			continue
		}
		renewed++
		calls.Go(func() error {
			l.renew(ctx, &backend)
			return nil
		})
	}
	_ = calls.Wait()
	return renewed > 0
}

// renew counts the lease from before the call, so that it expires here no later than at the worker.
func (l *LeaseController) renew(ctx context.Context, worker *blackboard.Backend) {
	length := l.common.Settings.Lease.Length.Std()
	sent := l.common.Clock.Now()
	request := platform.LeaseRequest{
		Holder: l.common.Settings.Name + "/" + l.common.Incarnation,
		Length: jsontime.Duration(length),
	}
	if worker.Leased(sent) {
		request.Fence = worker.Lease.Fence
	}
	ctx, cancel := context.WithTimeout(ctx, length/renewalsPerLease)
	defer cancel()
	lease, held, err := l.leaser.Lease(ctx, worker.Address, request)
	if err != nil {
		l.common.Log.WithError(err).WithField("worker", worker.Name).Debug("cannot renew a lease")
		return
	}
	until := sent.Add(length - l.common.Settings.Lease.Margin.Std())
	l.board.Dispatch.Lock()
	defer l.board.Dispatch.Unlock()
	group, ok := l.board.Dispatch.Groups[worker.Group]
	if !ok || group.Backends[worker.Name] == nil {
		return
	}
	l.apply(group.Backends[worker.Name], lease, held, until)
}

// apply records the lease. With loans the lender lends under it; otherwise only this host uses the worker.
func (l *LeaseController) apply(worker *blackboard.Backend, lease *platform.Lease, held bool, until time.Time) {
	worker.Lease = blackboard.Lease{}
	if !held {
		worker.Lease = blackboard.Lease{Fence: lease.Fence, Until: until}
	}
	if l.common.Settings.Policy.Lending == lendingLoans {
		return
	}
	worker.FencingToken = worker.Lease.Fence
	worker.GrantedUntil = until
	worker.Granted = 0
	if !held {
		worker.Granted = worker.Slots
	}
}

// held returns copies of the workers whose lease this host holds.
func (l *LeaseController) held() []blackboard.Backend {
	now := l.common.Clock.Now()
	return l.workers(func(worker *blackboard.Backend) bool { return worker.Leased(now) })
}

// needingLease returns copies of the workers that need a lease.
func (l *LeaseController) needingLease() []blackboard.Backend {
	now := l.common.Clock.Now()
	return l.workers(func(worker *blackboard.Backend) bool { return l.demand.NeedsLease(worker, now) })
}

// workers returns copies of this failure domain's workers that satisfy the condition.
func (l *LeaseController) workers(condition func(worker *blackboard.Backend) bool) []blackboard.Backend {
	l.board.Dispatch.Lock()
	defer l.board.Dispatch.Unlock()
	var workers []blackboard.Backend
	for _, group := range l.board.Dispatch.Groups {
		if group.Role != platform.RoleWorker {
			continue
		}
		for _, backend := range group.Backends {
			if backend.FailureDomain == l.common.Settings.FailureDomain && condition(backend) {
				workers = append(workers, *backend)
			}
		}
	}
	return workers
}
