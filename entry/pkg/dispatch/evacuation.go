package dispatch

import (
	"fmt"
	"slices"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/jsontime"
)

// DropEvacuated ends the jobs with tasks that wait for back ends of evacuated failure domains alone.
func (e *Engine) DropEvacuated() Effects {
	var effects Effects
	for _, job := range slices.Clone(e.deadlines.jobs) {
		if job.Decided() {
			continue
		}
		if task := e.evacuatedTask(job); task != nil {
			effects.Stops = append(effects.Stops, e.endJob(job, evacuatedAnswer(job, task))...)
		}
	}
	return effects
}

// evacuatedTask returns a waiting task of the job that only evacuated back ends could run, or nil.
func (e *Engine) evacuatedTask(job *blackboard.Job) *blackboard.Task {
	for _, task := range job.Tasks {
		if task.State == blackboard.TaskQueued && isEvacuated(e.Group(task.Target.Group), task) {
			return task
		}
	}
	return nil
}

// isEvacuated reports whether back ends that the task allows are evacuated and no other one is left.
func isEvacuated(group *blackboard.Group, task *blackboard.Task) bool {
	found := false
	for _, backend := range group.Backends {
		switch {
		case backend.Leaving || !task.Target.Allows(backend):
		case !backend.Evacuated:
			return false
		default:
			found = true
		}
	}
	return found
}

func evacuatedAnswer(job *blackboard.Job, task *blackboard.Task) *api.Answer {
	answer := &api.Answer{
		State:      api.StateFailed,
		Code:       api.CodeUnavailable,
		Reason:     fmt.Sprintf("task %d waits for back ends that are evacuated", task.Index),
		RetryAfter: jsontime.Duration(retryAfterNoBackends),
	}
	if !job.Started {
		answer.State = api.StateRefused
	}
	return answer
}
