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

// LoadReporter tells what this host has room for as a keeper.
type LoadReporter interface {
	Loads() []cell.Load
	UnreleasedWorkers() []string
}

// FailureObserver is told of hosts that are gone.
type FailureObserver interface {
	// HostFailed says that a host is silent, or that only the given incarnation of it lives.
	HostFailed(name, life string)
}

// CallObserver is told of the address of each peer that calls.
type CallObserver interface {
	PeerCalled(ctx context.Context, address string)
}

// MembersController exchanges heartbeats with other hosts and keeps the view of them up to date.
type MembersController struct {
	common  *common.Common
	options Options
	board   *Board
	client  *peer.Client
	queues  *QueuesController
	loads   LoadReporter
	shedder Shedder
	gone    []FailureObserver
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
	pulse *peer.Heartbeat
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
		Self:               options.Name,
		FailureDomain:      options.FailureDomain,
		HeartbeatInterval:  options.HeartbeatInterval,
		SuspectTimeout:     options.SuspectTimeout,
		RecoveryHeartbeats: confirmPulses,
		IsHeartbeatPeer:    controller.isNear,
	})
	peer.Handle(server, peer.MethodHeartbeat, controller.servePulse)
	return controller
}

// SetObservers sets who tells the loads and who is told of lost hosts; it is to be called before Serve.
func (m *MembersController) SetObservers(loads LoadReporter, gone ...FailureObserver) {
	m.loads = loads
	m.gone = gone
}

// SetCallObserver sets who is told of peers that call; it is to be called before Serve.
func (m *MembersController) SetCallObserver(observer CallObserver) {
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
		m.mates += count(hosts[i].FailureDomain == m.options.FailureDomain)
	}
	m.tracker.SetHosts(hosts, m.common.Clock.Now())
	m.mu.Unlock()
	m.publish()
	m.SendHeartbeats()
}

// HostsKnownSince returns when the directory first told the hosts, and false before.
func (m *MembersController) HostsKnownSince() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known, !m.known.IsZero()
}

// SendHeartbeats sends heartbeats to all near hosts at once, since something has changed that they should know.
func (m *MembersController) SendHeartbeats() {
	select {
	case m.wake <- struct{}{}:
	default: // it is awake already
	}
}

