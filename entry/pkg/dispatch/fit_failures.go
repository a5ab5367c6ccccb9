package dispatch

import (
	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/api"
)

// fitFailures records during one pass over the queue that plain tasks find no slot,
// so that not every client account's tasks are tried.
type fitFailures struct {
	long  bool
	short bool
}

func (failures *fitFailures) rulesOut(task *blackboard.Task) bool {
	return failures.short || (failures.long && task.Long)
}

// record notes that a task did not fit; only a task without requirements says anything about other tasks.
func (failures *fitFailures) record(task *blackboard.Task) {
	if task.Avoid != nil || task.Need != (api.Need{}) || len(task.Target.FailureDomains) > 0 {
		return
	}
	failures.long = true
	failures.short = failures.short || !task.Long
}
