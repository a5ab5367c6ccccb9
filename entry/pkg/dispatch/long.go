package dispatch

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/invariant"
)

// startRecord is the start of a task that did not count as long.
type startRecord struct {
	task      *blackboard.Task
	tries     int
	startedAt time.Time
}

// startQueue is a FIFO queue of starts.
type startQueue struct {
	records []startRecord
	head    int
}

func (q *startQueue) push(task *blackboard.Task) {
	q.records = append(q.records, startRecord{task: task, tries: task.Tries, startedAt: task.Started})
}

// pop removes and returns the oldest start if it happened no later than the given time.
func (q *startQueue) pop(before time.Time) (startRecord, bool) {
	if q.head == len(q.records) || q.records[q.head].startedAt.After(before) {
		return startRecord{}, false
	}
	record := q.records[q.head]
	q.records[q.head] = startRecord{}
	q.head++
	q.compact()
	return record, true
}

// compact removes popped records once they are half of the slice.
func (q *startQueue) compact() {
	if q.head*2 < len(q.records) {
		return
	}
	kept := copy(q.records, q.records[q.head:])
	clear(q.records[kept:])
	q.records = q.records[:kept]
	q.head = 0
}

// markOverruns counts tasks as long once they have run longer than Limits.LongAfter.
func (e *Engine) markOverruns(now time.Time) {
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

// holdLong adds a running task's capacity rate to its failure domain's long work.
func holdLong(group *blackboard.Group, task *blackboard.Task) {
	task.LongLoad = float64(task.Width) / slowness(task.Backend)
	group.LongLoad[task.Backend.FailureDomain] += task.LongLoad
}

func releaseLong(group *blackboard.Group, task *blackboard.Task) {
	if task.LongLoad == 0 {
		return
	}
	left := group.LongLoad[task.Backend.FailureDomain] - task.LongLoad
	invariant.Check(left > -roundingTolerance, "long_share_balances", "failure domain %s", task.Backend.FailureDomain)
	group.LongLoad[task.Backend.FailureDomain] = max(0, left)
	task.LongLoad = 0
}

// roundingTolerance is the accepted rounding error of sums of floating-point rates.
const roundingTolerance = 1e-6
