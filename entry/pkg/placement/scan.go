package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// scan holds a group's back ends in name order; the baseline policies visit all of them for each pick.
type scan struct {
	groups map[*blackboard.Group][]*blackboard.Backend
}

func newScan() scan {
	return scan{groups: map[*blackboard.Group][]*blackboard.Backend{}}
}

// Update does nothing, because every pick visits every back end.
func (s scan) Update(*blackboard.Group, *blackboard.Backend) {}

// Sync rebuilds the group's list of back ends.
func (s scan) Sync(group *blackboard.Group) {
	list := make([]*blackboard.Backend, 0, len(group.Backends))
	for _, backend := range group.Backends {
		list = append(list, backend)
	}
	slices.SortFunc(list, func(one, other *blackboard.Backend) int { return strings.Compare(one.Name, other.Name) })
	s.groups[group] = list
}

// HasFreeSlots returns true, because only a pick checks back ends.
func (s scan) HasFreeSlots(*blackboard.Group) bool {
	return true
}

// usableBackends returns the back ends that can run the task now, in name order.
func (s scan) usableBackends(group *blackboard.Group, task *blackboard.Task, now time.Time) []*blackboard.Backend {
	if len(s.groups[group]) != len(group.Backends) {
		s.Sync(group)
	}
	var found []*blackboard.Backend
	for _, backend := range s.groups[group] {
		if task.Target.Allows(backend) && usable(backend, task, backend.Width(task.Need), now) {
			found = append(found, backend)
		}
	}
	return found
}

// Random picks a random usable back end; it is a baseline.
type Random struct {
	scan
	random *rand.Rand
}

// NewRandom returns a Random policy that draws from random.
func NewRandom(random *rand.Rand) *Random {
	return &Random{scan: newScan(), random: random}
}

// Pick returns a back end with enough free slots for the task, or nil.
func (r *Random) Pick(group *blackboard.Group, task *blackboard.Task, now time.Time) *blackboard.Backend {
	found := r.usableBackends(group, task, now)
	if len(found) == 0 {
		return nil
	}
	return found[r.random.IntN(len(found))]
}

// RoundRobin picks the usable back ends in turn; it is a baseline.
type RoundRobin struct {
	scan
	lastPicked map[*blackboard.Group]string
}

// NewRoundRobin returns a RoundRobin policy.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{scan: newScan(), lastPicked: map[*blackboard.Group]string{}}
}

// Pick returns the next back end in name order with enough free slots for the task, or nil.
func (r *RoundRobin) Pick(group *blackboard.Group, task *blackboard.Task, now time.Time) *blackboard.Backend {
	found := r.usableBackends(group, task, now)
	if len(found) == 0 {
		return nil
	}
	picked := found[0]
	for _, backend := range found {
		if backend.Name > r.lastPicked[group] {
			picked = backend
			break
		}
	}
	r.lastPicked[group] = picked.Name
	return picked
}

// LeastBusy picks the back end with the fewest busy slots of this host; it is a baseline.
type LeastBusy struct {
	scan
}

// NewLeastBusy returns a LeastBusy policy.
func NewLeastBusy() *LeastBusy {
	return &LeastBusy{scan: newScan()}
}

// Pick returns the least busy back end with enough free slots for the task, or nil.
func (l *LeastBusy) Pick(group *blackboard.Group, task *blackboard.Task, now time.Time) *blackboard.Backend {
	found := l.usableBackends(group, task, now)
	if len(found) == 0 {
		return nil
	}
	return slices.MinFunc(found, func(one, other *blackboard.Backend) int { return one.Busy - other.Busy })
}
