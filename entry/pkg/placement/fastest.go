package placement

import (
	"container/list"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/platform"
)

// Fastest picks the back end with the lowest expected completion time among those with free slots.
type Fastest struct {
	groups map[*blackboard.Group]*index
}

// exploreInterval is the number of picks between two picks of the least recently picked back end.
const exploreInterval = 1024

// exploreAfter is how long a back end must be unused before it is explored.
const exploreAfter = 10 * time.Second

// NewFastest returns a Fastest policy without back ends.
func NewFastest() *Fastest {
	return &Fastest{groups: map[*blackboard.Group]*index{}}
}

// index orders a group's back ends by expected completion time.
type index struct {
	entries       map[*blackboard.Backend]*entry
	partitions    map[blackboard.Shape]*partition
	partitionList []*partition
	ejected       map[*entry]struct{}
	byLastPick    *list.List // entries, least recently picked first
	freeEntries   int        // number of entries in a partition's tree
	picks         int
}

// entry is a back end in the index.
type entry struct {
	backend     *blackboard.Backend
	partition   *partition
	key         float64 // expected run time relative to the typical one, including failures
	free        int     // free slots; zero if it is in no tree
	pickElement *list.Element
	pickedAt    time.Time // time of the last pick
}

// Pick returns the back end with the lowest expected completion time and enough free slots, or nil.
func (f *Fastest) Pick(group *blackboard.Group, task *blackboard.Task, now time.Time) *blackboard.Backend {
	index := f.indexOf(group)
	if probed := index.probeCandidate(task, now); probed != nil {
		return probed.backend
	}
	picked := index.exploreCandidate(group, task, now)
	if picked == nil {
		picked = index.fastest(group, task, now)
	}
	if picked == nil {
		return nil
	}
	picked.pickedAt = now
	index.byLastPick.MoveToBack(picked.pickElement)
	return picked.backend
}

// Update processes a change of a back end's free slots, state or speed.
func (f *Fastest) Update(group *blackboard.Group, backend *blackboard.Backend) {
	f.indexOf(group).update(group, backend)
}

// Sync processes all back ends of the group, including added and removed ones.
func (f *Fastest) Sync(group *blackboard.Group) {
	index := f.indexOf(group)
	for backend := range index.entries {
		if group.Backends[backend.Name] != backend {
			index.update(group, backend)
		}
	}
	for _, backend := range group.Backends {
		index.update(group, backend)
	}
}

// HasFreeSlots reports whether some back end may have a free slot; false is certain.
func (f *Fastest) HasFreeSlots(group *blackboard.Group) bool {
	index := f.indexOf(group)
	return index.freeEntries > 0 || len(index.ejected) > 0
}

func (f *Fastest) indexOf(group *blackboard.Group) *index {
	found, ok := f.groups[group]
	if !ok {
		found = &index{
			entries:    map[*blackboard.Backend]*entry{},
			partitions: map[blackboard.Shape]*partition{},
			ejected:    map[*entry]struct{}{},
			byLastPick: list.New(),
		}
		f.groups[group] = found
		for _, backend := range group.Backends {
			found.update(group, backend)
		}
	}
	return found
}

// update moves the back end to the tree or set that matches its state, or removes it if it left the group.
func (x *index) update(group *blackboard.Group, backend *blackboard.Backend) {
	found, ok := x.entries[backend]
	if !ok {
		found = &entry{backend: backend}
		found.pickElement = x.byLastPick.PushFront(found)
		x.entries[backend] = found
	}
	x.removeFree(found)
	if group.Backends[backend.Name] != backend {
		delete(x.entries, backend)
		x.byLastPick.Remove(found.pickElement)
		return
	}
	found.partition = x.partitionOf(backend)
	if backend.Ejected {
		x.ejected[found] = struct{}{}
		return
	}
	found.key = completionKey(backend)
	found.free = freeSlots(backend)
	if found.free > 0 {
		found.partition.add(found)
		x.freeEntries++
	}
}

func (x *index) removeFree(found *entry) {
	delete(x.ejected, found)
	if found.free > 0 {
		found.partition.remove(found)
		found.free = 0
		x.freeEntries--
	}
}

// freeSlots returns the free slots, assuming that the grant has not expired.
func freeSlots(backend *blackboard.Backend) int {
	if backend.IsClosed() || backend.ReservedFor != nil {
		return 0
	}
	return max(0, backend.Usable()-backend.Busy)
}

// fastest returns the entry with the lowest key and enough free slots for the task.
func (x *index) fastest(group *blackboard.Group, task *blackboard.Task, now time.Time) *entry {
	var best *entry
	var stale []*entry
	for _, partition := range x.partitionList {
		if !partition.allows(group, task) {
			continue
		}
		width := partition.width(task)
		found := partition.firstUsable(width, func(candidate *entry) bool {
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
	for _, expired := range stale {
		x.removeFree(expired)
	}
	return best
}

// usable reports whether the back end can run the task now.
func usable(backend *blackboard.Backend, task *blackboard.Task, width int, now time.Time) bool {
	if backend.Ejected || backend.ReservedFor != nil {
		return false
	}
	if backend == task.Avoid && now.Before(task.AvoidUntil) {
		return false
	}
	return backend.Free(now) >= width
}

// exploreCandidate periodically returns an entry unused for exploreAfter, so that a change of its speed is learnt.
func (x *index) exploreCandidate(group *blackboard.Group, task *blackboard.Task, now time.Time) *entry {
	if x.picks++; x.picks < exploreInterval || task.Long || task.Job.Urgent {
		return nil
	}
	x.picks = 0
	found := x.byLastPick.Front().Value.(*entry)
	if now.Sub(found.pickedAt) < exploreAfter || found.free == 0 || !found.partition.allows(group, task) {
		x.byLastPick.MoveToBack(found.pickElement)
		return nil
	}
	if !usable(found.backend, task, found.partition.width(task), now) {
		x.byLastPick.MoveToBack(found.pickElement)
		return nil
	}
	return found
}

// Delays after a probe is due: idempotent requests probe at once,
// work that a failed probe would lose probes only later.
const (
	probeNormalAfter = 10 * time.Second
	probeAnyAfter    = 30 * time.Second
)

// probeCandidate returns an ejected entry that the task may probe now, or nil.
func (x *index) probeCandidate(task *blackboard.Task, now time.Time) *entry {
	for found := range x.ejected {
		backend := found.backend
		if backend.Probing || backend.Busy > 0 || now.Before(backend.NextProbe) || !mayProbe(task, now.Sub(backend.NextProbe)) {
			continue
		}
		if !task.Target.Allows(backend) || backend.Free(now) < backend.Width(task.Need) {
			continue
		}
		return found
	}
	return nil
}

// mayProbe reports whether the task may be risked on a probe that is overdue by the given time.
func mayProbe(task *blackboard.Task, overdue time.Duration) bool {
	if task.Tries > 0 || task.Long {
		return false
	}
	if task.Job.Idempotent {
		return true
	}
	if overdue >= probeAnyAfter {
		return true
	}
	return overdue >= probeNormalAfter && !task.Job.Urgent && len(task.Job.Tasks) == 1
}

func (x *index) partitionOf(backend *blackboard.Backend) *partition {
	key := backend.Shape()
	found, ok := x.partitions[key]
	if !ok {
		found = newPartition(key, backend.Role == platform.RoleWorker)
		x.partitions[key] = found
		x.partitionList = append(x.partitionList, found)
	}
	return found
}
