package membership

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// Options tune a tracker.
type Options struct {
	Self               string
	FailureDomain      string
	HeartbeatInterval  time.Duration // between heartbeats
	SuspectTimeout     time.Duration // a host of the same place that was silent for this long is not alive
	RecoveryHeartbeats int           // heartbeats without a gap until a suspected host is alive again
	// IsHeartbeatPeer tells the hosts whose silence counts; nil means those of the same place.
	IsHeartbeatPeer func(member *blackboard.Member) bool
}

// Tracker holds what the heartbeats tell of each entry host of the host list.
type Tracker struct {
	options Options
	members map[string]*tracked
	ticked  time.Time
}

type tracked struct {
	member  blackboard.Member
	listed  bool // as leaving, by the host list
	told    bool // as leaving, by itself
	streak  int  // heartbeats without a gap
	retired string
	near    bool // at the last tick
}

// New returns a tracker that knows no hosts.
func New(options Options) *Tracker {
	return &Tracker{options: options, members: map[string]*tracked{}}
}

// SetHosts takes over the entry hosts of the host list; a new host counts as alive until it was silent for too long.
func (t *Tracker) SetHosts(hosts []blackboard.Member, now time.Time) {
	known := t.members
	t.members = make(map[string]*tracked, len(hosts))
	for _, host := range hosts {
		entry, ok := known[host.Name]
		if !ok {
			entry = &tracked{member: host}
			entry.member.Alive = true
			entry.member.LastSeen = now
			entry.near = t.near(&host)
		}
		entry.member.Name = host.Name
		entry.member.Address = host.Address
		entry.member.FailureDomain = host.FailureDomain
		entry.member.Size = host.Size
		entry.listed = host.Leaving
		entry.member.Leaving = entry.listed || entry.told
		t.members[host.Name] = entry
	}
}

// RecordHeartbeat takes in a heartbeat and reports whether the view has changed.
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
	entry.told = leaving
	entry.member.Leaving = entry.listed || entry.told
	if entry.streak >= t.options.RecoveryHeartbeats || !t.near(&entry.member) {
		entry.member.Alive = true
	}
	return changed(&before, &entry.member)
}

// RecordMissedHeartbeat takes in that a host of another place did not answer, and reports whether the view has changed.
func (t *Tracker) RecordMissedHeartbeat(name string) bool {
	entry, ok := t.members[name]
	if !ok || t.near(&entry.member) || !entry.member.Alive {
		return false
	}
	entry.member.Alive = false
	return true
}

// RecordRefusedConnection takes in that no process listens at the host's address, and reports whether the view has changed.
func (t *Tracker) RecordRefusedConnection(name string) bool {
	entry, ok := t.members[name]
	if !ok || !entry.member.Alive {
		return false
	}
	entry.member.Alive = false
	entry.streak = 0
	return true
}

// Tick suspects the silent hosts of this place and reports whether the view has changed; a pause of this process is not held against them.
func (t *Tracker) Tick(now time.Time) (changed, paused bool) {
	if gap := now.Sub(t.ticked); !t.ticked.IsZero() && gap > t.options.SuspectTimeout/2 {
		paused = true
		for _, entry := range t.members {
			entry.member.LastSeen = entry.member.LastSeen.Add(gap)
		}
	}
	t.ticked = now
	for name, entry := range t.members {
		wasNear := entry.near
		entry.near = t.near(&entry.member)
		if entry.near && !wasNear {
			entry.member.LastSeen = now // its heartbeats came at another pace before
		}
		if name == t.options.Self || !entry.near || !entry.member.Alive {
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

// Table returns the present view.
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

// near reports whether the host sends heartbeats often enough that its silence tells.
func (t *Tracker) near(member *blackboard.Member) bool {
	if t.options.IsHeartbeatPeer != nil {
		return t.options.IsHeartbeatPeer(member)
	}
	return member.FailureDomain == t.options.FailureDomain
}
