package dispatch

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/invariant"
)

// startRecord is one start of a task that did not count as long.
type startRecord struct {
	task  *blackboard.Task
	tries int
	at    time.Time
}

// startQueue holds starts in their order, the oldest first.
type startQueue struct {
	records []startRecord
	head    int
}

func (q *startQueue) push(task *blackboard.Task) {
	q.records = append(q.records, startRecord{task: task, tries: task.Tries, at: task.Started})
}

// pop removes and returns the oldest start if it is at least that old.
func (q *startQueue) pop(before time.Time) (startRecord, bool) {
	if q.head == len(q.records) || q.records[q.head].at.After(before) {
		return startRecord{}, false
	}
	record := q.records[q.head]
	q.records[q.head] = startRecord{}
	q.head++
	q.compact()
	return record, true
}

// compact gives the room of popped records back once they are half of all.
func (q *startQueue) compact() {
	if q.head*2 < len(q.records) {
		return
	}
	kept := copy(q.records, q.records[q.head:])
	clear(q.records[kept:])
	q.records = q.records[:kept]
	q.head = 0
}

// countOverruns counts tasks as long that have run for longer than short work may.
func (e *Engine) countOverruns(now time.Time) {
	for {
		record, ok := e.running.pop(now.Add(-e.limits.LongAfter))
		if !ok {
			return
		}
		task := record.task
		if task.State != blackboard.TaskStarted || task.Tries != record.tries || task.Long {
			continue
		}
		task.Long = true
		overrunsTotal.Inc()
		holdLong(e.Group(task.Target.Group), task)
		e.policies.Estimator.ObserveOverrun(task, now.Sub(task.Started))
	}
}

// holdLong counts a running task as long, by what its slots do in a second.
func holdLong(group *blackboard.Group, task *blackboard.Task) {
	task.LongLoad = float64(task.Width) / slowness(task.Backend)
	group.LongLoad[task.Backend.FailureDomain] += task.LongLoad
}

func releaseLong(group *blackboard.Group, task *blackboard.Task) {
	if task.LongLoad == 0 {
		return
	}
	left := group.LongLoad[task.Backend.FailureDomain] - task.LongLoad
	invariant.Check(left > -roundingSlack, "long_share_balances", "place %s", task.Backend.FailureDomain)
	group.LongLoad[task.Backend.FailureDomain] = max(0, left)
	task.LongLoad = 0
}

// roundingSlack is what sums of floating-point shares may be off.
const roundingSlack = 1e-6
