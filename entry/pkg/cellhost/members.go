package cellhost

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/membership"
	"chervilusher.dev/entry/pkg/peer"
)

// recoveryHeartbeats is how many heartbeats without a gap a suspected host needs before it counts as alive.
const recoveryHeartbeats = 2

var (
	heartbeatsSent   = metrics.NewCounter(`chervilusher_pulses_total{end="sent"}`)
	heartbeatsFailed = metrics.NewCounter(`chervilusher_pulses_total{end="failed"}`)
)

// LoadReporter reports this host's free slots as a keeper, the workers that it has not released yet, and the homes of
// its jobs.
type LoadReporter interface {
	Loads() []cell.Load
	UnreleasedWorkers() []string
	JobHomes() map[string]bool
	// Excesses returns the queues of which more is offered than can be started in time.
	Excesses() []peer.Excess
}

// FailureObserver is notified of hosts that are suspected or restarted.
type FailureObserver interface {
	// HostFailed reports that a host is suspected or, if an incarnation is given, that only this one is running.
	HostFailed(name, incarnation string)
}

// CallReporter reports the open calls to other keepers.
type CallReporter interface {
	OpenCalls(keeper string) *peer.OpenCalls
	// ForwardedHomes returns the other hosts at which the callers of forwarded jobs wait.
	ForwardedHomes() []string
}

// CallReceiver handles the open calls that the heartbeat of a home reports.
type CallReceiver interface {
	HandleOpenCalls(heartbeat *peer.Heartbeat)
}

// CallObserver is notified of the address of each peer that calls.
type CallObserver interface {
	PeerCalled(ctx context.Context, address string)
}

// MembersController exchanges heartbeats with other hosts and maintains the view of them.
type MembersController struct {
	common           *common.Common
	options          Options
	board            *Board
	client           *peer.Client
	queues           *QueuesController
	evacuations      *EvacuationController
	loads            LoadReporter
	shedder          Shedder
	failureObservers []FailureObserver
	callObserver     CallObserver
	calls            CallReporter
	callReceiver     CallReceiver
	crashes          CrashExchange

	mu              sync.Mutex
	tracker         *membership.Tracker
	heartbeats      map[string]receivedHeartbeat
	refused         map[string]bool // hosts whose address refused the connection at the last call
	jobHomes        map[string]bool // homes of jobs that this host keeps or has forwarded
	listedKeepers   map[string]bool // hosts that keep a cell according to the directory
	ticks           int
	wake            chan struct{}
	silences        map[string]silence
	keeperHeard     bool      // a keeper of this failure domain was heard since this host started
	hostsKnownSince time.Time // when the hosts were first known from the directory
	published       time.Time // when the view was last published on the board
	viewStale       bool      // heartbeats arrived since
}

// receivedHeartbeat is the last heartbeat of a host.
type receivedHeartbeat struct {
	heartbeat   *peer.Heartbeat
	clockOffset clockOffset
	receivedAt  time.Time
	firstAt     time.Time // when the first one of this incarnation was received
	sentAt      time.Time // on this host's clock
}

// NewMembersController returns the controller and adds its method to the peer server.
func NewMembersController(
	c *common.Common,
	options Options,
	board *Board,
	client *peer.Client,
	server *peer.Server,
	queues *QueuesController,
	evacuations *EvacuationController,
	shedder Shedder,
) *MembersController {
	controller := &MembersController{
		common:        c.Prefixed("members"),
		options:       options,
		board:         board,
		client:        client,
		queues:        queues,
		evacuations:   evacuations,
		shedder:       shedder,
		heartbeats:    map[string]receivedHeartbeat{},
		refused:       map[string]bool{},
		silences:      map[string]silence{},
		listedKeepers: map[string]bool{},
		wake:          make(chan struct{}, 1),
	}
	controller.tracker = membership.New(membership.Options{
		Self:               options.Name,
		FailureDomain:      options.FailureDomain,
		HeartbeatInterval:  options.HeartbeatInterval,
		SuspectTimeout:     options.SuspectTimeout,
		RecoveryHeartbeats: recoveryHeartbeats,
		IsHeartbeatPeer:    controller.isHeartbeatPeer,
		KeepHeard:          true,
	})
	peer.Handle(server, peer.MethodHeartbeat, controller.serveHeartbeat)
	return controller
}

// SetObservers sets the load reporter and the failure observers; it must be called before Serve.
func (m *MembersController) SetObservers(loads LoadReporter, observers ...FailureObserver) {
	m.loads = loads
	m.failureObservers = observers
}

// SetCallObserver sets the observer of calling peers; it must be called before Serve.
func (m *MembersController) SetCallObserver(observer CallObserver) {
	m.callObserver = observer
}

// SetCalls sets the sides of calls to run jobs; it must be called before Serve.
func (m *MembersController) SetCalls(calls CallReporter, receiver CallReceiver) {
	m.calls = calls
	m.callReceiver = receiver
}

