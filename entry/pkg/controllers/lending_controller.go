package controllers

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/keeper"
	"chervilusher.dev/entry/pkg/lending"
	"chervilusher.dev/entry/pkg/peer"
)

const (
	// lendingInterval is how often idle slots and renewals are checked.
	lendingInterval = 50 * time.Millisecond
	// lendingTimeout bounds one call to a lender or borrower.
	lendingTimeout = 500 * time.Millisecond
	// retryLender is the delay before a lender that did not answer is called again.
	retryLender = 500 * time.Millisecond
	// renewalsPerLoan is the number of renewals within the length of a loan.
	renewalsPerLoan = 2.5
	// lenderGrace is how long a new lender waits for borrowers to report the slots that they hold.
	lenderGrace = 250 * time.Millisecond
)

var (
	borrowCalls       = metrics.NewCounter(`chervilusher_lending_calls_total{kind="borrow"}`)
	borrowEmpty       = metrics.NewCounter(`chervilusher_lending_calls_total{kind="empty"}`)
	borrowFailed      = metrics.NewCounter(`chervilusher_lending_calls_total{kind="failed"}`)
	pushCalls         = metrics.NewCounter(`chervilusher_lending_calls_total{kind="push"}`)
	emptyWithoutOffer = metrics.NewCounter(`chervilusher_lending_empty_total{cause="hoped"}`)
	emptyStale        = metrics.NewCounter(`chervilusher_lending_empty_total{cause="stale"}`)
	emptyWaiting      = metrics.NewCounter(`chervilusher_lending_empty_total{cause="waiting"}`)
	slotsUnused       = metrics.NewCounter(`chervilusher_lending_unused_slots_total`)
)

// LendingController lends the slots of this host's back ends and borrows slots for this host's queues.
type LendingController struct {
	common      *common.Common
	board       *blackboard.Board
	engine      *dispatch.Engine
	runner      EffectRunner
	client      *peer.Client
	wake        chan struct{}
	calls       sync.WaitGroup
	lender      *lending.Lender   // guarded by the dispatch lock
	borrower    *lending.Borrower // guarded by the dispatch lock
	counts      lending.Counts
	lastDemand  map[string]time.Time // time of the last request by group of workers; guarded by the dispatch lock
	leaseNeeded chan struct{}
}

// NewLendingController returns a controller and registers its methods with the peer server.
func NewLendingController(
	c *common.Common,
	board *blackboard.Board,
	engine *dispatch.Engine,
	runner EffectRunner,
	client *peer.Client,
	server *peer.Server,
) *LendingController {
	loan := c.Settings.Lease.Loan.Std()
	margin := min(c.Settings.Lease.Margin.Std(), loan/4)
	lender := lending.NewLender(loan, margin, lenderGrace)
	controller := &LendingController{
		common:      c.Prefixed("lending"),
		board:       board,
		engine:      engine,
		runner:      runner,
		client:      client,
		wake:        make(chan struct{}, 1),
		lastDemand:  map[string]time.Time{},
		leaseNeeded: make(chan struct{}, 1),
		lender:      lender,
		borrower: lending.NewBorrower(&board.Dispatch, lender, engine, lending.Options{
			Host:        c.Settings.Name,
			Incarnation: c.Incarnation,
			Margin:      margin,
			Renew:       time.Duration(float64(loan) / renewalsPerLoan),
		}),
	}
	peer.Handle(server, peer.MethodBorrow, controller.serveBorrow)
	peer.Handle(server, peer.MethodPush, controller.servePush)
	return controller
}

// Wake makes the controller check the queues soon; it never blocks.
func (l *LendingController) Wake() {
	notify(l.wake)
}

// Serve borrows and lends until the context ends.
func (l *LendingController) Serve(ctx context.Context) {
	ticker := l.common.Clock.NewTicker(lendingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.calls.Wait()
			return
		case <-ticker.Chan():
			l.tick()
		case <-l.wake:
		}
		l.step(ctx)
	}
}

// BackendsChanged updates the back ends for which this host is the lender; the dispatch lock is held.
func (l *LendingController) BackendsChanged() {
	members := l.board.Members.Load()
	now := l.common.Clock.Now()
	self := l.common.Settings.Name
	var lent []*blackboard.Backend
	domains := map[string]map[string]bool{}
	for _, group := range l.board.Dispatch.Groups {
		domains[group.Name] = map[string]bool{}
		for name, backend := range group.Backends {
			domains[group.Name][backend.FailureDomain] = true
			if backend.FailureDomain == l.common.Settings.FailureDomain && keeper.Of(name, backend.FailureDomain, members) == self {
				lent = append(lent, backend)
			}
		}
		setShares(group, domains[group.Name], members, self)
	}
	l.lender.Update(lent, false, now)
	for name, member := range members.ByName {
		if !member.Alive {
			l.lender.HostFailed(name)
		}
	}
	l.borrower.SetLenders(lendersOf(members, self), domains)
	l.borrower.MoveHoldings(func(backend string) string { return l.lenderOf(backend, members) })
	l.Wake()
}

func (l *LendingController) lenderOf(name string, members *blackboard.MemberTable) string {
	for _, group := range l.board.Dispatch.Groups {
		if backend, ok := group.Backends[name]; ok {
			return keeper.Of(name, backend.FailureDomain, members)
		}
	}
	return ""
}

