package controllers

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/lending"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/settings"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

// countingLeaser grants every lease and records the requests.
type countingLeaser struct {
	mu       sync.Mutex
	requests []platform.LeaseRequest
	ended    int
}

func (c *countingLeaser) Lease(_ context.Context, _ string, request platform.LeaseRequest) (*platform.Lease, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, request)
	return &platform.Lease{Holder: request.Holder, Fence: int64(len(c.requests)), Left: request.Length}, false, nil
}

func (c *countingLeaser) Release(context.Context, string, int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended++
	return nil
}

func (c *countingLeaser) calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

type noAssigner struct{}

func (noAssigner) AssignAll() {}

func (noAssigner) Run(dispatch.Effects) {}

type leaseFixture struct {
	clock  *clockwork.FakeClock
	board  *blackboard.Board
	lender *LendingController
	leaser *countingLeaser
	leases *LeaseController
}

func newLeaseFixture(workers int) *leaseFixture {
	fixture := &leaseFixture{clock: clockwork.NewFakeClock(), board: blackboard.New(), leaser: &countingLeaser{}}
	c := &common.Common{Log: &log.Logger{Handler: discard.New()}, Settings: settings.Default(), Clock: fixture.clock}
	c.Settings.Name, c.Settings.FailureDomain = "e1", "sapporo"
	fixture.board.Members.Store(&blackboard.MemberTable{ByName: map[string]blackboard.Member{
		"e1": {Name: "e1", FailureDomain: "sapporo", Size: 1, Alive: true},
	}})
	group := &blackboard.Group{Name: "heavy", Role: platform.RoleWorker, Backends: map[string]*blackboard.Backend{}}
	for i := range workers {
		name := string(rune('a' + i))
		group.Backends[name] = &blackboard.Backend{Name: name, Group: "heavy", FailureDomain: "sapporo", Role: platform.RoleWorker, Slots: 4, Cores: 4}
	}
	fixture.board.Dispatch.Groups["heavy"] = group
	fixture.lender = NewLendingController(c, fixture.board, nil, &notifyingRunner{observe: func() {}}, nil, peer.NewServer())
	fixture.lender.BackendsChanged()
	fixture.leases = NewLeaseController(c, fixture.board, fixture.leaser, noAssigner{}, fixture.lender)
	return fixture
}

func (f *leaseFixture) borrow(t *testing.T, count int) *lending.BorrowResponse {
	t.Helper()
	response, err := f.lender.serveBorrow(t.Context(), &lending.BorrowRequest{
		Host:    "e2",
		Demands: []lending.Demand{{Requirements: lending.Requirements{Group: "heavy", Need: api.Need{Cores: 1}}, Count: count, MayWait: count}},
	})
	require.NoError(t, err)
	return response
}

// TestIdleWorkersAreNotLeased guards against the traffic of an idle host, 17 to 22 KB/s,
// that came from renewing the leases of all its workers.
func TestIdleWorkersAreNotLeased(t *testing.T) {
	fixture := newLeaseFixture(5)
	for range 10 {
		fixture.leases.renewAll(t.Context())
		fixture.clock.Advance(time.Second)
	}
	require.Zero(t, fixture.leaser.calls())
}

func TestDemandLeasesWorkersAtOnceAndIdleLeasesLapse(t *testing.T) {
	fixture := newLeaseFixture(5)
	fixture.clock.Advance(lenderGrace)
	require.Empty(t, fixture.borrow(t, 1).Granted, "slots are lent only under a lease")
	require.Len(t, fixture.leases.demand.LeaseNeeded(), 1, "the lease controller is woken")
	fixture.leases.renewAll(t.Context())
	require.Equal(t, 5, fixture.leaser.calls())
	require.Len(t, fixture.borrow(t, 1).Granted, 1)

	// A worker stays leased for as long as its slots are lent.
	for range 20 {
		fixture.clock.Advance(time.Second)
		fixture.borrow(t, 0)
		fixture.leases.renewAll(t.Context())
	}
	renewed := fixture.leaser.calls()
	fixture.clock.Advance(leaseRetention)
	fixture.lender.tick()
	fixture.leases.renewAll(t.Context())
	require.Equal(t, renewed, fixture.leaser.calls(), "the loan has expired and there are no more requests")

	// An expired lease is acquired again without a token: a request with the old fencing token would be refused.
	fixture.borrow(t, 1)
	fixture.leases.renewAll(t.Context())
	require.Zero(t, fixture.leaser.requests[renewed].Fence)
}

func TestReleaseAllEndsHeldLeases(t *testing.T) {
	fixture := newLeaseFixture(3)
	fixture.borrow(t, 1)
	fixture.leases.renewAll(t.Context())
	fixture.leases.ReleaseAll(t.Context())
	require.Equal(t, 3, fixture.leaser.ended)
	fixture.leases.renewAll(t.Context())
	require.Equal(t, 3, fixture.leaser.calls(), "no lease is acquired after ReleaseAll")
}
