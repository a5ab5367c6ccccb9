package cellhost

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

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

// CallObserver is told of the address of each peer that calls.
type CallObserver interface {
	Called(ctx context.Context, address string)
}

// MembersController exchanges heartbeats with other hosts and keeps the view of them up to date.
type MembersController struct {
	common  *common.Common
	options Options
	board   *Board
	client  *peer.Client
	queues  *QueuesController
	loads   LoadTeller
	shedder Shedder
	gone    []LivesObserver
	calls   CallObserver

	mu      sync.Mutex
	tracker *membership.Tracker
	told    map[string]told
	refused map[string]bool // hosts at whose address nobody listened at the last call
	listed  map[string]bool // hosts that keep a cell, by the directory
	ticks   int
	wake    chan struct{}
	known   time.Time // when the directory first told the hosts
	mates   int       // hosts of this place, itself among them
	shown   time.Time // when the view was last put on the board
	stale   bool      // heartbeats came since
}

// told is what a host last said of itself.
type told struct {
	pulse *peer.Pulse
	ahead time.Duration
	at    time.Time // when it came
}

// NewMembersController returns the controller and adds its method to the server of peers.
func NewMembersController(
	c *common.Common,
	options Options,
	board *Board,
	client *peer.Client,
	server *peer.Server,
	queues *QueuesController,
	shedder Shedder,
) *MembersController {
	controller := &MembersController{
		common:  c.Prefixed("members"),
		options: options,
		board:   board,
		client:  client,
		queues:  queues,
		shedder: shedder,
		told:    map[string]told{},
		refused: map[string]bool{},
		listed:  map[string]bool{},
		wake:    make(chan struct{}, 1),
	}
	controller.tracker = membership.New(membership.Options{
		Self:     options.Name,
		Place:    options.Place,
		Interval: options.Pulse,
		Suspect:  options.Suspect,
		Confirm:  confirmPulses,
		Near:     controller.isNear,
	})
	peer.Handle(server, peer.MethodPulse, controller.servePulse)
	return controller
}

// Observe sets who tells the loads and who is told of lost hosts; it is to be called before Serve.
func (m *MembersController) Observe(loads LoadTeller, gone ...LivesObserver) {
	m.loads = loads
	m.gone = gone
}

// ObserveCalls sets who is told of peers that call; it is to be called before Serve.
func (m *MembersController) ObserveCalls(observer CallObserver) {
	m.calls = observer
}

// SetHosts takes the hosts over from the directory, and which of them keep cells.
func (m *MembersController) SetHosts(hosts []blackboard.Member, keepers map[string]bool) {
	m.mu.Lock()
	m.listed = keepers
	if m.known.IsZero() {
		m.known = m.common.Clock.Now()
	}
	m.mates = 0
	for i := range hosts {
		m.mates += count(hosts[i].FailureDomain == m.options.Place)
	}
	m.tracker.SetHosts(hosts, m.common.Clock.Now())
	m.mu.Unlock()
	m.publish()
	m.Wake()
}

// KnownSince returns when the directory first told the hosts, and false before.
func (m *MembersController) KnownSince() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known, !m.known.IsZero()
}

// Wake sends heartbeats to all near hosts at once, since something has changed that they should know.
func (m *MembersController) Wake() {
	select {
	case m.wake <- struct{}{}:
	default: // it is awake already
	}
}

// Serve sends heartbeats until the context ends.
func (m *MembersController) Serve(ctx context.Context) {
	ticker := m.common.Clock.NewTicker(m.options.Pulse)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			m.tick()
			m.send(ctx, false)
		case <-m.wake:
			m.send(ctx, true)
		}
	}
}

func (m *MembersController) tick() {
	m.mu.Lock()
	changed, paused := m.tracker.Tick(m.common.Clock.Now())
	changed = changed || m.stale
	m.mu.Unlock()
	if paused {
		m.common.Log.Warn("this process was paused")
	}
	if changed {
		m.publish()
	}
	m.ticks++
}

func (m *MembersController) send(ctx context.Context, all bool) {
	for _, neighbour := range m.called(all) {
		go m.pulse(ctx, neighbour.Name, neighbour.Address)
	}
}

