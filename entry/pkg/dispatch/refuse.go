package dispatch

import (
	"fmt"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

// retryWithoutBackends is when to come back to a group that has no back end now.
const retryWithoutBackends = time.Second

// retryOverQuota is when to come back after the quota was used up.
const retryOverQuota = 500 * time.Millisecond

func (e *Engine) refuse(job *blackboard.Job, now time.Time) *Refusal {
	owner, ok := e.board.Accounts[job.Account]
	if !ok {
		return &Refusal{Code: api.CodeUnavailable, Reason: "the owner's configuration is not in force yet", RetryAfter: retryWithoutBackends}
	}
	if owner.Queued+len(job.Tasks) > owner.MaxWait {
		return &Refusal{
			Code:       api.CodeQuota,
			Reason:     fmt.Sprintf("%d tasks wait, and the quota is %d", owner.Queued, owner.MaxWait),
			RetryAfter: retryOverQuota,
		}
	}
	for _, task := range job.Tasks {
		if refusal := e.refuseTask(task); refusal != nil {
			return refusal
		}
	}
	return e.policies.Admission.Admit(job, e.board.Groups, now)
}

// refuseTask refuses work that no back end of its group could ever run, or that has no back end now.
func (e *Engine) refuseTask(task *blackboard.Task) *Refusal {
	group := e.Group(task.Target.Group)
	known, possible := countShapes(group, task)
	if possible > 0 {
		return nil
	}
	if known == 0 {
		return &Refusal{
			Code:       api.CodeUnavailable,
			Reason:     fmt.Sprintf("group %q has no back ends now", group.Name),
			RetryAfter: retryWithoutBackends,
		}
	}
	return &Refusal{
		Code:   api.CodeImpossible,
		Reason: fmt.Sprintf("task %d is larger than any worker of group %q", task.Index, group.Name),
	}
}

// countShapes returns how many shapes the task's target allows, and how many of them could ever run it.
func countShapes(group *blackboard.Group, task *blackboard.Task) (known, possible int) {
	for _, shape := range group.Capacity.Shapes {
		if !task.Target.Allows(shape) {
			continue
		}
		known++
		if shape.Role == platform.RoleMinion || shape.Width(task.Need) <= shape.Slots {
			possible++
		}
	}
	return known, possible
}
