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
	// suspectIntervals is the number of heartbeat intervals without a heartbeat after which a host is suspected.
	suspectIntervals = 2.5
	// confirmHeartbeats is the number of heartbeats without a gap that a suspected host needs to recover.
	confirmHeartbeats = 3
	// remoteInterval is how often one random host of another failure domain is called.
	remoteInterval = time.Second
	// remoteTimeout bounds a call to another failure domain.
	remoteTimeout = 2 * time.Second
)

var (
	heartbeatsSent   = metrics.NewCounter(`chervilusher_heartbeats_total{end="sent"}`)
	heartbeatsFailed = metrics.NewCounter(`chervilusher_heartbeats_total{end="failed"}`)
	pausesTotal      = metrics.NewCounter(`chervilusher_own_pauses_total`)
)

// PeerReader fetches state from peers that have a newer version than this host.
type PeerReader interface {
	// FetchIfNewer fetches the state from the peer if the peer's version is newer.
	FetchIfNewer(ctx context.Context, address string, version int64)
}

// MemberObserver is notified when the view of the membership has changed.
type MemberObserver interface {
	MembersChanged()
}

// MembersController exchanges heartbeats with the other entry hosts and maintains the view of the membership.
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

// NewMembersController returns a controller and registers its method with the peer server.
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
			RecoveryHeartbeats: confirmHeartbeats,
		}),
	}
	peer.Handle(server, peer.MethodMembershipHeartbeat, controller.serveHeartbeat)
	return controller
}

// SetHostsReader sets the reader of peers' host lists; it must be called before Serve.
func (m *MembersController) SetHostsReader(hosts PeerReader) {
	m.hosts = hosts
}

// Observe adds an observer; it must be called before Serve.
func (m *MembersController) Observe(observer MemberObserver) {
	m.observers = append(m.observers, observer)
}

// HostsChanged updates the entry hosts from the host list.
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
	local := m.common.Clock.NewTicker(m.common.Settings.Lease.Heartbeat.Std())
	defer local.Stop()
	remote := m.common.Clock.NewTicker(remoteInterval)
	defer remote.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-local.Chan():
			m.sendLocalHeartbeats(ctx)
		case <-remote.Chan():
			m.sendRemoteHeartbeat(ctx)
		}
	}
}

// sendLocalHeartbeats calls the hosts of this failure domain whose name is higher, since one call serves both hosts,
// and the suspected and unknown ones, which may not know this host.
func (m *MembersController) sendLocalHeartbeats(ctx context.Context) {
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
			go m.sendHeartbeat(ctx, &member, interval)
		}
	}
}

// sendRemoteHeartbeat calls one host of another failure domain, chosen at random.
func (m *MembersController) sendRemoteHeartbeat(ctx context.Context) {
	var others []blackboard.Member
	for _, member := range m.board.Members.Load().ByName {
		if member.FailureDomain != m.common.Settings.FailureDomain {
			others = append(others, member)
		}
	}
	if len(others) > 0 {
		go m.sendHeartbeat(ctx, &others[rand.IntN(len(others))], remoteTimeout)
	}
}

func (m *MembersController) sendHeartbeat(ctx context.Context, member *blackboard.Member, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	heartbeatsSent.Inc()
	answer, err := peer.Call[peer.MembershipHeartbeat, peer.MembershipHeartbeat](ctx, m.client, member.Address, peer.MethodMembershipHeartbeat, m.ownHeartbeat())
	if err != nil {
		heartbeatsFailed.Inc()
		m.mu.Lock()
		changed := m.tracker.RecordMissedHeartbeat(member.Name)
		m.mu.Unlock()
		if changed {
			m.publish()
		}
		return
	}
	m.recordHeartbeat(answer)
	m.fetchNewer(ctx, answer)
}

// fetchNewer fetches the state of which the peer has a newer version.
func (m *MembersController) fetchNewer(ctx context.Context, heartbeat *peer.MembershipHeartbeat) {
	if heartbeat.Address == "" {
		return
	}
	m.configuration.FetchIfNewer(ctx, heartbeat.Address, heartbeat.NextOffset)
	m.hosts.FetchIfNewer(ctx, heartbeat.Address, heartbeat.HostsVersion)
}

func (m *MembersController) serveHeartbeat(_ context.Context, heartbeat *peer.MembershipHeartbeat) (*peer.MembershipHeartbeat, error) {
	m.recordHeartbeat(heartbeat)
	go m.fetchNewer(context.Background(), heartbeat)
	return m.ownHeartbeat(), nil
}

func (m *MembersController) recordHeartbeat(heartbeat *peer.MembershipHeartbeat) {
	m.mu.Lock()
	changed := m.tracker.RecordHeartbeat(heartbeat.Name, heartbeat.Incarnation, heartbeat.Leaving, m.common.Clock.Now())
	m.mu.Unlock()
	if changed {
		m.publish()
	}
}

func (m *MembersController) ownHeartbeat() *peer.MembershipHeartbeat {
	return &peer.MembershipHeartbeat{
		Name:         m.common.Settings.Name,
		Incarnation:  m.common.Incarnation,
		Leaving:      m.board.Draining.Load(),
		NextOffset:   m.board.Configuration.Load().State.Next,
		HostsVersion: m.board.Hosts.Load().Version,
		Address:      m.board.Members.Load().ByName[m.common.Settings.Name].Address,
	}
}

// publish stores the view on the board and notifies the observers.
func (m *MembersController) publish() {
	m.mu.Lock()
	m.board.Members.Store(m.tracker.Table())
	m.mu.Unlock()
	for _, observer := range m.observers {
		observer.MembersChanged()
	}
}
