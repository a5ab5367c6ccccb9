package cellhost

import (
	"context"
	"math/rand/v2"
	"syscall"

	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/peer"
)

func (m *MembersController) send(ctx context.Context, all bool) {
	for _, state := range m.heartbeatTargets(all) {
		go m.sendHeartbeat(ctx, state.Name, state.Address)
	}
}

// heartbeatTargets returns the hosts to call now: the heartbeat peers whose calls this host initiates, or all
// heartbeat peers, and at the slow interval one random other host.
func (m *MembersController) heartbeatTargets(all bool) []PeerState {
	view := m.board.View()
	evacuated := m.board.Evacuations().Covers(m.options.FailureDomain)
	slow := !all && (evacuated || m.ticks%int(slowHeartbeatInterval/DefaultHeartbeatInterval) == 0)
	m.mu.Lock()
	defer m.mu.Unlock()
	var targets, others []PeerState
	for name, state := range view.Hosts {
		switch {
		case name == m.options.Name:
		case !m.isHeartbeatPeer(&state.Member):
			others = append(others, state)
		case all || m.initiates(&state):
			targets = append(targets, state)
		}
	}
	if evacuated { // jobs go to the keepers of other failure domains, whose load is to be known
		others = m.preferKeepers(others)
	}
	switch {
	case len(others) > 0 && len(m.heartbeats) == 0 && m.seeksKeeper():
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		targets = append(targets, others[:min(len(others), maxStartupCalls)]...)
	case slow && len(others) > 0:
		targets = append(targets, others[rand.IntN(len(others))])
	}
	return targets
}

// preferKeepers returns the hosts that keep a cell or, if there is none, all of them.
func (m *MembersController) preferKeepers(hosts []PeerState) []PeerState {
	var keepers []PeerState
	for i := range hosts {
		if hosts[i].IsKeeper() || m.listedKeepers[hosts[i].Name] {
			keepers = append(keepers, hosts[i])
		}
	}
	if len(keepers) == 0 {
		return hosts
	}
	return keepers
}

// isHeartbeatPeer reports whether the host and this one exchange heartbeats at the full rate: mutual peers, and a keeper
// and the homes of its jobs, forwarded ones included. A host without a heartbeat for longer than forgetPeerAfter is called
// at the slow interval only. The caller holds the lock.
func (m *MembersController) isHeartbeatPeer(member *blackboard.Member) bool {
	if !member.Alive && m.common.Clock.Since(member.LastSeen) > forgetPeerAfter {
		return false
	}
	return m.jobHomes[member.Name] || m.isMutualPeer(member)
}

// isMutualPeer reports whether both hosts know that they are heartbeat peers: all hosts of a small fleet, and otherwise
// keepers with each other and with the hosts of their failure domain. The caller holds the lock.
func (m *MembersController) isMutualPeer(member *blackboard.Member) bool {
	if m.board.View().Size() <= fullMeshHosts {
		return true
	}
	self := len(m.board.Claims()) > 0
	other := m.listedKeepers[member.Name]
	if last, ok := m.heartbeats[member.Name]; ok && last.heartbeat.Incarnation == member.Incarnation {
		other = len(last.heartbeat.Claims) > 0
	}
	if member.FailureDomain == m.options.FailureDomain {
		return self || other || m.seeksKeeper()
	}
	return self && other
}

// seeksKeeper reports whether this host calls each host of its failure domain, as any of them may keep a cell: since its start
// it has heard no keeper there, and those that the records name may be gone. The caller holds the lock.
func (m *MembersController) seeksKeeper() bool {
	isNew := !m.hostsKnownSince.IsZero() && m.common.Clock.Since(m.hostsKnownSince) < forgetPeerAfter
	return isNew && !m.keeperHeard && m.board.View().DomainSize <= maxStartupHosts
}

// isStarting reports whether this host has just learnt of the hosts: once all are heard it need not wait for keepers any
// longer. The caller holds the lock.
func (m *MembersController) isStarting() bool {
	return m.board.View().DomainSize <= maxStartupHosts && !m.hostsKnownSince.IsZero() && m.common.Clock.Since(m.hostsKnownSince) < startDelay
}

// initiates reports whether this host calls the heartbeat peer. One call serves both ends, so one host of each pair
// calls, and both do when the other's calls are missing. A home elsewhere never calls, as it does not know of the pair.
func (m *MembersController) initiates(other *PeerState) bool {
	if !m.isMutualPeer(&other.Member) {
		return true
	}
	if m.options.Name < other.Name || !other.Alive || other.Incarnation == "" {
		return true
	}
	return m.common.Clock.Since(other.LastSeen) > 2*m.options.HeartbeatInterval
}

func (m *MembersController) sendHeartbeat(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, m.options.SuspectTimeout/2)
	defer cancel()
	heartbeatsSent.Inc()
	answer, err := peer.Call[peer.Heartbeat, peer.Heartbeat](ctx, m.client, address, peer.MethodHeartbeat, m.ownHeartbeat(name))
	if err != nil {
		heartbeatsFailed.Inc()
		m.handleMissed(name, err)
		m.common.Log.WithField("peer", name).WithError(err).Debug("heartbeat failed")
		return
	}
	m.handleHeartbeat(answer)
	m.queues.FetchIfNewer(ctx, address, answer.QueuesVersion)
}

// handleMissed records a heartbeat that was not answered; a refused connection proves that the host's process has
// ended.
func (m *MembersController) handleMissed(name string, err error) {
	if m.recordMissed(name, errors.Is(err, syscall.ECONNREFUSED)) {
		m.publish()
	}
}

// recordMissed reports whether the unanswered heartbeat changes the state of the host.
func (m *MembersController) recordMissed(name string, refused bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.extendSilence(name)
	if refused {
		m.refused[name] = true
		return m.tracker.RecordRefusedConnection(name)
	}
	return m.tracker.RecordMissedHeartbeat(name)
}
