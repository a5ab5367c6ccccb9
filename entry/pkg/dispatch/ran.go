package dispatch

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/api"
)

// learn notes what an outcome tells about its job and its back end.
func (e *Engine) learn(task *blackboard.Task, backend *blackboard.Backend, outcome Outcome, now time.Time) {
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

// startAgain queues the task once more, unless its job's deadline has passed in the meantime.
func (e *Engine) startAgain(group *blackboard.Group, task *blackboard.Task, outcome Outcome, now time.Time) []Stop {
	e.requeue(group, task, outcome, now)
	if now.Before(task.Job.Deadline) {
		return nil
	}
	return e.end(task.Job, expired())
}

func expired() *api.Answer {
	return &api.Answer{
		State:  api.StateFailed,
		Code:   api.CodeExpired,
		Reason: "the deadline passed before every task could start",
	}
}

// ranOf says yes only if an outcome showed a run, and no only if no start that may still arrive was sent.
func ranOf(job *blackboard.Job) api.Ran {
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
