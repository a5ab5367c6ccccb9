package dispatch

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

func (e *Engine) classify(group *blackboard.Group, task *blackboard.Task) {
	e.policies.Estimator.Classify(task)
	task.Cost = slotTime(group, task)
}

// enqueue counts the task as waiting and queues it.
func (e *Engine) enqueue(group *blackboard.Group, task *blackboard.Task) {
	owner := e.board.Accounts[task.Job.Account]
	owner.Queued++
	group.Backlogs.Of(owner).Add(task)
	group.Backlogs.Tasks++
	group.AddWaiting(task, 1)
	group.Queue.Push(task)
}

// dequeued counts the task as no longer waiting.
func (e *Engine) dequeued(group *blackboard.Group, task *blackboard.Task) {
	owner := e.board.Accounts[task.Job.Account]
	owner.Queued--
	group.Backlogs.Of(owner).Subtract(task)
	group.Backlogs.Tasks--
	group.AddWaiting(task, -1)
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
	backlog := group.Backlogs.Of(e.board.Accounts[task.Job.Account])
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
