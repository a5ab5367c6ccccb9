package cellhost

import (
	"time"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// firstHeartbeats is how long a host is told all counts of crashes after it was first heard: some ten heartbeats, of
// which most may be lost.
const firstHeartbeats = time.Second

// CrashExchange holds what hosts tell each other of tasks whose workers have crashed: the counts of crashes, and the tasks
// that such a worker may start late.
type CrashExchange interface {
	RecentCrashes() []cell.CrashCount
	KnownCrashes() []cell.CrashCount
	MergeCrashes(counts []cell.CrashCount)
	RecentLateStarts() []cell.LateStart
	KnownLateStarts() []cell.LateStart
	MergeLateStarts(starts []cell.LateStart)
	StartsReportedUntil() int64
	HandleStartsReported(sender cell.Sender, until int64)
}

// SetCrashes sets the holder of the counts; it must be called before Serve.
func (m *MembersController) SetCrashes(crashes CrashExchange) {
	m.crashes = crashes
}

// mergeCrashes merges the crashes and late starts of a heartbeat.
func (m *MembersController) mergeCrashes(heartbeat *peer.Heartbeat) {
	if m.crashes == nil {
		return
	}
	if len(heartbeat.Crashes) > 0 {
		m.crashes.MergeCrashes(heartbeat.Crashes)
	}
	if len(heartbeat.LateStarts) > 0 {
		m.crashes.MergeLateStarts(heartbeat.LateStarts)
	}
	if heartbeat.StartsReportedUntil != 0 {
		m.crashes.HandleStartsReported(cell.Sender{Host: heartbeat.Name, Incarnation: heartbeat.Incarnation}, heartbeat.StartsReportedUntil)
	}
}

// crashesFor returns what the named host may not know yet.
func (m *MembersController) crashesFor(receiver string) ([]cell.CrashCount, []cell.LateStart) {
	m.mu.Lock()
	last, heard := m.heartbeats[receiver]
	m.mu.Unlock()
	if heard && m.common.Clock.Since(last.firstAt) < firstHeartbeats {
		return m.crashes.KnownCrashes(), m.crashes.KnownLateStarts()
	}
	return m.crashes.RecentCrashes(), m.crashes.RecentLateStarts()
}