// called returns the hosts that get a heartbeat now: the near ones that wait for it, or all of them, and now and then one of the others.
func (m *MembersController) called(all bool) []Neighbour {
	far := !all && m.ticks%int(farInterval/DefaultPulse) == 0
	view := m.board.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	var called, others []Neighbour
	for name, neighbour := range view.Hosts {
		switch {
		case name == m.options.Name:
		case !m.isNear(&neighbour.Member):
			others = append(others, neighbour)
		case all || m.isCaller(&neighbour):
			called = append(called, neighbour)
		}
	}
	if far && len(others) > 0 {
		called = append(called, others[rand.IntN(len(others))])
	}
	return called
}

// isNear reports whether the host and this one send each other heartbeats at the usual pace: the keepers among
// themselves and with the hosts of their place, and in a small fleet all. One that was silent for long is called now and
// then only. The caller holds the lock.
func (m *MembersController) isNear(member *blackboard.Member) bool {
	if !member.Alive && m.common.Clock.Since(member.LastSeen) > forgetAfter {
		return false
	}
	if len(m.board.View().Hosts) <= meshHosts {
		return true
	}
	self := len(m.board.Claims()) > 0
	other := m.listed[member.Name]
	if said, ok := m.told[member.Name]; ok && said.pulse.Incarnation == member.Incarnation {
		other = len(said.pulse.Claims) > 0
	}
	if member.FailureDomain == m.options.Place {
		return self || other || m.isStarting()
	}
	return self && other
}

// isStarting reports whether this host has just learnt of the hosts and so asks each one of its place, as any of them may
// keep a cell: once all are heard it need not listen for keepers any longer. The caller holds the lock.
func (m *MembersController) isStarting() bool {
	return m.mates <= startMates && !m.known.IsZero() && m.common.Clock.Since(m.known) < startDelay
}

// isCaller reports whether this host calls the near one: one call serves both ends, so of each pair one calls, and both do when the other's calls stay away.
func (m *MembersController) isCaller(other *Neighbour) bool {
	if m.options.Name < other.Name || !other.Alive || other.Incarnation == "" {
		return true
	}
	return m.common.Clock.Since(other.LastSeen) > 2*m.options.Pulse
}

func (m *MembersController) pulse(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Suspect/2)
	defer cancel()
	pulsesSent.Inc()
	answer, err := peer.Call[peer.Pulse, peer.Pulse](ctx, m.client, address, peer.MethodPulse, m.own())
	if err != nil {
		pulsesFailed.Inc()
		m.missed(name, err)
		m.common.Log.WithField("peer", name).WithError(err).Debug("heartbeat failed")
		return
	}
	m.heard(answer)
	m.queues.Offered(ctx, address, answer.Queues)
}

// missed takes in a heartbeat that was not answered; where nobody listens, the host's process is gone for certain.
func (m *MembersController) missed(name string, err error) {
	if m.noteMissed(name, errors.Is(err, syscall.ECONNREFUSED)) {
		m.publish()
	}
}

// noteMissed reports whether the unanswered heartbeat changes what is known of the host.
func (m *MembersController) noteMissed(name string, refused bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if refused {
		m.refused[name] = true
		return m.tracker.Refused(name)
	}
	return m.tracker.Missed(name)
}

func (m *MembersController) servePulse(_ context.Context, pulse *peer.Pulse) (*peer.Pulse, error) {
	m.heard(pulse)
	go func() {
		if m.calls != nil {
			m.calls.Called(context.Background(), pulse.Address)
		}
		m.queues.Offered(context.Background(), pulse.Address, pulse.Queues)
	}()
	return m.own(), nil
}

// heard takes in a heartbeat. The view is built anew at once when it tells something that others act on, and otherwise a
// few times a second only, since its cost grows with the hosts.
func (m *MembersController) heard(pulse *peer.Pulse) {
	if m.noteHeard(pulse) {
		m.publish()
	}
}

