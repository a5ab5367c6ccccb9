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
	// renewalsPerLease is how often a lease is renewed before it would lapse.
	renewalsPerLease = 3
	// leaseCalls bounds how many leases are renewed at once.
	leaseCalls = 32
)

// Leaser takes, renews and gives back leases of workers.
type Leaser interface {
	Lease(ctx context.Context, address string, request platform.LeaseRequest) (lease *platform.Lease, held bool, err error)
	Release(ctx context.Context, address string, fence int64) error
}

// LeaseDemand tells which workers have use for a lease.
type LeaseDemand interface {
	// NeedsLease reports whether work waits for the worker or runs on it; the dispatch lock is held.
	NeedsLease(worker *blackboard.Backend, now time.Time) bool
	// LeaseNeeded receives when a worker without use for a lease has come to have one; it may be nil.
	LeaseNeeded() <-chan struct{}
}

// LeaseController holds the leases of the workers whose keeper this host is.
type LeaseController struct {
	common   *common.Common
	board    *blackboard.Board
	leaser   Leaser
	assigner Assigner
	demand   LeaseDemand
	calls    sync.Mutex // held while leases are renewed or given back
	ended    bool
}

// NewLeaseController returns the controller.
func NewLeaseController(
	c *common.Common,
	board *blackboard.Board,
	leaser Leaser,
	assigner Assigner,
	demand LeaseDemand,
) *LeaseController {
	return &LeaseController{common: c.Prefixed("lease"), board: board, leaser: leaser, assigner: assigner, demand: demand}
}

// Serve takes and renews the leases that there is use for until the context ends; the others lapse.
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

// ReleaseAll ends the leases of this host, so that another host need not wait for them to lapse.
func (l *LeaseController) ReleaseAll(ctx context.Context) {
	l.calls.Lock()
	defer l.calls.Unlock()
	l.ended = true
	var calls errgroup.Group
	calls.SetLimit(leaseCalls)
	for _, backend := range l.held() {
		calls.Go(func() error {
			if err := l.leaser.Release(ctx, backend.Address, backend.Lease.Fence); err != nil {
				l.common.Log.WithError(err).WithField("worker", backend.Name).Warn("cannot give back a lease; it lapses by itself")
			}
			return nil
		})
	}
	_ = calls.Wait()
}

func (l *LeaseController) renewAll(ctx context.Context) {
	if l.renewOwn(ctx) {
		l.assigner.AssignAll()
	}
}

// renewOwn renews the leases of the workers that this host keeps, unless they were given back for good, and reports whether there were any.
func (l *LeaseController) renewOwn(ctx context.Context) bool {
	l.calls.Lock()
	defer l.calls.Unlock()
	if l.ended {
		return false
	}
	members := l.board.Members.Load()
	renewed := 0
	var calls errgroup.Group
	calls.SetLimit(leaseCalls)
	for _, backend := range l.wanting() {
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

// renew counts the lease from before the call left, so that this host never believes in it longer than the worker does.
func (l *LeaseController) renew(ctx context.Context, worker *blackboard.Backend) {
	length := l.common.Settings.Lease.Length.Std()
	asked := l.common.Clock.Now()
	request := platform.LeaseRequest{
		Holder: l.common.Settings.Name + "/" + l.common.Incarnation,
		Length: jsontime.Duration(length),
	}
	if worker.Leased(asked) {
		request.Fence = worker.Lease.Fence
	}
	ctx, cancel := context.WithTimeout(ctx, length/renewalsPerLease)
	defer cancel()
	lease, held, err := l.leaser.Lease(ctx, worker.Address, request)
	if err != nil {
		l.common.Log.WithError(err).WithField("worker", worker.Name).Debug("cannot renew a lease")
		return
	}
	until := asked.Add(length - l.common.Settings.Lease.Margin.Std())
	l.board.Dispatch.Lock()
	defer l.board.Dispatch.Unlock()
	group, ok := l.board.Dispatch.Groups[worker.Group]
	if !ok || group.Backends[worker.Name] == nil {
		return
	}
	l.apply(group.Backends[worker.Name], lease, held, until)
}

// apply notes the lease; the keeper lends under it, and without loans this host alone uses it.
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

// held returns copies of the workers that this host has a lease of.
func (l *LeaseController) held() []blackboard.Backend {
	now := l.common.Clock.Now()
	return l.workers(func(worker *blackboard.Backend) bool { return worker.Leased(now) })
}

// wanting returns copies of the workers that there is use for a lease of.
func (l *LeaseController) wanting() []blackboard.Backend {
	now := l.common.Clock.Now()
	return l.workers(func(worker *blackboard.Backend) bool { return l.demand.NeedsLease(worker, now) })
}

// workers returns copies of the workers of this place that the condition holds for.
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
