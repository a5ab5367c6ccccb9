package dispatch

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/platform"
)

// reserveAfter is how long a wide task waits before a back end is reserved for it.
const reserveAfter = time.Second

// reservedDivisor bounds the reserved back ends: at most one in 8 of a group's at once.
const reservedDivisor = 8

// searchInterval is the minimum time between searches of all back ends for one to reserve.
const searchInterval = 100 * time.Millisecond

// reserve holds the free slots of a back end for a wide task that narrower tasks would otherwise starve.
func (e *Engine) reserve(group *blackboard.Group, task *blackboard.Task, now time.Time) {
	if task.Target.Role != platform.RoleWorker || now.Sub(task.Queued) < reserveAfter {
		return
	}
	if e.reserved[task] != nil || len(e.reserved) >= max(1, len(group.Backends)/reservedDivisor) {
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
	if backend.Ejected || backend.IsClosed() || backend.GrantExpired(now) || backend.ReservedFor != nil {
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

// pickReserved returns the back end reserved for the task once it has enough free slots.
func (e *Engine) pickReserved(task *blackboard.Task, now time.Time) *blackboard.Backend {
	backend := e.reserved[task]
	if backend == nil || backend.Ejected || backend.Free(now) < backend.Width(task.Need) {
		return nil
	}
	return backend
}

// cancelReservation releases the back end reserved for the task.
func (e *Engine) cancelReservation(group *blackboard.Group, task *blackboard.Task) {
	backend, ok := e.reserved[task]
	if !ok {
		return
	}
	delete(e.reserved, task)
	backend.ReservedFor = nil
	e.policies.Placement.Update(group, backend)
}

// expireReservations releases reserved back ends that can no longer run their task.
func (e *Engine) expireReservations(now time.Time) {
	for task, backend := range e.reserved {
		if backend.Ejected || backend.IsClosed() || backend.GrantExpired(now) {
			e.cancelReservation(e.Group(task.Target.Group), task)
		}
	}
}
