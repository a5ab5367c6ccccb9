package cellhost

import (
	"time"

	"chervilusher.dev/entry/pkg/cell"
)

// firstHeartbeats is how long a host is told all counts of crashes after it was first heard: some ten heartbeats, of
// which most may be lost.
const firstHeartbeats = time.Second

// CrashExchange holds the counts of crashes under tasks, which hosts exchange.
type CrashExchange interface {
	RecentCrashes() []cell.CrashCount
	KnownCrashes() []cell.CrashCount
	MergeCrashes(counts []cell.CrashCount)
}

// SetCrashes sets the holder of the counts; it must be called before Serve.
func (m *MembersController) SetCrashes(crashes CrashExchange) {
	m.crashes = crashes
}

// crashesFor returns the counts that the named host may not know yet.
func (m *MembersController) crashesFor(receiver string) []cell.CrashCount {
	m.mu.Lock()
	last, heard := m.heartbeats[receiver]
	m.mu.Unlock()
	if heard && m.common.Clock.Since(last.firstAt) < firstHeartbeats {
		return m.crashes.KnownCrashes()
	}
	return m.crashes.RecentCrashes()
}
