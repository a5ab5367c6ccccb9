package placement

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// Fastest takes the back end with the lowest expected run time.
type Fastest struct{}

// NewFastest returns the policy.
func NewFastest() *Fastest {
	return &Fastest{}
}

// Pick returns the least slow back end with room for the task, or nil.
func (f *Fastest) Pick(group *blackboard.Group, task *blackboard.Task, now time.Time) *blackboard.Backend {
	var best *blackboard.Backend
	for _, backend := range group.Backends {
		if !usable(backend, task, now) {
			continue
		}
		if best == nil || backend.Slowness < best.Slowness || (backend.Slowness == best.Slowness && backend.Name < best.Name) {
			best = backend
		}
	}
	return best
}

func usable(backend *blackboard.Backend, task *blackboard.Task, now time.Time) bool {
	if backend.Ejected || backend == task.Avoid || !task.Target.Allows(backend) {
		return false
	}
	return backend.Free(now) >= backend.Width(task.Need)
}
