package dispatch

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/api"
)

// recordOutcome updates the job and the back end from an outcome.
func (e *Engine) recordOutcome(task *blackboard.Task, backend *blackboard.Backend, outcome Outcome, now time.Time) {
	switch outcome.Verdict {
	case VerdictDone, VerdictFailed:
		task.Job.Ran = true
	case VerdictUnknown:
		task.Job.Unconfirmed = true
	case VerdictNotRun:
	}
	if outcome.FencingToken != 0 && outcome.FencingToken == backend.FencingToken {
		backend.GrantedUntil = now
	}
}

// retry queues the task again, or ends its job if the deadline has passed in the meantime.
func (e *Engine) retry(group *blackboard.Group, task *blackboard.Task, outcome Outcome, now time.Time) []Stop {
	e.requeue(group, task, outcome, now)
	if now.Before(task.Job.Deadline) {
		return nil
	}
	return e.endJob(task.Job, expired())
}

func expired() *api.Answer {
	return &api.Answer{
		State:  api.StateFailed,
		Code:   api.CodeExpired,
		Reason: "the deadline passed before every task could start",
	}
}

// ranStatus returns yes only if an outcome showed a run, and no only if no sent start can still arrive.
func ranStatus(job *blackboard.Job) api.Ran {
	if job.Ran {
		return api.RanYes
	}
	if job.Unconfirmed {
		return api.RanUnknown
	}
	for _, task := range job.Tasks {
		if task.State == blackboard.TaskStarted {
			return api.RanUnknown
		}
	}
	return api.RanNo
}
