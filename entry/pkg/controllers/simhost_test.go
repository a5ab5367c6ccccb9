package controllers

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/jonboulle/clockwork"

	"chervilusher.dev/entry/pkg/admission"
	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/burn"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/estimate"
	"chervilusher.dev/entry/pkg/health"
	"chervilusher.dev/entry/pkg/ledger"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/placement"
	"chervilusher.dev/entry/pkg/queue"
	"chervilusher.dev/entry/pkg/settings"
	"chervilusher.dev/entry/pkg/ticket"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/jsontime"
)

const (
	simAccount = "owner"
	simEntries = 12
	simBytes   = 20_000
	simLease   = 2 * time.Second
	simMargin  = 500 * time.Millisecond
)

// simHost is the core of one daemon: home, engine, ledger and stored records, without I/O.
type simHost struct {
	name        string
	domain      string
	common      *common.Common
	board       *blackboard.Board
	engine      *dispatch.Engine
	ledger      *ledger.Ledger
	tickets     *ticket.Issuer
	submissions *SubmissionController
	handovers   *HandoverController
	outbox      []dispatch.Start // decided and not yet sent
	stops       []dispatch.Stop
	waiting     int // starts without an outcome
	paused      bool
	dead        bool
}

func simConfiguration() *blackboard.ConfigurationIndex {
	state := configuration.NewState()
	state.Next = 1
	state.Owners[simAccount] = &configuration.Accepted{Version: 1, Document: configuration.Document{
		Owner: simAccount,
		Services: []configuration.Service{
			{Name: "asked", Group: "minions", Tombstones: true},
			{Name: "plain", Group: "minions"},
		},
		Pools: []configuration.Pool{{Name: "pool", Group: "workers"}},
	}}
	return blackboard.NewConfigurationIndex(state)
}

func newSimHost(name, domain string, serial int, clock clockwork.Clock) *simHost {
	loaded := settings.Default()
	loaded.Name = name
	loaded.FailureDomain = domain
	loaded.Ticket = settings.Ticket{
		Key: "a key for the tests alone", Window: jsontime.Duration(10 * time.Second),
		Keep: jsontime.Duration(30 * time.Second), Entries: simEntries, Bytes: simBytes,
	}
	c := &common.Common{
		Log:         &log.Logger{Handler: text.New(io.Discard), Level: log.FatalLevel},
		Settings:    loaded,
		Clock:       clock,
		Incarnation: fmt.Sprintf("%s-%d", name, serial),
	}
	h := &simHost{name: name, domain: domain, common: c, board: blackboard.New()}
	h.board.Configuration.Store(simConfiguration())
	h.board.Dispatch.Accounts[simAccount] = &blackboard.Account{Name: simAccount, Weight: 1, MaxWait: 30}
	h.engine = dispatch.New(&h.board.Dispatch, dispatch.Policies{
		Placement: placement.NewFastest(),
		Admission: admission.NewNone(),
		Estimator: estimate.New(2 * time.Second),
		Health:    health.New(0.1, 0.5),
		NewQueue:  func(accounts map[string]*blackboard.Account) blackboard.Queue { return queue.NewFair(accounts) },
	}, dispatch.Limits{LongAfter: 2 * time.Second, LongShare: 0.7})
	limits := ledger.Limits{Window: 10 * time.Second, Keep: 30 * time.Second, Entries: simEntries, Bytes: simBytes}
	h.ledger = ledger.New(limits, clock.Now())
	h.tickets = ticket.New(loaded.Ticket.Key, name, domain, c.Incarnation, limits.Window, clock)
	inForce := func() *configuration.State { return h.board.Configuration.Load().State }
	h.submissions = NewSubmissionController(c, h.board, h.engine, h.ledger, h.tickets, h, burn.New(name, clock, inForce))
	h.handovers = NewHandoverController(c, h.board, nil, peer.NewServer())
	return h
}

// Run implements EffectRunner; a later step sends the effects.
func (h *simHost) Run(effects dispatch.Effects) {
	h.outbox = append(h.outbox, effects.Starts...)
	h.stops = append(h.stops, effects.Stops...)
}

func (h *simHost) finish(start *dispatch.Start, outcome dispatch.Outcome) {
	h.waiting--
	effects, stale := h.engine.Finish(start.Task, start.Attempt, outcome, h.common.Clock.Now())
	if stale {
		panic("the outcome of a pending start is stale")
	}
	h.Run(effects)
}

func (h *simHost) tick() {
	now := h.common.Clock.Now()
	h.Run(h.engine.Tick(now))
	h.ledger.Expire(now)
	h.handovers.expire()
}

// updateBackends applies the host list and grants this host all slots of the endpoints.
func (h *simHost) updateBackends(backends []*simBackend) {
	for _, known := range backends {
		group := h.engine.Group(known.host.Group)
		group.Role = known.host.Role
		backend, ok := group.Backends[known.host.Name]
		if !ok {
			backend = &blackboard.Backend{Name: known.host.Name, Group: group.Name, Role: group.Role}
			group.Backends[known.host.Name] = backend
		}
		backend.FailureDomain = known.host.Place
		backend.Slots = known.host.Slots
		backend.Cores = known.host.Cores
		backend.Leaving = known.host.State == "leaving"
		if backend.FencingToken == 0 && group.Name == "minions" {
			backend.Granted = backend.Slots
		}
	}
	h.engine.Sync()
}

// renew acquires or renews the lease of a worker as the lease controller does.
func (h *simHost) renew(worker *simBackend) {
	now := h.common.Clock.Now()
	backend := h.engine.Group("workers").Backends[worker.host.Name]
	backend.FencingToken = worker.lease(h.common.Incarnation, backend.FencingToken, now, now.Add(simLease))
	backend.Granted = 0
	if backend.FencingToken != 0 {
		backend.Granted = backend.Slots
		backend.GrantedUntil = now.Add(simLease - simMargin)
	}
	h.engine.Sync()
	h.Run(h.engine.Assign(h.engine.Group("workers"), now))
}

func (h *simHost) submit(request *peer.SubmitRequest) *api.Answer {
	return h.submissions.Submit(context.Background(), request)
}
