package membership

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// Options configure a Tracker.
type Options struct {
	Self               string
	FailureDomain      string
	HeartbeatInterval  time.Duration // between heartbeats
	SuspectTimeout     time.Duration // a heartbeat peer that was not heard for this long is not alive
	RecoveryHeartbeats int           // heartbeats without a gap until a suspected host is alive again
	// IsHeartbeatPeer selects the hosts that are suspected when their heartbeats are missing; nil selects those of
	// the same failure domain.
	IsHeartbeatPeer func(member *blackboard.Member) bool
	// KeepHeard keeps a host that the list does not name any more while it is heard and does not leave: a record may be lost.
	KeepHeard bool
}

// Tracker tracks the state of each entry host of the host list from its heartbeats.
type Tracker struct {
	options Options
	members map[string]*memberState
	ticked  time.Time
}

type memberState struct {
	member          blackboard.Member
	listedLeaving   bool   // by the host list
	reportedLeaving bool   // by itself
	streak          int    // heartbeats without a gap
	retired         string // the incarnation before the present one
	heartbeatPeer   bool   // at the last tick
	unlisted        bool   // kept because it is heard
}

// New returns a tracker without hosts.
func New(options Options) *Tracker {
	return &Tracker{options: options, members: map[string]*memberState{}}
}

// SetHosts sets the entry hosts of the host list; a new host counts as alive until it is suspected.
func (t *Tracker) SetHosts(hosts []blackboard.Member, now time.Time) {
	known := t.members
	t.members = make(map[string]*memberState, len(hosts))
	for _, host := range hosts {
		entry, ok := known[host.Name]
		if !ok {
			entry = &memberState{member: host}
			entry.member.Alive = true
			entry.member.LastSeen = now
			entry.heartbeatPeer = t.isHeartbeatPeer(&host)
		}
		entry.member.Name = host.Name
		entry.member.Address = host.Address
		entry.member.FailureDomain = host.FailureDomain
		entry.member.Size = host.Size
		entry.unlisted = false
		entry.listedLeaving = host.Leaving
		entry.member.Leaving = entry.listedLeaving || entry.reportedLeaving
		t.members[host.Name] = entry
	}
	for name, entry := range known {
		if _, listed := t.members[name]; !listed && t.options.KeepHeard && t.isHeard(entry, now) {
			entry.unlisted = true
			t.members[name] = entry
		}
	}
}

// isHeard reports whether the host was heard within the suspect timeout and does not leave.
func (t *Tracker) isHeard(entry *memberState, now time.Time) bool {
	member := &entry.member
	return member.Alive && !member.Leaving && member.Incarnation != "" && now.Sub(member.LastSeen) <= t.options.SuspectTimeout
}

// RecordHeartbeat processes a heartbeat and reports whether the view has changed.
func (t *Tracker) RecordHeartbeat(name, incarnation string, leaving bool, now time.Time) bool {
	entry, ok := t.members[name]
	if !ok || incarnation == entry.retired {
		return false
	}
	before := entry.member
	if entry.member.Incarnation != incarnation {
		entry.retired = entry.member.Incarnation
		entry.member.Incarnation = incarnation
		entry.streak = 0
	}
	if now.Sub(entry.member.LastSeen) > 2*t.options.HeartbeatInterval {
		entry.streak = 0
	}
	entry.streak++
	entry.member.LastSeen = now
	entry.reportedLeaving = leaving
	entry.member.Leaving = entry.listedLeaving || entry.reportedLeaving
	if entry.streak >= t.options.RecoveryHeartbeats || !t.isHeartbeatPeer(&entry.member) {
		entry.member.Alive = true
	}
	return changed(&before, &entry.member)
}

// RecordMissedHeartbeat marks a host that is not a heartbeat peer as not alive after an unanswered call, and reports
// whether the view has changed.
func (t *Tracker) RecordMissedHeartbeat(name string) bool {
	entry, ok := t.members[name]
	if !ok || t.isHeartbeatPeer(&entry.member) || !entry.member.Alive {
		return false
	}
	entry.member.Alive = false
	return true
}

// RecordRefusedConnection marks a host as not alive because no process listens at its address, and reports whether
// the view has changed.
func (t *Tracker) RecordRefusedConnection(name string) bool {
	entry, ok := t.members[name]
	if !ok || !entry.member.Alive {
		return false
	}
	entry.member.Alive = false
	entry.streak = 0
	return true
}

// Tick suspects heartbeat peers whose heartbeats are missing and reports whether the view has changed; a pause of
// this process does not count as their silence.
func (t *Tracker) Tick(now time.Time) (changed, paused bool) {
	if gap := now.Sub(t.ticked); !t.ticked.IsZero() && gap > t.options.SuspectTimeout/2 {
		paused = true
		for _, entry := range t.members {
			entry.member.LastSeen = entry.member.LastSeen.Add(gap)
		}
	}
	t.ticked = now
	for name, entry := range t.members {
		if entry.unlisted && !t.isHeard(entry, now) {
			delete(t.members, name)
			changed = true
			continue
		}
		wasNear := entry.heartbeatPeer
		entry.heartbeatPeer = t.isHeartbeatPeer(&entry.member)
		if entry.heartbeatPeer && !wasNear {
			entry.member.LastSeen = now // its heartbeats came at another interval before
		}
		if name == t.options.Self || !entry.heartbeatPeer || !entry.member.Alive {
			continue
		}
		if now.Sub(entry.member.LastSeen) > t.options.SuspectTimeout {
			entry.member.Alive = false
			entry.streak = 0
			changed = true
		}
	}
	return changed, paused
}

// Table returns the current view.
func (t *Tracker) Table() *blackboard.MemberTable {
	table := &blackboard.MemberTable{ByName: make(map[string]blackboard.Member, len(t.members))}
	for name, entry := range t.members {
		member := entry.member
		if name == t.options.Self {
			member.Alive = true
		}
		table.ByName[name] = member
	}
	return table
}

func changed(before, after *blackboard.Member) bool {
	return before.Alive != after.Alive || before.Leaving != after.Leaving || before.Incarnation != after.Incarnation
}

// isHeartbeatPeer reports whether the host sends heartbeats often enough to be suspected when they are missing.
func (t *Tracker) isHeartbeatPeer(member *blackboard.Member) bool {
	if t.options.IsHeartbeatPeer != nil {
		return t.options.IsHeartbeatPeer(member)
	}
	return member.FailureDomain == t.options.FailureDomain
}
