package cellhost

import (
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// silence is the time within which all calls to a host were unanswered and nothing was heard of it.
type silence struct {
	first, last time.Time // unanswered calls
}

// isLong reports whether the host is taken as gone.
func (s silence) isLong() bool {
	return s.last.Sub(s.first) >= forgetPeerAfter
}

// extendSilence records an unanswered call; the caller holds the lock.
func (m *MembersController) extendSilence(name string) {
	now := m.common.Clock.Now()
	known, ok := m.silences[name]
	if !ok {
		known.first = now
	}
	known.last = now
	m.silences[name] = known
}

// isGone reports whether the host counts for nothing any more, although it has a record; the caller holds the lock.
func (m *MembersController) isGone(name string) bool {
	return name != m.options.Name && m.silences[name].isLong()
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

// Gone returns the hosts whose records this host is to drop: those whose silence is long. One keeper of those that hear each
// other drops them; a live host whose record two sides of a cut disagree on writes it again.
func (m *MembersController) Gone() []string {
	view := m.board.View()
	if view.Gone == 0 || view.Isolated || !m.board.IsKeeper() || m.board.Draining.Load() {
		return nil
	}
	for name := range view.Hosts {
		state := view.Hosts[name]
		if name < m.options.Name && state.Alive && !state.Leaving && state.IsKeeper() {
			return nil
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var gone []string
	for name := range view.Hosts {
		if m.isGone(name) {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return gone
}
