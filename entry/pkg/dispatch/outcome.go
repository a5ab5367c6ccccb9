package dispatch

import (
	"strconv"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/invariant"
	"chervilusher.dev/lib/api"
)

func (e *Engine) complete(task *blackboard.Task, value []byte) {
	task.State = blackboard.TaskEnded
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

// mayStartAgain allows another start when the last one reached no back end, or when the request is idempotent and the retry budget holds.
func (e *Engine) mayStartAgain(group *blackboard.Group, task *blackboard.Task, outcome Outcome) bool {
	if outcome.Verdict == VerdictNotRun {
		return outcome.Busy || task.Tries < e.maxTries
	}
	if task.Tries >= e.maxTries {
		return false
	}
	return task.Job.Idempotent && e.policies.Health.TakeRetry(group)
}

// Times for which a task shuns the back end of its last attempt while another may take it.
const (
	shunBusy   = 100 * time.Millisecond
	shunFailed = time.Second
)

func (e *Engine) requeue(group *blackboard.Group, task *blackboard.Task, outcome Outcome, now time.Time) {
	if outcome.Verdict == VerdictNotRun {
		task.Attempt--
	}
	task.State = blackboard.TaskQueued
	task.Avoid = task.Backend
	task.AvoidUntil = now.Add(shunFailed)
	if outcome.Busy {
		task.AvoidUntil = now.Add(shunBusy)
	}
	task.Backend = nil
	e.classify(group, task)
	e.enqueue(group, task)
}

func (e *Engine) fail(task *blackboard.Task, outcome Outcome) []Stop {
	task.State = blackboard.TaskEnded
	answer := &api.Answer{State: api.StateFailed}
	place := "task " + strconv.Itoa(task.Index)
	switch outcome.Verdict {
	case VerdictNotRun:
		task.Attempt--
		task.State = blackboard.TaskDropped
		answer.Code = api.CodeUnavailable
		answer.Reason = place + " reached no back end: " + outcome.Error
	case VerdictUnknown:
		answer.Code = api.CodeTaskUnknown
		answer.Reason = place + " may have run, and its answer is lost: " + outcome.Error
	default:
		answer.Code = api.CodeTaskFailed
		answer.Reason = place + " failed: " + outcome.Error
	}
	return e.end(task.Job, answer)
}

// end decides the job, drops its waiting tasks and returns stops for those that run.
func (e *Engine) end(job *blackboard.Job, answer *api.Answer) []Stop {
	var stops []Stop
	answer.Ran = ranOf(job)
	for _, task := range job.Tasks {
		switch task.State {
		case blackboard.TaskQueued:
			e.drop(task)
		case blackboard.TaskStarted:
			stops = append(stops, Stop{ID: startID(task), Backend: *task.Backend, Supported: task.Target.Tombstones})
		case blackboard.TaskEnded, blackboard.TaskDropped:
		}
	}
	e.decide(job, answer)
	return stops
}

func (e *Engine) drop(task *blackboard.Task) {
	group := e.Group(task.Target.Group)
	removed := group.Queue.Remove(task)
	invariant.Check(removed, "queue_holds_waiting", "job %s task %d waits but is in no queue", task.Job.ID, task.Index)
	task.State = blackboard.TaskDropped
	e.dequeued(group, task)
}

func (e *Engine) decide(job *blackboard.Job, answer *api.Answer) {
	invariant.Check(job.Answer == nil, "one_answer", "job %s is decided twice", job.ID)
	answer.Key = job.Key
	answer.Tasks = len(job.Tasks)
	job.Answer = answer
	e.deadlines.leave()
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

// startID names one start, so that a back end can tell starts apart and a log line can be followed through hosts.
func startID(task *blackboard.Task) string {
	return task.Job.ID + "." + strconv.Itoa(task.Index) + "." + strconv.Itoa(task.Tries)
}
