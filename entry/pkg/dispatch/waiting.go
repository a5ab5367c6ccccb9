package dispatch

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

func (e *Engine) classify(group *blackboard.Group, task *blackboard.Task) {
	e.policies.Estimator.Classify(task)
	task.Cost = slotTime(group, task)
}

// enqueue adds the task to the queue and to the backlog counts.
func (e *Engine) enqueue(group *blackboard.Group, task *blackboard.Task) {
	account := e.board.Accounts[task.Job.Account]
	account.Queued++
	group.Backlogs.Of(account).Add(task)
	group.Backlogs.Tasks++
	group.AddWaiting(task, 1)
	group.Queue.Push(task)
}

// dequeued removes the task from the backlog counts and cancels its reservation.
func (e *Engine) dequeued(group *blackboard.Group, task *blackboard.Task) {
	account := e.board.Accounts[task.Job.Account]
	account.Queued--
	group.Backlogs.Of(account).Subtract(task)
	group.Backlogs.Tasks--
	group.AddWaiting(task, -1)
	e.cancelReservation(group, task)
}

// reclassify updates the class of a queued task from what was learnt since, and reports whether it changed.
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

// slotTime returns the expected run time multiplied by the slots that the task takes at a matching shape.
func slotTime(group *blackboard.Group, task *blackboard.Task) time.Duration {
	for _, shape := range group.Capacity.Shapes {
		if width := shape.Width(task.Need); width <= shape.Slots && task.Target.Allows(shape) {
			return task.Expected * time.Duration(width)
		}
	}
	return task.Expected
}
