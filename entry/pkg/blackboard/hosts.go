package blackboard

import (
	"sync/atomic"
	"time"

	"chervilusher.dev/lib/platform"
)

// Hosts holds the platform's host list as last read.
type Hosts struct {
	current atomic.Pointer[HostTable]
}

// HostTable is one reading of the host list; it is not changed after it was stored.
type HostTable struct {
	Version int64
	Read    time.Time // when the platform last answered
	ByName  map[string]platform.Host
}

// Load returns the last reading, never nil.
func (h *Hosts) Load() *HostTable {
	return h.current.Load()
}

// Store replaces the reading.
func (h *Hosts) Store(table *HostTable) {
	h.current.Store(table)
}

// Members holds the entry hosts as the heartbeats show them.
type Members struct {
	current atomic.Pointer[MemberTable]
}

// Member is one entry host, this one among them.
type Member struct {
	Name          string
	Address       string // of its peer listener, host:port
	FailureDomain string
	Size          int
	Incarnation   string // empty until it was heard
	Alive         bool   // its heartbeats arrive
	Leaving       bool   // it is stopping or the host list shows it as leaving
	LastSeen      time.Time
}

// MemberTable is one view of the membership; it is not changed after it was stored.
type MemberTable struct {
	ByName map[string]Member
}

// Load returns the current view, never nil.
func (m *Members) Load() *MemberTable {
	return m.current.Load()
}

// Store replaces the view.
func (m *Members) Store(table *MemberTable) {
	m.current.Store(table)
}