// noteHeard reports whether the heartbeat tells something for which the view is to be built anew.
func (m *MembersController) noteHeard(pulse *peer.Pulse) bool {
	now := m.common.Clock.Now()
	ahead := now.Sub(time.Unix(0, pulse.Clock))
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.tracker.Heard(pulse.Name, pulse.Incarnation, pulse.Leaving, now) || m.refused[pulse.Name]
	delete(m.refused, pulse.Name)
	before, ok := m.told[pulse.Name]
	if ok && before.pulse.Incarnation == pulse.Incarnation {
		ahead = min(ahead, before.ahead)
	}
	m.told[pulse.Name] = told{pulse: pulse, ahead: ahead, at: now}
	m.stale = true
	return changed || !ok || isNews(before.pulse, pulse) || ahead < before.ahead ||
		now.Sub(before.at) > 2*m.options.Pulse || now.Sub(m.shown) >= viewInterval
}

// isNews reports whether a heartbeat tells more than new loads.
func isNews(before, now *peer.Pulse) bool {
	return before.Incarnation != now.Incarnation || before.Leaving != now.Leaving ||
		!slices.Equal(before.Claims, now.Claims) || !slices.Equal(before.Keeping, now.Keeping)
}

func (m *MembersController) own() *peer.Pulse {
	pulse := &peer.Pulse{
		Name:        m.options.Name,
		Address:     m.options.Address,
		Incarnation: m.common.Incarnation,
		Leaving:     m.board.Draining.Load(),
		Claims:      m.board.Claims(),
		Loads:       m.loads.Loads(),
		Keeping:     m.loads.Keeping(),
		Clock:       m.common.Clock.Now().UnixNano(),
		Shed:        m.shedder.Shed(),
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
	m.shown = m.common.Clock.Now()
	m.stale = false
	m.board.view.Store(view)
	m.mu.Unlock()
	for name, neighbour := range before.Hosts {
		now, ok := view.Hosts[name]
		switch {
		case name == m.options.Name:
		case !ok || (neighbour.Alive && !now.Alive):
			m.common.Log.WithField("peer", name).WithField("heard", neighbour.LastSeen).Warn("host is silent")
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
	// A cut does not refuse connections, but a mate does that is about to start as well.
	refusalTells := len(members) <= meshHosts || !m.isStarting()
	near, heard, gone, mates, heardMates := 0, 0, 0, 0, 0
	for name, member := range members {
		neighbour := Neighbour{Member: member}
		said, ok := m.told[name]
		if ok && said.pulse.Incarnation == member.Incarnation {
			neighbour.Claims = said.pulse.Claims
			neighbour.Loads = said.pulse.Loads
			neighbour.Ahead = said.ahead
			neighbour.Timed = true
			neighbour.Told = said.at
			neighbour.Keeping = setOf(said.pulse.Keeping)
			neighbour.Shed = said.pulse.Shed
		}
		if name == m.options.Name {
			neighbour.Incarnation = m.common.Incarnation
			neighbour.Claims = m.board.Claims()
			neighbour.Leaving = m.board.Draining.Load()
			neighbour.Shed = m.shedder.Shed()
			neighbour.Timed = true
		} else if neighbour.Near = m.isNear(&member); neighbour.Near && m.refused[name] && refusalTells {
			gone++
		} else if neighbour.Near {
			isHeard := member.Alive && member.Incarnation != ""
			near++
			heard += count(isHeard)
			mates += count(member.FailureDomain == m.options.Place)
			heardMates += count(isHeard && member.FailureDomain == m.options.Place)
		}
		view.Hosts[name] = neighbour
	}
	view.Minority = 2*heard < near
	view.Complete = heard == near && (near+gone > 0 || len(members) == 1)
	// A place that is cut off from all others as a whole goes on by itself.
	view.Isolated = view.Minority && mates > 0 && heardMates == 0
	return view
}

// setOf returns nil for no names, as nearly every host tells.
func setOf(names []string) map[string]bool {
	if len(names) == 0 {
		return nil
	}
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// count returns 1 for true.
func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// Ready reports whether jobs that come now can be served: some live host keeps a cell.
func (b *Board) Ready() bool {
	if b.Draining.Load() || b.Queues() == nil {
		return false
	}
	view := b.View()
	for name := range view.Hosts {
		neighbour := view.Hosts[name]
		if neighbour.Alive && !neighbour.Leaving && neighbour.Keeps() {
			return true
		}
	}
	return false
}
