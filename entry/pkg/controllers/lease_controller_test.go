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
	"chervilusher.dev/entry/pkg/lending"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/settings"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

// countingLeaser grants every lease and remembers what was asked.
type countingLeaser struct {
	mu    sync.Mutex
	asked []platform.LeaseRequest
	ended int
}

func (c *countingLeaser) Lease(_ context.Context, _ string, request platform.LeaseRequest) (*platform.Lease, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, request)
	return &platform.Lease{Holder: request.Holder, Fence: int64(len(c.asked)), Left: request.Length}, false, nil
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
	return len(c.asked)
}

type noAssigner struct{}

func (noAssigner) AssignAll() {}

type leaseBench struct {
	clock  *clockwork.FakeClock
	board  *blackboard.Board
	lender *LendingController
	leaser *countingLeaser
	leases *LeaseController
}

func newLeaseBench(workers int) *leaseBench {
	bench := &leaseBench{clock: clockwork.NewFakeClock(), board: blackboard.New(), leaser: &countingLeaser{}}
	c := &common.Common{Log: &log.Logger{Handler: discard.New()}, Settings: settings.Default(), Clock: bench.clock}
	c.Settings.Name, c.Settings.FailureDomain = "e1", "sapporo"
	bench.board.Members.Store(&blackboard.MemberTable{ByName: map[string]blackboard.Member{
		"e1": {Name: "e1", FailureDomain: "sapporo", Size: 1, Alive: true},
	}})
	group := &blackboard.Group{Name: "heavy", Role: platform.RoleWorker, Backends: map[string]*blackboard.Backend{}}
	for i := range workers {
		name := string(rune('a' + i))
		group.Backends[name] = &blackboard.Backend{Name: name, Group: "heavy", FailureDomain: "sapporo", Role: platform.RoleWorker, Slots: 4, Cores: 4}
	}
	bench.board.Dispatch.Groups["heavy"] = group
	bench.lender = NewLendingController(c, bench.board, nil, &wakingRunner{observe: func() {}}, nil, peer.NewServer())
	bench.lender.BackendsChanged()
	bench.leases = NewLeaseController(c, bench.board, bench.leaser, noAssigner{}, bench.lender)
	return bench
}

func (b *leaseBench) ask(t *testing.T, count int) *lending.BorrowResponse {
	t.Helper()
	answer, err := b.lender.serveBorrow(t.Context(), &lending.BorrowRequest{
		Host:    "e2",
		Demands: []lending.Demand{{Requirements: lending.Requirements{Group: "heavy", Need: api.Need{Cores: 1}}, Count: count, MayWait: count}},
	})
	require.NoError(t, err)
	return answer
}

// TestIdleWorkersAreNotLeased covers the idle host's bytes: it renewed the leases of all its workers, 17 to 22 KB a second.
func TestIdleWorkersAreNotLeased(t *testing.T) {
	bench := newLeaseBench(5)
	for range 10 {
		bench.leases.renewAll(t.Context())
		bench.clock.Advance(time.Second)
	}
	require.Zero(t, bench.leaser.calls())
}

func TestDemandTakesLeasesAtOnceAndIdlenessEndsThem(t *testing.T) {
	bench := newLeaseBench(5)
	bench.clock.Advance(lenderGrace)
	require.Empty(t, bench.ask(t, 1).Granted, "nothing is lent before it is leased")
	require.Len(t, bench.leases.demand.LeaseNeeded(), 1, "the lease controller is woken")
	bench.leases.renewAll(t.Context())
	require.Equal(t, 5, bench.leaser.calls())
	require.Len(t, bench.ask(t, 1).Granted, 1)

	// What is lent stays leased for as long as it is lent.
	for range 20 {
		bench.clock.Advance(time.Second)
		bench.ask(t, 0)
		bench.leases.renewAll(t.Context())
	}
	renewed := bench.leaser.calls()
	bench.clock.Advance(leaseRetention)
	bench.lender.tick()
	bench.leases.renewAll(t.Context())
	require.Equal(t, renewed, bench.leaser.calls(), "the loan has lapsed and nobody asks any more")

	// A lapsed lease is taken anew: asking for it under the old fence would be refused.
	bench.ask(t, 1)
	bench.leases.renewAll(t.Context())
	require.Zero(t, bench.leaser.asked[renewed].Fence)
}

func TestGiveBackEndsTheLeasesThatAreHeld(t *testing.T) {
	bench := newLeaseBench(3)
	bench.ask(t, 1)
	bench.leases.renewAll(t.Context())
	bench.leases.ReleaseAll(t.Context())
	require.Equal(t, 3, bench.leaser.ended)
	bench.leases.renewAll(t.Context())
	require.Equal(t, 3, bench.leaser.calls(), "no lease is taken after they were given back for good")
}