func (l *LendingController) tick() {
	l.board.Dispatch.Lock()
	defer l.board.Dispatch.Unlock()
	l.lender.Tick(l.common.Clock.Now())
	l.updateMetrics()
}

// updateMetrics adds the borrower's new counts to the metrics.
func (l *LendingController) updateMetrics() {
	counts := l.borrower.Counts
	borrowCalls.Add(counts.Asks - l.counts.Asks)
	borrowEmpty.Add(counts.Empty - l.counts.Empty)
	emptyWithoutOffer.Add(counts.WithoutOffer - l.counts.WithoutOffer)
	emptyStale.Add(counts.Stale - l.counts.Stale)
	emptyWaiting.Add(counts.Waiting - l.counts.Waiting)
	slotsUnused.Add(counts.Unused - l.counts.Unused)
	l.counts = counts
}

// step borrows from this host's lender directly and from other lenders by calls,
// and pushes grants to hosts that wait for slots.
func (l *LendingController) step(ctx context.Context) {
	l.board.Dispatch.Lock()
	var effects dispatch.Effects
	var remote []lending.Call
	for again := true; again; {
		again = false
		for _, call := range l.borrower.Plan(l.common.Clock.Now()) {
			if call.Lender != l.common.Settings.Name {
				remote = append(remote, call)
				continue
			}
			now := l.common.Clock.Now()
			l.recordDemand(call.Request, now)
			response := l.lender.Serve(call.Request, now)
			effects.Append(l.handleResponse(&call, response, now))
			again = again || len(response.Granted) > 0
		}
	}
	pushes := l.lender.Pushes(l.common.Settings.Name, l.common.Clock.Now())
	l.board.Dispatch.Unlock()
	// The runner wakes this controller, so a step without effects must not call it.
	if len(effects.Starts)+len(effects.Stops) > 0 {
		l.runner.Run(effects)
	}
	for _, call := range remote {
		l.calls.Go(func() { l.borrow(ctx, &call) })
	}
	l.sendPushes(ctx, pushes)
}

// handleResponse applies a response and starts tasks on the granted slots; the dispatch lock is held.
func (l *LendingController) handleResponse(call *lending.Call, response *lending.BorrowResponse, sent time.Time) dispatch.Effects {
	now := l.common.Clock.Now()
	l.borrower.HandleResponse(call.Lender, call.Request, response, sent, now)
	if len(response.Granted) == 0 {
		return dispatch.Effects{}
	}
	return l.assign(now)
}

// assign starts waiting tasks; the dispatch lock is held.
func (l *LendingController) assign(now time.Time) dispatch.Effects {
	var effects dispatch.Effects
	for _, group := range l.board.Dispatch.Groups {
		if group.Queue.Len() == 0 {
			continue
		}
		effects.Append(l.engine.Assign(group, now))
		l.borrower.Settle(group, now)
	}
	return effects
}

func (l *LendingController) borrow(ctx context.Context, call *lending.Call) {
	ctx, cancel := context.WithTimeout(ctx, lendingTimeout)
	defer cancel()
	member := l.board.Members.Load().ByName[call.Lender]
	sent := l.common.Clock.Now()
	response, err := peer.Call[peer.BorrowRequest, peer.BorrowResponse](ctx, l.client, member.Address, peer.MethodBorrow, call.Request)
	l.board.Dispatch.Lock()
	var effects dispatch.Effects
	if err != nil {
		borrowFailed.Inc()
		l.borrower.HandleFailure(call.Lender, l.common.Clock.Now(), retryLender)
	} else {
		effects = l.handleResponse(call, response, sent)
	}
	l.board.Dispatch.Unlock()
	l.runner.Run(effects)
	l.Wake()
}

func (l *LendingController) serveBorrow(_ context.Context, request *peer.BorrowRequest) (*peer.BorrowResponse, error) {
	now := l.common.Clock.Now()
	l.board.Dispatch.Lock()
	l.recordDemand(request, now)
	response := l.lender.Serve(request, now)
	l.board.Dispatch.Unlock()
	if len(request.Returned) > 0 {
		l.Wake()
	}
	return response, nil
}

func (l *LendingController) sendPushes(ctx context.Context, pushes []lending.PushRequest) {
	for _, push := range pushes {
		pushCalls.Inc()
		l.calls.Go(func() { l.sendPush(ctx, &push) })
	}
}

func (l *LendingController) sendPush(ctx context.Context, push *lending.PushRequest) {
	ctx, cancel := context.WithTimeout(ctx, lendingTimeout)
	defer cancel()
	member := l.board.Members.Load().ByName[push.Host]
	response, err := peer.Call[peer.PushRequest, peer.PushResponse](ctx, l.client, member.Address, peer.MethodPush, push)
	if err == nil && response.OK {
		return
	}
	if err != nil {
		return // the host's next full request reports whether it got the slots
	}
	l.board.Dispatch.Lock()
	l.lender.HandleRefusal(push)
	l.board.Dispatch.Unlock()
	l.Wake()
}

func (l *LendingController) servePush(_ context.Context, push *peer.PushRequest) (*peer.PushResponse, error) {
	now := l.common.Clock.Now()
	l.board.Dispatch.Lock()
	accepted := l.borrower.HandlePush(push, now)
	var effects dispatch.Effects
	if accepted {
		effects = l.assign(now)
	}
	l.board.Dispatch.Unlock()
	l.runner.Run(effects)
	l.Wake()
	return &peer.PushResponse{OK: accepted}, nil
}
