package dispatch

import (
	"strconv"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/invariant"
	"chervilusher.dev/lib/api"
)

func (e *Engine) complete(task *blackboard.Task, value []byte) {
	e.settle(task, blackboard.TaskEnded)
	task.Value = value
	job := task.Job
	job.Remaining--
	if job.Remaining > 0 {
		return
	}
	results := make([]api.Result, len(job.Tasks))
	for i, done := range job.Tasks {
		invariant.Check(done.State == blackboard.TaskEnded, "answer_is_whole", "job %s task %d is in state %d", job.ID, i, done.State)
		results[i] = api.Result{Value: done.Value}
		done.Value = nil
	}
	e.decide(job, &api.Answer{State: api.StateComplete, Ran: api.RanYes, Results: results})
}

// mayRetry allows another start if the last one reached no back end,
// or if the request is idempotent and the retry budget allows it.
func (e *Engine) mayRetry(group *blackboard.Group, task *blackboard.Task, outcome Outcome) bool {
	if outcome.BadPayload {
		return false
	}
	if outcome.Verdict == VerdictNotRun {
		return outcome.Busy || task.Tries < e.maxTries
	}
	if task.Tries >= e.maxTries {
		return false
	}
	return task.Job.Idempotent && e.policies.Health.TakeRetry(group)
}

// Times for which a retry avoids the back end of the last attempt while another one can take it.
const (
	avoidBusy   = 100 * time.Millisecond
	avoidFailed = time.Second
)

func (e *Engine) requeue(group *blackboard.Group, task *blackboard.Task, outcome Outcome, now time.Time) {
	if outcome.Verdict == VerdictNotRun {
		task.Attempt--
	}
	task.State = blackboard.TaskQueued
	task.Avoid = task.Backend
	task.AvoidUntil = now.Add(avoidFailed)
	if outcome.Busy {
		task.AvoidUntil = now.Add(avoidBusy)
	}
	task.Backend = nil
	e.classify(group, task)
	e.enqueue(group, task)
}

func (e *Engine) fail(task *blackboard.Task, outcome Outcome) []Stop {
	state := blackboard.TaskEnded
	answer := &api.Answer{State: api.StateFailed}
	prefix := "task " + strconv.Itoa(task.Index)
	switch outcome.Verdict {
	case VerdictNotRun:
		task.Attempt--
		state = blackboard.TaskDropped
		answer.Code = api.CodeUnavailable
		answer.Reason = prefix + " reached no back end: " + outcome.Error
		if outcome.BadPayload {
			answer.Code = api.CodeBadPayload
			answer.Reason = prefix + " has a payload that its back end refuses: " + outcome.Error
		}
	case VerdictUnknown:
		answer.Code = api.CodeTaskUnknown
		answer.Reason = prefix + " may have run, and its answer is lost: " + outcome.Error
	default:
		answer.Code = api.CodeTaskFailed
		answer.Reason = prefix + " failed: " + outcome.Error
	}
	e.settle(task, state)
	return e.endJob(task.Job, answer)
}

// endJob sets the job's answer, drops its queued tasks and returns stops for its running ones.
func (e *Engine) endJob(job *blackboard.Job, answer *api.Answer) []Stop {
	var stops []Stop
	answer.Ran = ranStatus(job)
	for _, task := range job.Tasks {
		switch task.State {
		case blackboard.TaskQueued:
			e.dropQueued(task)
		case blackboard.TaskStarted:
			stops = append(stops, Stop{ID: startID(task), Backend: *task.Backend, Supported: task.Target.Tombstones})
		case blackboard.TaskEnded, blackboard.TaskDropped:
		}
	}
	e.decide(job, answer)
	return stops
}

func (e *Engine) dropQueued(task *blackboard.Task) {
	group := e.Group(task.Target.Group)
	removed := group.Queue.Remove(task)
	invariant.Check(removed, "queue_holds_waiting", "job %s task %d is queued, but not in the queue", task.Job.ID, task.Index)
	e.settle(task, blackboard.TaskDropped)
	e.dequeued(group, task)
}

func (e *Engine) decide(job *blackboard.Job, answer *api.Answer) {
	invariant.Check(job.Answer == nil, "one_answer", "job %s is decided twice", job.ID)
	answer.Key = job.Key
	answer.Tasks = len(job.Tasks)
	job.Answer = answer
	e.deadlines.markDecided()
	if job.OnAnswer != nil {
		job.OnAnswer(answer)
	}
	close(job.Done)
}

func hasQueued(job *blackboard.Job) bool {
	for _, task := range job.Tasks {
		if task.State == blackboard.TaskQueued {
			return true
		}
	}
	return false
}

// startID returns a unique ID for a start; back ends tell starts apart by it, and logs carry it across hosts.
func startID(task *blackboard.Task) string {
	return task.Job.ID + "." + strconv.Itoa(task.Index) + "." + strconv.Itoa(task.Tries)
}
