package cellhost

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/membership"
	"chervilusher.dev/entry/pkg/peer"
)

// confirmPulses is how many heartbeats without a gap a suspected host needs.
const confirmPulses = 2

var (
	pulsesSent   = metrics.NewCounter(`chervilusher_pulses_total{end="sent"}`)
	pulsesFailed = metrics.NewCounter(`chervilusher_pulses_total{end="failed"}`)
)

// LoadTeller tells what this host has room for as a keeper.
type LoadTeller interface {
	Loads() []cell.Load
	Keeping() []string
}

// LivesObserver is told of hosts that are gone.
type LivesObserver interface {
	// HostGone says that a host is silent, or that only the given incarnation of it lives.
	HostGone(name, life string)
}

// MembersController exchanges heartbeats with other hosts and keeps the view of them up to date.
type MembersController struct {
	common  *common.Common
	options Options
	board   *Board
	client  *peer.Client
	queues  *QueuesController
	loads   LoadTeller
	gone    []LivesObserver

	mu      sync.Mutex
	tracker *membership.Tracker
	told    map[string]told
}

// told is what a host last said of itself.
type told struct {
	pulse *peer.Pulse
	ahead time.Duration
}

// NewMembersController returns the controller and adds its method to the server of peers.
func NewMembersController(
	c *common.Common,
	options Options,
	board *Board,
	client *peer.Client,
	server *peer.Server,
	queues *QueuesController,
) *MembersController {
	controller := &MembersController{
		common:  c.Prefixed("members"),
		options: options,
		board:   board,
		client:  client,
		queues:  queues,
		tracker: membership.New(membership.Options{
			Self:     options.Name,
			Interval: options.Pulse,
			Suspect:  options.Suspect,
			Confirm:  confirmPulses,
		}),
		told: map[string]told{},
	}
	peer.Handle(server, peer.MethodPulse, controller.servePulse)
	return controller
}

// Observe sets who tells the loads and who is told of lost hosts; it is to be called before Serve.
func (m *MembersController) Observe(loads LoadTeller, gone ...LivesObserver) {
	m.loads = loads
	m.gone = gone
}

// SetHosts takes the hosts over from the directory.
func (m *MembersController) SetHosts(hosts []blackboard.Member) {
	m.mu.Lock()
	m.tracker.SetHosts(hosts, m.common.Clock.Now())
	m.mu.Unlock()
	m.publish()
}

// Serve sends heartbeats until the context ends.
func (m *MembersController) Serve(ctx context.Context) {
	m.common.Every(ctx, m.options.Pulse, func() { m.tick(ctx) })
}

func (m *MembersController) tick(ctx context.Context) {
	m.mu.Lock()
	changed, paused := m.tracker.Tick(m.common.Clock.Now())
	m.mu.Unlock()
	if paused {
		m.common.Log.Warn("this process was paused")
	}
	if changed {
		m.publish()
	}
	for name, neighbour := range m.board.View().Hosts {
		if m.isCalled(name, &neighbour) {
			go m.pulse(ctx, name, neighbour.Address)
		}
	}
}

// isCalled reports whether this host calls the other: one call serves both ends, so the lower name calls, and both call a silent one.
func (m *MembersController) isCalled(name string, other *Neighbour) bool {
	if name == m.options.Name {
		return false
	}
	return m.options.Name < name || !other.Alive || other.Incarnation == ""
}

func (m *MembersController) pulse(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Suspect/2)
	defer cancel()
	pulsesSent.Inc()
	answer, err := peer.Call[peer.Pulse, peer.Pulse](ctx, m.client, address, peer.MethodPulse, m.own())
	if err != nil {
		pulsesFailed.Inc()
		m.common.Log.WithField("peer", name).WithError(err).Debug("heartbeat failed")
		return
	}
	m.heard(answer)
	m.queues.Offered(ctx, address, answer.Queues)
}

