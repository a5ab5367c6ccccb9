package controllers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/membership"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/lib/platform"
)

const (
	// suspectIntervals is for how many heartbeat intervals a host may be silent.
	suspectIntervals = 2.5
	// confirmBeats is how many heartbeats without a gap a suspected host needs.
	confirmBeats = 3
	// farInterval is how often a host of another place is called; places take turns.
	farInterval = time.Second
	// farTimeout bounds a call to another place.
	farTimeout = 2 * time.Second
)

var (
	beatsSent   = metrics.NewCounter(`chervilusher_heartbeats_total{end="sent"}`)
	beatsFailed = metrics.NewCounter(`chervilusher_heartbeats_total{end="failed"}`)
	pausesTotal = metrics.NewCounter(`chervilusher_own_pauses_total`)
)

// PeerReader takes newer state from a peer than this host has.
type PeerReader interface {
	// FetchIfNewer is told the peer's version of the state.
	FetchIfNewer(ctx context.Context, address string, version int64)
}

// MemberObserver is told when the view of the membership has changed.
type MemberObserver interface {
	MembersChanged()
}

// MembersController exchanges heartbeats with the other entry hosts and keeps the view of them up to date.
type MembersController struct {
	common        *common.Common
	board         *blackboard.Board
	client        *peer.Client
	configuration PeerReader
	hosts         PeerReader
	observers     []MemberObserver

	mu      sync.Mutex
	tracker *membership.Tracker
}

// NewMembersController returns the controller and adds its method to the server of peers.
func NewMembersController(
	c *common.Common,
	board *blackboard.Board,
	client *peer.Client,
	server *peer.Server,
	configurations PeerReader,
) *MembersController {
	interval := c.Settings.Lease.Heartbeat.Std()
	controller := &MembersController{
		common:        c.Prefixed("members"),
		board:         board,
		client:        client,
		configuration: configurations,
		tracker: membership.New(membership.Options{
			Self:               c.Settings.Name,
			FailureDomain:      c.Settings.FailureDomain,
			HeartbeatInterval:  interval,
			SuspectTimeout:     time.Duration(suspectIntervals * float64(interval)),
			RecoveryHeartbeats: confirmBeats,
		}),
	}
	peer.Handle(server, peer.MethodMembershipHeartbeat, controller.serveBeat)
	return controller
}

// SetHostsReader sets what takes the host list from peers; it is to be called before Serve.
func (m *MembersController) SetHostsReader(hosts PeerReader) {
	m.hosts = hosts
}

// Observe adds an observer; it is to be called before Serve.
func (m *MembersController) Observe(observer MemberObserver) {
	m.observers = append(m.observers, observer)
}

// HostsChanged takes the entry hosts over from the host list.
func (m *MembersController) HostsChanged() {
	listed := m.board.Hosts.Load().ByName
	hosts := make([]blackboard.Member, 0, len(m.board.Members.Load().ByName))
	for name, host := range listed {
		if host.Role != platform.RoleEntry {
			continue
		}
		hosts = append(hosts, blackboard.Member{
			Name:          name,
			Address:       host.Address,
			FailureDomain: host.Place,
			Size:          max(1, host.Size),
			Leaving:       host.State == platform.HostLeaving,
		})
	}
	m.mu.Lock()
	m.tracker.SetHosts(hosts, m.common.Clock.Now())
	m.mu.Unlock()
	m.publish()
}

// Serve sends heartbeats until the context ends.
func (m *MembersController) Serve(ctx context.Context) {
	near := m.common.Clock.NewTicker(m.common.Settings.Lease.Heartbeat.Std())
	defer near.Stop()
	far := m.common.Clock.NewTicker(farInterval)
	defer far.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-near.Chan():
			m.beatNear(ctx)
		case <-far.Chan():
			m.beatFar(ctx)
		}
	}
}

// beatNear calls the hosts of this place whose name is higher, since one call serves both ends of a pair, and those that are silent, which may not know this host.
func (m *MembersController) beatNear(ctx context.Context) {
	m.mu.Lock()
	changed, paused := m.tracker.Tick(m.common.Clock.Now())
	m.mu.Unlock()
	if paused {
		pausesTotal.Inc()
		m.common.Log.Warn("this process was paused")
	}
	if changed {
		m.publish()
	}
	interval := m.common.Settings.Lease.Heartbeat.Std()
	self := m.common.Settings.Name
	for name, member := range m.board.Members.Load().ByName {
		if member.FailureDomain != m.common.Settings.FailureDomain || name == self {
			continue
		}
		if name > self || !member.Alive || member.Incarnation == "" {
			go m.beat(ctx, &member, interval)
		}
	}
}

// beatFar calls one host of another place, chosen at random.
func (m *MembersController) beatFar(ctx context.Context) {
	var others []blackboard.Member
	for _, member := range m.board.Members.Load().ByName {
		if member.FailureDomain != m.common.Settings.FailureDomain {
			others = append(others, member)
		}
	}
	if len(others) > 0 {
		go m.beat(ctx, &others[rand.IntN(len(others))], farTimeout)
	}
}

func (m *MembersController) beat(ctx context.Context, member *blackboard.Member, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	beatsSent.Inc()
	answer, err := peer.Call[peer.MembershipHeartbeat, peer.MembershipHeartbeat](ctx, m.client, member.Address, peer.MethodMembershipHeartbeat, m.own())
	if err != nil {
		beatsFailed.Inc()
		m.mu.Lock()
		changed := m.tracker.RecordMissedHeartbeat(member.Name)
		m.mu.Unlock()
		if changed {
			m.publish()
		}
		return
	}
	m.heard(answer)
	m.offered(ctx, answer)
}

// offered takes over what the peer has newer.
func (m *MembersController) offered(ctx context.Context, beat *peer.MembershipHeartbeat) {
	if beat.Address == "" {
		return
	}
	m.configuration.FetchIfNewer(ctx, beat.Address, beat.NextOffset)
	m.hosts.FetchIfNewer(ctx, beat.Address, beat.HostsVersion)
}

func (m *MembersController) serveBeat(_ context.Context, beat *peer.MembershipHeartbeat) (*peer.MembershipHeartbeat, error) {
	m.heard(beat)
	go m.offered(context.Background(), beat)
	return m.own(), nil
}

func (m *MembersController) heard(beat *peer.MembershipHeartbeat) {
	m.mu.Lock()
	changed := m.tracker.RecordHeartbeat(beat.Name, beat.Incarnation, beat.Leaving, m.common.Clock.Now())
	m.mu.Unlock()
	if changed {
		m.publish()
	}
}

func (m *MembersController) own() *peer.MembershipHeartbeat {
	return &peer.MembershipHeartbeat{
		Name:         m.common.Settings.Name,
		Incarnation:  m.common.Incarnation,
		Leaving:      m.board.Draining.Load(),
		NextOffset:   m.board.Configuration.Load().State.Next,
		HostsVersion: m.board.Hosts.Load().Version,
		Address:      m.board.Members.Load().ByName[m.common.Settings.Name].Address,
	}
}

// publish puts the view on the board and tells the observers.
func (m *MembersController) publish() {
	m.mu.Lock()
	m.board.Members.Store(m.tracker.Table())
	m.mu.Unlock()
	for _, observer := range m.observers {
		observer.MembersChanged()
	}
}
