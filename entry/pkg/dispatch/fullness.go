package dispatch

import (
	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/api"
)

// fullness remembers within one look at the queue that there is no room for plain work, so that not every owner's work is tried.
type fullness struct {
	long  bool
	short bool
}

func (f *fullness) excludes(task *blackboard.Task) bool {
	return f.short || (f.long && task.Long)
}

// note takes in that a task did not fit; only one without needs tells about others.
func (f *fullness) note(task *blackboard.Task) {
	if task.Avoid != nil || task.Need != (api.Need{}) || len(task.Target.FailureDomains) > 0 {
		return
	}
	f.long = true
	f.short = f.short || !task.Long
}
