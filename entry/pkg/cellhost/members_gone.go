package cellhost

import (
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

const (
	// minSilentCalls is how many calls in a row a host leaves unanswered before it is taken as gone: hosts that are no heartbeat
	// peers are called rarely, and two calls far apart may both miss a live one.
	minSilentCalls = 5
	// forgetDomainAfter replaces forgetPeerAfter for dropping the records of a failure domain of which no host is heard: a
	// longer cut shows the same.
	forgetDomainAfter = 3 * forgetPeerAfter
)

// silence is the time within which all calls to a host were unanswered and nothing was heard of it.
type silence struct {
	first, last time.Time // unanswered calls
	calls       int
}

// isLong reports whether the silence is long enough to take the host as gone.
func (s silence) isLong(length time.Duration) bool {
	return s.calls >= minSilentCalls && s.last.Sub(s.first) >= length
}

// extendSilence records an unanswered call; the caller holds the lock.
func (m *MembersController) extendSilence(name string) {
	now := m.common.Clock.Now()
	known, ok := m.silences[name]
	if !ok {
		known.first = now
	}
	known.last = now
	known.calls++
	m.silences[name] = known
}

// isGone reports whether the host counts for nothing any more, although it has a record; the caller holds the lock.
func (m *MembersController) isGone(name string) bool {
	return name != m.options.Name && m.silences[name].isLong(forgetPeerAfter)
}

// HostWritten takes a record that was just written as a sign that its host lives.
func (m *MembersController) HostWritten(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.silences, name)
}

// endSilences forgets unanswered calls, as the silence may have been that of this process.
func (m *MembersController) endSilences() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.silences)
}

// forgetUnlisted forgets the silences of hosts that have no record any more; the caller holds the lock.
func (m *MembersController) forgetUnlisted(hosts []blackboard.Member) {
	listed := make(map[string]bool, len(hosts))
	for i := range hosts {
		listed[hosts[i].Name] = true
	}
	for name := range m.silences {
		if !listed[name] {
			delete(m.silences, name)
		}
	}
}

// Gone returns the hosts whose records this host is to drop: those whose silence is long, unless no other host is heard. One
// keeper of those that hear each other drops them; a live host whose record two sides of a cut disagree on writes it again.
func (m *MembersController) Gone() []string {
	view := m.board.View()
	if view.Gone == 0 || view.Isolated || !m.board.IsKeeper() || m.board.Draining.Load() {
		return nil
	}
	heard := map[string]bool{} // failure domains of which another host is heard
	for name := range view.Hosts {
		state := view.Hosts[name]
		if name == m.options.Name || !state.Alive || state.Incarnation == "" {
			continue
		}
		if name < m.options.Name && !state.Leaving && state.IsKeeper() {
			return nil
		}
		heard[state.FailureDomain] = true
	}
	if len(heard) == 0 {
		return nil
	}
	heard[m.options.FailureDomain] = true
	m.mu.Lock()
	defer m.mu.Unlock()
	var gone []string
	for name := range view.Hosts {
		length := forgetPeerAfter
		if !heard[view.Hosts[name].FailureDomain] {
			length = forgetDomainAfter
		}
		if name != m.options.Name && m.silences[name].isLong(length) {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return gone
}
