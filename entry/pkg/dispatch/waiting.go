package dispatch

import (
	"math"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

func (e *Engine) classify(group *blackboard.Group, task *blackboard.Task) {
	e.policies.Estimator.Classify(task)
	task.Cost = slotTime(group, task)
}

// enqueue counts the task as waiting and queues it.
func (e *Engine) enqueue(group *blackboard.Group, task *blackboard.Task) {
	owner := e.board.Owners[task.Job.Owner]
	owner.Queued++
	backlog, ok := group.Backlogs[owner.Name]
	if !ok {
		backlog = &blackboard.Backlog{}
		group.Backlogs[owner.Name] = backlog
	}
	backlog.Weight = owner.Weight
	backlog.MaxRun = owner.MaxRun
	backlog.Add(task)
	group.Queue.Push(task)
}

// dequeued counts the task as no longer waiting.
func (e *Engine) dequeued(group *blackboard.Group, task *blackboard.Task) {
	owner := e.board.Owners[task.Job.Owner]
	owner.Queued--
	backlog := group.Backlogs[owner.Name]
	backlog.Subtract(task)
	if backlog.Tasks == 0 {
		delete(group.Backlogs, owner.Name)
	}
	e.unreserve(group, task)
}

// reclassify moves a waiting task to the class that was learnt since it was queued, and reports whether it did.
func (e *Engine) reclassify(group *blackboard.Group, task *blackboard.Task) bool {
	long, cost := task.Long, task.Cost
	e.policies.Estimator.Classify(task)
	if task.Long == long {
		return false
	}
	learnt := slotTime(group, task)
	backlog := group.Backlogs[task.Job.Owner]
	task.Long, task.Cost = long, cost
	backlog.Subtract(task)
	task.Long, task.Cost = !long, learnt
	backlog.Add(task)
	return true
}

// slotTime returns the expected run time for each slot that the task takes at a typical back end.
func slotTime(group *blackboard.Group, task *blackboard.Task) time.Duration {
	for _, shape := range group.Capacity.Shapes {
		if width := shape.Width(task.Need); width <= shape.Slots && task.Target.Allows(shape) {
			return task.Expected * time.Duration(width)
		}
	}
	return task.Expected
}

// summedAge is how old a group's summed capacity may grow.
const summedAge = 100 * time.Millisecond

// syncAge is how long the placement may rely on being told of changes.
const syncAge = time.Second

// refresh sums the group's capacity when the last sum is old.
func (e *Engine) refresh(group *blackboard.Group, now time.Time) {
	if now.Sub(group.Capacity.Summed) < summedAge && group.Capacity.Backends == len(group.Backends) {
		return
	}
	if now.Sub(group.Synced) >= syncAge || group.Capacity.Backends != len(group.Backends) {
		e.policies.Placement.Sync(group)
		group.Synced = now
	}
	group.Capacity = e.sum(group, now)
}

func (e *Engine) sum(group *blackboard.Group, now time.Time) blackboard.Capacity {
	capacity := blackboard.Capacity{Summed: now, Backends: len(group.Backends), Long: map[string]int{}}
	shapes := map[shape]bool{}
	for _, backend := range group.Backends {
		if backend.Leaving {
			continue
		}
		if key := shapeOf(backend); !shapes[key] {
			shapes[key] = true
			capacity.Shapes = append(capacity.Shapes, backend)
		}
		if backend.Ejected || backend.Lapsed(now) {
			continue
		}
		capacity.Slots += backend.Granted
		capacity.Long[backend.Place] += backend.Granted
		capacity.Rate += float64(backend.Granted) / slowness(backend)
	}
	for place, slots := range capacity.Long {
		capacity.Long[place] = max(1, int(math.Floor(float64(slots)*e.limits.Share)))
	}
	return capacity
}

func slowness(backend *blackboard.Backend) float64 {
	if backend.Slowness <= 0 {
		return 1
	}
	return backend.Slowness
}

type shape struct {
	place        string
	slots        int
	cores        float64
	memory       int64
	accelerators int
}

func shapeOf(backend *blackboard.Backend) shape {
	return shape{
		place:        backend.Place,
		slots:        backend.Slots,
		cores:        backend.Cores,
		memory:       backend.Memory,
		accelerators: backend.Accelerators,
	}
}
