package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// scan holds a group's back ends in order of name; the baselines look at all of them for each start.
type scan struct {
	groups map[*blackboard.Group][]*blackboard.Backend
}

func newScan() scan {
	return scan{groups: map[*blackboard.Group][]*blackboard.Backend{}}
}

// Update does nothing, for every pick looks at every back end.
func (s scan) Update(*blackboard.Group, *blackboard.Backend) {}

// Sync takes in which back ends the group has.
func (s scan) Sync(group *blackboard.Group) {
	list := make([]*blackboard.Backend, 0, len(group.Backends))
	for _, backend := range group.Backends {
		list = append(list, backend)
	}
	slices.SortFunc(list, func(one, other *blackboard.Backend) int { return strings.Compare(one.Name, other.Name) })
	s.groups[group] = list
}

// HasFreeSlots returns true, for nothing is known before a pick.
func (s scan) HasFreeSlots(*blackboard.Group) bool {
	return true
}

// usable returns the back ends with room for the task, in order of name.
func (s scan) usable(group *blackboard.Group, task *blackboard.Task, now time.Time) []*blackboard.Backend {
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

// Random takes any back end with room; it is a baseline.
type Random struct {
	scan
	random *rand.Rand
}

// NewRandom returns the policy.
func NewRandom(random *rand.Rand) *Random {
	return &Random{scan: newScan(), random: random}
}

// Pick returns a back end with room for the task, or nil.
func (r *Random) Pick(group *blackboard.Group, task *blackboard.Task, now time.Time) *blackboard.Backend {
	found := r.usable(group, task, now)
	if len(found) == 0 {
		return nil
	}
	return found[r.random.IntN(len(found))]
}

// RoundRobin takes the back ends with room in turn; it is a baseline.
type RoundRobin struct {
	scan
	last map[*blackboard.Group]string
}

// NewRoundRobin returns the policy.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{scan: newScan(), last: map[*blackboard.Group]string{}}
}

// Pick returns the next back end in order of name that has room for the task, or nil.
func (r *RoundRobin) Pick(group *blackboard.Group, task *blackboard.Task, now time.Time) *blackboard.Backend {
	found := r.usable(group, task, now)
	if len(found) == 0 {
		return nil
	}
	picked := found[0]
	for _, backend := range found {
		if backend.Name > r.last[group] {
			picked = backend
			break
		}
	}
	r.last[group] = picked.Name
	return picked
}

// LeastBusy takes the back end with the fewest tasks of this host; it is a baseline.
type LeastBusy struct {
	scan
}

// NewLeastBusy returns the policy.
func NewLeastBusy() *LeastBusy {
	return &LeastBusy{scan: newScan()}
}

// Pick returns the least busy back end with room for the task, or nil.
func (l *LeastBusy) Pick(group *blackboard.Group, task *blackboard.Task, now time.Time) *blackboard.Backend {
	found := l.usable(group, task, now)
	if len(found) == 0 {
		return nil
	}
	return slices.MinFunc(found, func(one, other *blackboard.Backend) int { return one.Busy - other.Busy })
}