func (m *MembersController) servePulse(_ context.Context, pulse *peer.Pulse) (*peer.Pulse, error) {
	m.heard(pulse)
	if known, ok := m.board.View().Hosts[pulse.Name]; ok {
		go m.queues.Offered(context.Background(), known.Address, pulse.Queues)
	}
	return m.own(), nil
}

func (m *MembersController) heard(pulse *peer.Pulse) {
	now := m.common.Clock.Now()
	ahead := now.Sub(time.Unix(0, pulse.Clock))
	m.mu.Lock()
	m.tracker.Heard(pulse.Name, pulse.Incarnation, pulse.Leaving, now)
	before, ok := m.told[pulse.Name]
	if ok && before.pulse.Incarnation == pulse.Incarnation {
		ahead = min(ahead, before.ahead)
	}
	m.told[pulse.Name] = told{pulse: pulse, ahead: ahead}
	m.mu.Unlock()
	m.publish()
}

func (m *MembersController) own() *peer.Pulse {
	pulse := &peer.Pulse{
		Name:        m.options.Name,
		Incarnation: m.common.Incarnation,
		Leaving:     m.board.Draining.Load(),
		Claims:      m.board.Claims(),
		Loads:       m.loads.Loads(),
		Keeping:     m.loads.Keeping(),
		Clock:       m.common.Clock.Now().UnixNano(),
	}
	if table := m.board.Queues(); table != nil {
		pulse.Queues = table.Version
	}
	return pulse
}

// publish puts the view on the board and tells of hosts that were lost since the last one.
func (m *MembersController) publish() {
	m.mu.Lock()
	before := m.board.View()
	view := m.view()
	m.board.view.Store(view)
	m.mu.Unlock()
	for name, neighbour := range before.Hosts {
		now, ok := view.Hosts[name]
		switch {
		case !ok || (neighbour.Alive && !now.Alive):
			m.common.Log.WithField("peer", name).WithField("heard", neighbour.Heard).Warn("host is silent")
			m.tellGone(name, "")
		case neighbour.Incarnation != "" && neighbour.Incarnation != now.Incarnation:
			m.common.Log.WithField("peer", name).Info("host has started anew")
			m.tellGone(name, now.Incarnation)
		case !neighbour.Alive && now.Alive:
			m.common.Log.WithField("peer", name).Info("host is heard again")
		case !neighbour.Leaving && now.Leaving:
			m.common.Log.WithField("peer", name).Info("host is leaving")
		}
	}
}

func (m *MembersController) tellGone(name, life string) {
	for _, observer := range m.gone {
		observer.HostGone(name, life)
	}
}

func (m *MembersController) view() *View {
	members := m.tracker.Table().ByName
	view := &View{Hosts: make(map[string]Neighbour, len(members))}
	heard := 0
	for name, member := range members {
		neighbour := Neighbour{Member: member}
		said, ok := m.told[name]
		if ok && said.pulse.Incarnation == member.Incarnation {
			neighbour.Claims = said.pulse.Claims
			neighbour.Loads = said.pulse.Loads
			neighbour.Ahead = said.ahead
			neighbour.Timed = true
			neighbour.Keeping = setOf(said.pulse.Keeping)
		}
		if name == m.options.Name {
			neighbour.Incarnation = m.common.Incarnation
			neighbour.Claims = m.board.Claims()
			neighbour.Leaving = m.board.Draining.Load()
			neighbour.Timed = true
		} else if member.Alive && member.Incarnation != "" {
			heard++
		}
		view.Hosts[name] = neighbour
	}
	view.Isolated = 2*heard < len(members)-1
	return view
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// Ready reports whether jobs that come now can be served: some live host keeps a cell.
func (b *Board) Ready() bool {
	if b.Draining.Load() || b.Queues() == nil {
		return false
	}
	view := b.View()
	for place := range maps.Values(placesOf(b.Workers())) {
		if _, _, found := view.Claimant(place); found {
			return true
		}
	}
	return false
}

func placesOf(workers map[string]WorkerInfo) map[string]string {
	places := map[string]string{}
	for _, worker := range workers {
		places[worker.Place] = worker.Place
	}
	return places
}