// SetHosts applies the directory's hosts, and which of them keep cells.
func (m *MembersController) SetHosts(hosts []blackboard.Member, keepers map[string]bool) {
	m.mu.Lock()
	m.listedKeepers = keepers
	if m.hostsKnownSince.IsZero() {
		m.hostsKnownSince = m.common.Clock.Now()
	}
	m.forgetUnlisted(hosts)
	m.tracker.SetHosts(hosts, m.common.Clock.Now())
	m.mu.Unlock()
	m.publish()
	m.SendHeartbeats()
}

// HostsKnownSince returns when the hosts were first known from the directory, and false before.
func (m *MembersController) HostsKnownSince() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hostsKnownSince, !m.hostsKnownSince.IsZero()
}

// SendHeartbeats sends heartbeats to all heartbeat peers at once, after a change of state that they should know.
func (m *MembersController) SendHeartbeats() {
	select {
	case m.wake <- struct{}{}:
	default: // a request is pending already
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
	homes := m.loads.JobHomes()
	if m.calls != nil {
		for _, home := range m.calls.ForwardedHomes() {
			homes[home] = true
		}
	}
	m.mu.Lock()
	m.viewStale = m.viewStale || !maps.Equal(homes, m.jobHomes)
	m.jobHomes = homes
	changed, paused := m.tracker.Tick(m.common.Clock.Now())
	changed = changed || m.viewStale
	m.mu.Unlock()
	if paused {
		m.endSilences()
		m.common.Log.Warn("this process was paused")
	}
	if changed {
		m.publish()
	}
	m.ticks++
}

func (m *MembersController) serveHeartbeat(_ context.Context, heartbeat *peer.Heartbeat) (*peer.Heartbeat, error) {
	m.handleHeartbeat(heartbeat)
	go func() {
		if m.callObserver != nil {
			m.callObserver.PeerCalled(context.Background(), heartbeat.Address)
		}
		m.queues.FetchIfNewer(context.Background(), heartbeat.Address, heartbeat.QueuesVersion)
	}()
	return m.ownHeartbeat(heartbeat.Name), nil
}

// handleHeartbeat processes a heartbeat. The view is rebuilt at once if the heartbeat changes a state that others act
// on, and otherwise after viewInterval only, since its cost grows with the number of hosts.
func (m *MembersController) handleHeartbeat(heartbeat *peer.Heartbeat) {
	m.evacuations.ApplyFromPeer(heartbeat.Evacuations, heartbeat.Name)
	m.mergeCrashes(heartbeat)
	// First, since other keepers are told of a forwarded job that it is wanted as long as its home is heard.
	if heartbeat.Calls != nil && m.callReceiver != nil {
		m.callReceiver.HandleOpenCalls(heartbeat)
	}
	if m.recordHeartbeat(heartbeat) {
		m.publish()
	}
}

// recordHeartbeat reports whether the view must be rebuilt for the heartbeat.
func (m *MembersController) recordHeartbeat(heartbeat *peer.Heartbeat) bool {
	now := m.common.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.tracker.RecordHeartbeat(heartbeat.Name, heartbeat.Incarnation, heartbeat.Leaving, now) || m.refused[heartbeat.Name]
	delete(m.refused, heartbeat.Name)
	delete(m.silences, heartbeat.Name)
	before, ok := m.heartbeats[heartbeat.Name]
	first := now
	offset := clockOffset{}
	if ok && before.heartbeat.Incarnation == heartbeat.Incarnation {
		first = before.firstAt
		offset = before.clockOffset
	}
	offset.observe(now.Sub(time.Unix(0, heartbeat.Clock)), now)
	m.heartbeats[heartbeat.Name] = receivedHeartbeat{
		heartbeat:   heartbeat,
		clockOffset: offset,
		receivedAt:  now,
		firstAt:     first,
		sentAt:      time.Unix(0, heartbeat.Clock).Add(offset.estimate),
	}
	m.viewStale = true
	return changed || !ok || changesState(before.heartbeat, heartbeat) || offset.estimate < before.clockOffset.estimate ||
		now.Sub(before.receivedAt) > 2*m.options.HeartbeatInterval || now.Sub(m.published) >= viewInterval
}

// changesState reports whether a heartbeat reports more than new loads.
func changesState(before, now *peer.Heartbeat) bool {
	return before.Incarnation != now.Incarnation || before.Leaving != now.Leaving ||
		!slices.Equal(before.Claims, now.Claims) || !slices.Equal(before.UnreleasedWorkers, now.UnreleasedWorkers)
}

// ownHeartbeat returns the heartbeat for the named host.
func (m *MembersController) ownHeartbeat(receiver string) *peer.Heartbeat {
	heartbeat := &peer.Heartbeat{
		Name:              m.options.Name,
		Address:           m.options.Address,
		Incarnation:       m.common.Incarnation,
		Leaving:           m.board.Draining.Load(),
		Claims:            m.board.Claims(),
		Loads:             m.loads.Loads(),
		UnreleasedWorkers: m.loads.UnreleasedWorkers(),
		Evacuations:       m.board.Evacuations(),
		Clock:             m.common.Clock.Now().UnixNano(),
		ShedFraction:      m.shedder.Shed(),
		Excesses:          m.loads.Excesses(),
	}
	if table := m.board.Queues(); table != nil {
		heartbeat.QueuesVersion = table.Version
	}
	if m.crashes != nil { // the late starts are read after the time that they cover
		heartbeat.StartsReportedUntil = m.crashes.StartsReportedUntil()
		heartbeat.Crashes, heartbeat.LateStarts = m.crashesFor(receiver)
	}
	if m.calls != nil { // after Clock was read: what the list lacks, was sent later
		heartbeat.Calls = m.calls.OpenCalls(receiver)
	}
	return heartbeat
}

// publish stores the view on the board and notifies the observers of hosts that failed or restarted since the last
// one.
func (m *MembersController) publish() {
	m.mu.Lock()
	before := m.board.View()
	view := m.buildView()
	m.published = m.common.Clock.Now()
	m.viewStale = false
	m.board.view.Store(view)
	m.mu.Unlock()
	for name, state := range before.Hosts {
		now, ok := view.Hosts[name]
		switch {
		case name == m.options.Name:
		case !ok || (state.Alive && !now.Alive):
			m.common.Log.WithField("peer", name).WithField("heard", state.LastSeen).Warn("host suspected or down")
			m.notifyFailed(name, "")
		case state.Incarnation != "" && state.Incarnation != now.Incarnation:
			m.common.Log.WithField("peer", name).Info("host restarted")
			m.notifyFailed(name, now.Incarnation)
		case !state.Alive && now.Alive:
			m.common.Log.WithField("peer", name).Info("host alive again")
		case !state.Leaving && now.Leaving:
			m.common.Log.WithField("peer", name).Info("host is leaving")
		}
	}
}

func (m *MembersController) notifyFailed(name, incarnation string) {
	for _, observer := range m.failureObservers {
		observer.HostFailed(name, incarnation)
	}
}

func (m *MembersController) buildView() *View {
	members := m.tracker.Table().ByName
	view := &View{Hosts: make(map[string]PeerState, len(members))}
	for name, member := range members {
		gone := m.isGone(name)
		view.Gone += boolToInt(gone)
		view.DomainSize += boolToInt(!gone && member.FailureDomain == m.options.FailureDomain)
	}
	// A network partition does not refuse connections, but a host that is about to start does.
	refusalTells := len(members)-view.Gone <= fullMeshHosts || !m.isStarting()
	peers, heard, down, domainPeers, heardDomainPeers, heardLately := 0, 0, 0, 0, 0, 0
	for name, member := range members {
		state := PeerState{Member: member, Gone: m.isGone(name)}
		last, ok := m.heartbeats[name]
		if ok && last.heartbeat.Incarnation == member.Incarnation {
			state.Claims = last.heartbeat.Claims
			state.Loads = last.heartbeat.Loads
			state.ClockOffset = last.clockOffset.estimate
			state.ClockKnown = true
			state.LastHeartbeat = last.sentAt
			state.UnreleasedWorkers = setOf(last.heartbeat.UnreleasedWorkers)
			state.ShedFraction = last.heartbeat.ShedFraction
			state.Excesses = last.heartbeat.Excesses
			state.WitnessesStarts = last.heartbeat.StartsReportedUntil != 0
		}
		if name == m.options.Name {
			state.Incarnation = m.common.Incarnation
			state.Claims = m.board.Claims()
			state.Leaving = m.board.Draining.Load()
			state.ShedFraction = m.shedder.Shed()
			state.ClockKnown = true
			view.Hosts[name] = state
			continue
		}
		m.keeperHeard = m.keeperHeard || (member.FailureDomain == m.options.FailureDomain && state.IsKeeper())
		heardLately += boolToInt(member.Alive && member.Incarnation != "" && m.common.Clock.Since(member.LastSeen) <= heardLatelyAge)
		if state.HeartbeatPeer = m.isHeartbeatPeer(&member); state.HeartbeatPeer && m.refused[name] && refusalTells {
			down++
		} else if state.HeartbeatPeer {
			isHeard := member.Alive && member.Incarnation != ""
			peers++
			heard += boolToInt(isHeard)
			domainPeers += boolToInt(member.FailureDomain == m.options.FailureDomain)
			heardDomainPeers += boolToInt(isHeard && member.FailureDomain == m.options.FailureDomain)
		}
		view.Hosts[name] = state
	}
	view.Minority = 2*heard < peers
	view.Complete = heard == peers && (peers+down > 0 || len(members) == 1)
	// A failure domain that is cut off as a whole continues by itself.
	view.Isolated = view.Minority && domainPeers > 0 && heardDomainPeers == 0
	// To a host that starts a record is no evidence that its host lives, and any host that it hears shows that it is not cut off.
	if !m.keeperHeard && heardLately > 0 {
		view.Isolated = false
	}
	return view
}

// setOf returns nil for no names, the usual case.
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

func boolToInt(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// Ready reports whether new jobs can be served: a live host that is not leaving keeps a cell.
func (b *Board) Ready() bool {
	if b.Draining.Load() || b.Queues() == nil {
		return false
	}
	view := b.View()
	for name := range view.Hosts {
		state := view.Hosts[name]
		if state.Alive && !state.Leaving && state.IsKeeper() {
			return true
		}
	}
	return false
}
