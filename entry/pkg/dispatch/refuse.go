package dispatch

import (
	"fmt"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

// retryAfterNoBackends is the retry-after time for a group that has no back ends.
const retryAfterNoBackends = time.Second

// retryAfterQuota is the retry-after time for an exhausted quota.
const retryAfterQuota = 500 * time.Millisecond

func (e *Engine) refuse(job *blackboard.Job, now time.Time) *Refusal {
	account, ok := e.board.Accounts[job.Account]
	if !ok {
		return &Refusal{Code: api.CodeUnavailable, Reason: "the owner's configuration is not in force yet", RetryAfter: retryAfterNoBackends}
	}
	if account.Queued+len(job.Tasks) > account.MaxWait {
		return &Refusal{
			Code:       api.CodeQuota,
			Reason:     fmt.Sprintf("%d tasks wait, and the quota is %d", account.Queued, account.MaxWait),
			RetryAfter: retryAfterQuota,
		}
	}
	for _, task := range job.Tasks {
		if refusal := e.refuseTask(task); refusal != nil {
			return refusal
		}
	}
	return e.policies.Admission.Admit(job, e.board.Groups, now)
}

// refuseTask refuses a task that no back end of its group can ever run, or whose group has no back ends now.
func (e *Engine) refuseTask(task *blackboard.Task) *Refusal {
	group := e.Group(task.Target.Group)
	known, possible := countMatchingShapes(group, task)
	if possible > 0 {
		return nil
	}
	if known == 0 {
		return &Refusal{
			Code:       api.CodeUnavailable,
			Reason:     fmt.Sprintf("group %q has no back ends now", group.Name),
			RetryAfter: retryAfterNoBackends,
		}
	}
	return &Refusal{
		Code:   api.CodeImpossible,
		Reason: fmt.Sprintf("task %d is larger than any worker of group %q", task.Index, group.Name),
	}
}

// countMatchingShapes returns how many shapes the target allows, and how many of them can ever run the task.
func countMatchingShapes(group *blackboard.Group, task *blackboard.Task) (known, possible int) {
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
