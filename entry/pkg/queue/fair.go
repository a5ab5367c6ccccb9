package queue

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// quantum is the slot time that an owner of weight 1 earns in each round.
const quantum = 500 * time.Millisecond

// minCost is charged for tasks that are expected to take next to nothing.
const minCost = time.Millisecond

// Fair shares slot time between owners by weight with deficit round robin; within an owner urgent work goes first, and short work before long.
type Fair struct {
	owners map[string]*blackboard.Account
	shares map[string]*share
	ring   []*share // owners with waiting tasks
	next   int      // whose turn it is in the ring
	length int
	call   int // counts calls of Pop
}

// share is one owner's part of the queue.
type share struct {
	owner   string
	deficit time.Duration // slot time that it may start before it has to wait for its next turn
	classes [classes]class
	length  int
	place   int // in the ring, or -1
	tried   int // the last call of Pop in which nothing of the owner fitted
}

// NewFair returns an empty queue that takes weights and quotas from the owners.
func NewFair(owners map[string]*blackboard.Account) *Fair {
	return &Fair{owners: owners, shares: map[string]*share{}}
}

// Push adds a task.
func (f *Fair) Push(task *blackboard.Task) {
	owner := f.share(task.Job.Account)
	owner.classes[classOf(task)].push(task)
	owner.length++
	f.length++
	if owner.place < 0 {
		owner.place = len(f.ring)
		f.ring = append(f.ring, owner)
	}
}

// Remove takes a task out, and reports whether it was in the queue.
func (f *Fair) Remove(task *blackboard.Task) bool {
	waiting, ok := task.Node.(*node)
	if !ok {
		return false
	}
	waiting.lane.remove(waiting)
	f.removed(f.shares[task.Job.Account])
	return true
}

// Len returns how many tasks wait.
func (f *Fair) Len() int {
	return f.length
}

// Pop removes and returns the next task that fits, or nil; it asks about one task for each owner, class and shape of work at most.
func (f *Fair) Pop(fits func(task *blackboard.Task) bool) *blackboard.Task {
	f.call++
	for {
		if task := f.popRich(fits); task != nil {
			return task
		}
		if !f.replenish() {
			return nil
		}
	}
}

// popRich serves the owners that have deficit left, in turn.
func (f *Fair) popRich(fits func(task *blackboard.Task) bool) *blackboard.Task {
	for range len(f.ring) {
		owner := f.ring[f.next%len(f.ring)]
		if owner.deficit <= 0 || owner.tried == f.call {
			f.next = (f.next + 1) % len(f.ring)
			continue
		}
		task := f.popOwner(owner, fits)
		if task == nil {
			owner.tried = f.call
			f.next = (f.next + 1) % len(f.ring)
			continue
		}
		owner.deficit -= max(task.Cost, minCost)
		f.removed(owner)
		return task
	}
	return nil
}

// replenish grants the owners that ran out as many rounds as the first of them needs to have deficit again; it reports whether there was any.
func (f *Fair) replenish() bool {
	rounds := time.Duration(0)
	for _, owner := range f.ring {
		if owner.tried == f.call || owner.deficit > 0 {
			continue
		}
		needed := -owner.deficit/f.earned(owner) + 1
		if rounds == 0 || needed < rounds {
			rounds = needed
		}
	}
	if rounds == 0 {
		return false
	}
	for _, owner := range f.ring {
		owner.deficit = min(owner.deficit+rounds*f.earned(owner), max(owner.deficit, f.earned(owner)))
	}
	return true
}

// earned returns what an owner gets in one round.
func (f *Fair) earned(owner *share) time.Duration {
	weight := 1
	if known, ok := f.owners[owner.owner]; ok {
		weight = max(1, known.Weight)
	}
	return quantum * time.Duration(weight)
}

func (f *Fair) popOwner(owner *share, fits func(task *blackboard.Task) bool) *blackboard.Task {
	if known, ok := f.owners[owner.owner]; ok && known.MaxRun > 0 && known.Running >= known.MaxRun {
		return nil
	}
	if task := owner.popShortAndLong(urgentShort, urgentLong, fits); task != nil {
		return task
	}
	return owner.popShortAndLong(normalShort, normalLong, fits)
}

func (f *Fair) share(name string) *share {
	owner, ok := f.shares[name]
	if !ok {
		owner = &share{owner: name, place: -1}
		f.shares[name] = owner
	}
	return owner
}

// removed counts a task that left, and takes an owner without tasks out of the ring.
func (f *Fair) removed(owner *share) {
	f.length--
	owner.length--
	if owner.length > 0 {
		return
	}
	owner.deficit = min(owner.deficit, 0)
	last := len(f.ring) - 1
	f.ring[owner.place] = f.ring[last]
	f.ring[owner.place].place = owner.place
	f.ring[last] = nil
	f.ring = f.ring[:last]
	owner.place = -1
}

// Each shows every waiting task; those of one owner and class come in their order.
func (f *Fair) Each(visit func(task *blackboard.Task)) {
	for _, owner := range f.ring {
		for i := range owner.classes {
			owner.classes[i].each(visit)
		}
	}
}