// Serve sends heartbeats until the context ends.
func (m *MembersController) Serve(ctx context.Context) {
	ticker := m.common.Clock.NewTicker(m.options.HeartbeatInterval)
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
func (m *MembersController) called(all bool) []PeerState {
	far := !all && m.ticks%int(farInterval/DefaultHeartbeatInterval) == 0
	view := m.board.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	var called, others []PeerState
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
	if member.FailureDomain == m.options.FailureDomain {
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
func (m *MembersController) isCaller(other *PeerState) bool {
	if m.options.Name < other.Name || !other.Alive || other.Incarnation == "" {
		return true
	}
	return m.common.Clock.Since(other.LastSeen) > 2*m.options.HeartbeatInterval
}

func (m *MembersController) pulse(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, m.options.SuspectTimeout/2)
	defer cancel()
	pulsesSent.Inc()
	answer, err := peer.Call[peer.Heartbeat, peer.Heartbeat](ctx, m.client, address, peer.MethodHeartbeat, m.ownHeartbeat())
	if err != nil {
		pulsesFailed.Inc()
		m.missed(name, err)
		m.common.Log.WithField("peer", name).WithError(err).Debug("heartbeat failed")
		return
	}
	m.handleHeartbeat(answer)
	m.queues.FetchIfNewer(ctx, address, answer.QueuesVersion)
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
		return m.tracker.RecordRefusedConnection(name)
	}
	return m.tracker.RecordMissedHeartbeat(name)
}

func (m *MembersController) servePulse(_ context.Context, pulse *peer.Heartbeat) (*peer.Heartbeat, error) {
	m.handleHeartbeat(pulse)
	go func() {
		if m.calls != nil {
			m.calls.PeerCalled(context.Background(), pulse.Address)
		}
		m.queues.FetchIfNewer(context.Background(), pulse.Address, pulse.QueuesVersion)
	}()
	return m.ownHeartbeat(), nil
}

// handleHeartbeat takes in a heartbeat. The view is built anew at once when it tells something that others act on, and otherwise a
// few times a second only, since its cost grows with the hosts.
func (m *MembersController) handleHeartbeat(pulse *peer.Heartbeat) {
	if m.noteHeard(pulse) {
		m.publish()
	}
}

// noteHeard reports whether the heartbeat tells something for which the view is to be built anew.
func (m *MembersController) noteHeard(pulse *peer.Heartbeat) bool {
	now := m.common.Clock.Now()
	ahead := now.Sub(time.Unix(0, pulse.Clock))
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.tracker.RecordHeartbeat(pulse.Name, pulse.Incarnation, pulse.Leaving, now) || m.refused[pulse.Name]
	delete(m.refused, pulse.Name)
	before, ok := m.told[pulse.Name]
	if ok && before.pulse.Incarnation == pulse.Incarnation {
		ahead = min(ahead, before.ahead)
	}
	m.told[pulse.Name] = told{pulse: pulse, ahead: ahead, at: now}
	m.stale = true
	return changed || !ok || isNews(before.pulse, pulse) || ahead < before.ahead ||
		now.Sub(before.at) > 2*m.options.HeartbeatInterval || now.Sub(m.shown) >= viewInterval
}

// isNews reports whether a heartbeat tells more than new loads.
func isNews(before, now *peer.Heartbeat) bool {
	return before.Incarnation != now.Incarnation || before.Leaving != now.Leaving ||
		!slices.Equal(before.Claims, now.Claims) || !slices.Equal(before.UnreleasedWorkers, now.UnreleasedWorkers)
}

func (m *MembersController) ownHeartbeat() *peer.Heartbeat {
	pulse := &peer.Heartbeat{
		Name:              m.options.Name,
		Address:           m.options.Address,
		Incarnation:       m.common.Incarnation,
		Leaving:           m.board.Draining.Load(),
		Claims:            m.board.Claims(),
		Loads:             m.loads.Loads(),
		UnreleasedWorkers: m.loads.UnreleasedWorkers(),
		Clock:             m.common.Clock.Now().UnixNano(),
		ShedFraction:      m.shedder.Shed(),
	}
	if table := m.board.Queues(); table != nil {
		pulse.QueuesVersion = table.Version
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
		observer.HostFailed(name, life)
	}
}

func (m *MembersController) view() *View {
	members := m.tracker.Table().ByName
	view := &View{Hosts: make(map[string]PeerState, len(members))}
	// A cut does not refuse connections, but a mate does that is about to start as well.
	refusalTells := len(members) <= meshHosts || !m.isStarting()
	near, heard, gone, mates, heardMates := 0, 0, 0, 0, 0
	for name, member := range members {
		neighbour := PeerState{Member: member}
		said, ok := m.told[name]
		if ok && said.pulse.Incarnation == member.Incarnation {
			neighbour.Claims = said.pulse.Claims
			neighbour.Loads = said.pulse.Loads
			neighbour.ClockOffset = said.ahead
			neighbour.ClockKnown = true
			neighbour.LastHeartbeat = said.at
			neighbour.UnreleasedWorkers = setOf(said.pulse.UnreleasedWorkers)
			neighbour.ShedFraction = said.pulse.ShedFraction
		}
		if name == m.options.Name {
			neighbour.Incarnation = m.common.Incarnation
			neighbour.Claims = m.board.Claims()
			neighbour.Leaving = m.board.Draining.Load()
			neighbour.ShedFraction = m.shedder.Shed()
			neighbour.ClockKnown = true
		} else if neighbour.HeartbeatPeer = m.isNear(&member); neighbour.HeartbeatPeer && m.refused[name] && refusalTells {
			gone++
		} else if neighbour.HeartbeatPeer {
			isHeard := member.Alive && member.Incarnation != ""
			near++
			heard += count(isHeard)
			mates += count(member.FailureDomain == m.options.FailureDomain)
			heardMates += count(isHeard && member.FailureDomain == m.options.FailureDomain)
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
		if neighbour.Alive && !neighbour.Leaving && neighbour.IsKeeper() {
			return true
		}
	}
	return false
}
