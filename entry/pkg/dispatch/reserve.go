package dispatch

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/platform"
)

// reservePatience is how long a wide task waits before a back end is kept free for it.
const reservePatience = time.Second

// reservedShare bounds how many of a group's back ends are kept free at once.
const reservedShare = 8

// searchInterval bounds how often all back ends are looked at for one to keep free.
const searchInterval = 100 * time.Millisecond

// reserve keeps the free slots of one back end for a task that narrower ones would starve.
func (e *Engine) reserve(group *blackboard.Group, task *blackboard.Task, now time.Time) {
	if task.Target.Role != platform.RoleWorker || now.Sub(task.Queued) < reservePatience {
		return
	}
	if e.reserved[task] != nil || len(e.reserved) >= max(1, len(group.Backends)/reservedShare) {
		return
	}
	if now.Sub(group.Searched) < searchInterval {
		return
	}
	group.Searched = now
	var best *blackboard.Backend
	for _, backend := range group.Backends {
		if !reservable(backend, task, now) {
			continue
		}
		if best == nil || lessBusy(backend, best) {
			best = backend
		}
	}
	if best == nil {
		return
	}
	best.ReservedFor = task
	reservationsTotal.Inc()
	e.reserved[task] = best
	e.policies.Placement.Update(group, best)
}

func reservable(backend *blackboard.Backend, task *blackboard.Task, now time.Time) bool {
	if backend.Ejected || backend.Leaving || backend.GrantExpired(now) || backend.ReservedFor != nil {
		return false
	}
	width := backend.Width(task.Need)
	return width > 1 && width <= backend.Granted && task.Target.Allows(backend)
}

func lessBusy(backend, other *blackboard.Backend) bool {
	if backend.Busy != other.Busy {
		return backend.Busy < other.Busy
	}
	return backend.Name < other.Name
}

// fitReserved returns the back end that is kept for the task, once it has room.
func (e *Engine) fitReserved(task *blackboard.Task, now time.Time) *blackboard.Backend {
	backend := e.reserved[task]
	if backend == nil || backend.Ejected || backend.Free(now) < backend.Width(task.Need) {
		return nil
	}
	return backend
}

// unreserve frees the back end that was kept for the task.
func (e *Engine) unreserve(group *blackboard.Group, task *blackboard.Task) {
	backend, ok := e.reserved[task]
	if !ok {
		return
	}
	delete(e.reserved, task)
	backend.ReservedFor = nil
	e.policies.Placement.Update(group, backend)
}

// expireReservations frees back ends that can no longer take the task that they are kept for.
func (e *Engine) expireReservations(now time.Time) {
	for task, backend := range e.reserved {
		if backend.Ejected || backend.Leaving || backend.GrantExpired(now) {
			e.unreserve(e.Group(task.Target.Group), task)
		}
	}
}
