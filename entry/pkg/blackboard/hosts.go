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

// HostTable is one reading of the host list; it is immutable once stored.
type HostTable struct {
	Version int64
	Read    time.Time // time of the platform's last answer
	ByName  map[string]platform.Host
}

// Load returns the last reading; it is never nil.
func (h *Hosts) Load() *HostTable {
	return h.current.Load()
}

// Store replaces the current reading.
func (h *Hosts) Store(table *HostTable) {
	h.current.Store(table)
}

// Members holds the entry hosts with the state that their heartbeats show.
type Members struct {
	current atomic.Pointer[MemberTable]
}

// Member is one entry host; the table includes this host.
type Member struct {
	Name          string
	Address       string // host:port of its peer listener
	FailureDomain string
	Size          int
	Incarnation   string // empty until its first heartbeat
	Alive         bool   // its heartbeats arrive
	Leaving       bool   // it is stopping, or the host list shows it as leaving
	LastSeen      time.Time
}

// MemberTable is one view of the membership; it is immutable once stored.
type MemberTable struct {
	ByName map[string]Member
}

// Load returns the current view; it is never nil.
func (m *Members) Load() *MemberTable {
	return m.current.Load()
}

// Store replaces the current view.
func (m *Members) Store(table *MemberTable) {
	m.current.Store(table)
}
