package placement

import (
	"container/list"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/platform"
)

// Fastest takes the back end with the lowest expected completion time among those with room.
type Fastest struct {
	groups map[*blackboard.Group]*index
}

// exploreEvery is how many picks go by before one goes to the back end that was used longest ago.
const exploreEvery = 1024

// exploreAge is how long a back end stays unused before it is worth an exploring start.
const exploreAge = 10 * time.Second

// NewFastest returns the policy.
func NewFastest() *Fastest {
	return &Fastest{groups: map[*blackboard.Group]*index{}}
}

// index holds a group's back ends in order of expected completion time.
type index struct {
	entries    map[*blackboard.Backend]*entry
	partitions map[blackboard.Shape]*partition
	list       []*partition
	ejected    map[*entry]struct{}
	used       *list.List // entries, the one used longest ago first
	room       int        // entries that stand in a tree
	picks      int
}

// entry is a back end as it stands in the index.
type entry struct {
	backend   *blackboard.Backend
	partition *partition
	key       float64 // expected run time against the usual, failures counted in
	free      int     // slots; zero when it stands in no tree
	used      *list.Element
	at        time.Time // when it was last picked
}

// Pick returns the back end with the lowest expected completion time that has room for the task, or nil.
func (f *Fastest) Pick(group *blackboard.Group, task *blackboard.Task, now time.Time) *blackboard.Backend {
	index := f.index(group)
	if probed := index.probe(task, now); probed != nil {
		return probed.backend
	}
	picked := index.exploring(group, task, now)
	if picked == nil {
		picked = index.fastest(group, task, now)
	}
	if picked == nil {
		return nil
	}
	picked.at = now
	index.used.MoveToBack(picked.used)
	return picked.backend
}

// Update takes in that the room, the state or the speed of a back end has changed.
func (f *Fastest) Update(group *blackboard.Group, backend *blackboard.Backend) {
	f.index(group).update(group, backend)
}

// Sync takes in every back end of the group, those added and removed among them.
func (f *Fastest) Sync(group *blackboard.Group) {
	index := f.index(group)
	for backend := range index.entries {
		if group.Backends[backend.Name] != backend {
			index.update(group, backend)
		}
	}
	for _, backend := range group.Backends {
		index.update(group, backend)
	}
}

// HasFreeSlots reports whether some back end may have room; false is certain.
func (f *Fastest) HasFreeSlots(group *blackboard.Group) bool {
	index := f.index(group)
	return index.room > 0 || len(index.ejected) > 0
}

func (f *Fastest) index(group *blackboard.Group) *index {
	found, ok := f.groups[group]
	if !ok {
		found = &index{
			entries:    map[*blackboard.Backend]*entry{},
			partitions: map[blackboard.Shape]*partition{},
			ejected:    map[*entry]struct{}{},
			used:       list.New(),
		}
		f.groups[group] = found
		for _, backend := range group.Backends {
			found.update(group, backend)
		}
	}
	return found
}

// update puts the back end where its state says.
func (x *index) update(group *blackboard.Group, backend *blackboard.Backend) {
	found, ok := x.entries[backend]
	if !ok {
		found = &entry{backend: backend}
		found.used = x.used.PushFront(found)
		x.entries[backend] = found
	}
	x.leave(found)
	if group.Backends[backend.Name] != backend {
		delete(x.entries, backend)
		x.used.Remove(found.used)
		return
	}
	found.partition = x.partition(backend)
	if backend.Ejected {
		x.ejected[found] = struct{}{}
		return
	}
	found.key = keyOf(backend)
	found.free = room(backend)
	if found.free > 0 {
		found.partition.add(found)
		x.room++
	}
}

func (x *index) leave(found *entry) {
	delete(x.ejected, found)
	if found.free > 0 {
		found.partition.remove(found)
		found.free = 0
		x.room--
	}
}

// room returns how many slots are free while the grant holds.
func room(backend *blackboard.Backend) int {
	if backend.Leaving || backend.ReservedFor != nil {
		return 0
	}
	granted := backend.Granted
	if backend.RecoveryLimit > 0 {
		granted = min(granted, backend.RecoveryLimit)
	}
	return max(0, granted-backend.Busy)
}

// fastest returns the entry with the lowest key that has room for the task.
func (x *index) fastest(group *blackboard.Group, task *blackboard.Task, now time.Time) *entry {
	var best *entry
	var stale []*entry
	for _, partition := range x.list {
		if !partition.allows(group, task) {
			continue
		}
		width := partition.width(task)
		found := partition.first(width, func(candidate *entry) bool {
			if candidate.backend.Free(now) == 0 {
				stale = append(stale, candidate)
				return false
			}
			return usable(candidate.backend, task, width, now)
		})
		if found != nil && (best == nil || lessEntry(found, best)) {
			best = found
		}
	}
	for _, lapsed := range stale {
		x.leave(lapsed)
	}
	return best
}

// usable reports whether the back end has room for the task now.
func usable(backend *blackboard.Backend, task *blackboard.Task, width int, now time.Time) bool {
	if backend.Ejected || backend.ReservedFor != nil {
		return false
	}
	if backend == task.Avoid && now.Before(task.AvoidUntil) {
		return false
	}
	return backend.Free(now) >= width
}

// exploring returns, at long intervals, an entry that was not used for long, so that a change of its speed is learnt.
func (x *index) exploring(group *blackboard.Group, task *blackboard.Task, now time.Time) *entry {
	if x.picks++; x.picks < exploreEvery || task.Long || task.Job.Urgent {
		return nil
	}
	x.picks = 0
	found := x.used.Front().Value.(*entry)
	if now.Sub(found.at) < exploreAge || found.free == 0 || !found.partition.allows(group, task) {
		x.used.MoveToBack(found.used)
		return nil
	}
	if !usable(found.backend, task, found.partition.width(task), now) {
		x.used.MoveToBack(found.used)
		return nil
	}
	return found
}

// Waits after a probe is due: idempotent requests probe at once, work that would be lost with a failed probe only later.
const (
	probeAnyNormal = 10 * time.Second
	probeAny       = 30 * time.Second
)

// probe returns an ejected entry that the task may probe now.
func (x *index) probe(task *blackboard.Task, now time.Time) *entry {
	for found := range x.ejected {
		backend := found.backend
		if backend.Probing || backend.Busy > 0 || now.Before(backend.NextProbe) || !mayRisk(task, now.Sub(backend.NextProbe)) {
			continue
		}
		if !task.Target.Allows(backend) || backend.Free(now) < backend.Width(task.Need) {
			continue
		}
		return found
	}
	return nil
}

// mayRisk reports whether a task may be spent on a probe that has been due for that long.
func mayRisk(task *blackboard.Task, overdue time.Duration) bool {
	if task.Tries > 0 || task.Long {
		return false
	}
	if task.Job.Idempotent {
		return true
	}
	if overdue >= probeAny {
		return true
	}
	return overdue >= probeAnyNormal && !task.Job.Urgent && len(task.Job.Tasks) == 1
}

func (x *index) partition(backend *blackboard.Backend) *partition {
	key := backend.Shape()
	found, ok := x.partitions[key]
	if !ok {
		found = newPartition(key, backend.Role == platform.RoleWorker)
		x.partitions[key] = found
		x.list = append(x.list, found)
	}
	return found
}
