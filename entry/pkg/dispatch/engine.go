package dispatch

import (
	"encoding/json"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/invariant"
	"chervilusher.dev/lib/api"
)

// Verdict is how one start ended.
type Verdict int

// Verdicts of a start.
const (
	VerdictDone    Verdict = iota // the back end answered
	VerdictFailed                 // it ran and ended with an error
	VerdictNotRun                 // it is certain that nothing was started
	VerdictUnknown                // it may have run
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case VerdictDone:
		return "done"
	case VerdictFailed:
		return "failed"
	case VerdictNotRun:
		return "not run"
	case VerdictUnknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Outcome is what became of one start.
type Outcome struct {
	Verdict Verdict
	Value   json.RawMessage // the answer, when done
	Error   string
	Busy    bool  // nothing was started because the back end had no room
	Fence   int64 // the fencing token that a worker refused, or zero
}

// Start is an order to start one task at one back end.
type Start struct {
	Task    *blackboard.Task
	Attempt int
	ID      string // unique for each start
	Backend blackboard.Backend
	Payload json.RawMessage
	Owner   string
}

// Stop is an order to stop a task that was started.
type Stop struct {
	ID        string
	Backend   blackboard.Backend
	Supported bool // the back end can stop tasks
}

// Effects is what a decision asks of the back ends.
type Effects struct {
	Starts []Start
	Stops  []Stop
}

// Append adds the effects of another decision.
func (e *Effects) Append(more Effects) {
	e.Starts = append(e.Starts, more.Starts...)
	e.Stops = append(e.Stops, more.Stops...)
}

// Placement chooses the back end for a task among those that have a free slot, or nil.
type Placement interface {
	Pick(group *blackboard.Group, task *blackboard.Task, now time.Time) *blackboard.Backend
}

// Admission refuses work that is not worth queueing; it returns nil to admit.
type Admission interface {
	Admit(job *blackboard.Job, groups map[string]*blackboard.Group, now time.Time) *Refusal
}

// Estimator learns how long work takes.
type Estimator interface {
	// Classify sets whether the task counts as long.
	Classify(task *blackboard.Task)
	// Observe takes in how long a task ran at a back end.
	Observe(task *blackboard.Task, backend *blackboard.Backend, took time.Duration)
}

// Health ejects back ends that fail and decides on retries.
type Health interface {
	// Observe takes in how a start ended.
	Observe(group *blackboard.Group, backend *blackboard.Backend, verdict Verdict, now time.Time)
	// Started counts a start against the retry budget.
	Started(group *blackboard.Group, retry bool)
	// MayRetry reports whether the retry budget allows one more start.
	MayRetry(group *blackboard.Group) bool
	// Tick lets delays run out.
	Tick(group *blackboard.Group, now time.Time)
}

// Refusal is why a submission was not taken; nothing of it was started.
type Refusal struct {
	Code       api.Code
	Reason     string
	RetryAfter time.Duration
}

// Policies are the exchangeable decisions.
type Policies struct {
	Placement Placement
	Admission Admission
	Estimator Estimator
	Health    Health
	NewQueue  func(owners map[string]*blackboard.Owner) blackboard.Queue
}

// Engine is the dispatcher's decisions over the board's dispatch state.
type Engine struct {
	board     *blackboard.Dispatch
	policies  Policies
	maxTries  int
	deadlines deadlineHeap
}

// maxTries bounds how often a task that reaches no back end is tried.
const maxTries = 12

// New returns an engine over the board with the given policies.
func New(board *blackboard.Dispatch, policies Policies) *Engine {
	return &Engine{board: board, policies: policies, maxTries: maxTries}
}

// Group returns the group of that name and makes it when it is new.
func (e *Engine) Group(name string) *blackboard.Group {
	group, ok := e.board.Groups[name]
	if !ok {
		group = &blackboard.Group{
			Name:     name,
			Backends: map[string]*blackboard.Backend{},
			Queue:    e.policies.NewQueue(e.board.Owners),
		}
		e.board.Groups[name] = group
	}
	return group
}

// Submit queues the job's tasks and starts what it can, or refuses the whole job.
func (e *Engine) Submit(job *blackboard.Job, now time.Time) (Effects, *Refusal) {
	if refusal := e.refuse(job, now); refusal != nil {
		return Effects{}, refusal
	}
	owner := e.board.Owners[job.Owner]
	for _, task := range job.Tasks {
		task.Queued = now
		e.policies.Estimator.Classify(task)
		e.Group(task.Target.Group).Queue.Push(task)
		owner.Queued++
	}
	e.deadlines.add(job)
	return e.assignGroups(job, now), nil
}

// Finish takes in how a start ended; an outcome of an earlier attempt is dropped and reported as stale.
func (e *Engine) Finish(task *blackboard.Task, attempt int, outcome Outcome, now time.Time) (effects Effects, stale bool) {
	if task.Attempt != attempt || task.State != blackboard.TaskStarted {
		return Effects{}, true
	}
	group := e.Group(task.Target.Group)
	backend := task.Backend
	e.release(task)
	if outcome.Verdict == VerdictDone {
		e.policies.Estimator.Observe(task, backend, now.Sub(task.Started))
	}
	e.policies.Health.Observe(group, backend, outcome.Verdict, now)
	switch {
	case task.Job.Decided():
		task.State = blackboard.TaskEnded
	case outcome.Verdict == VerdictDone:
		e.complete(task, outcome.Value)
	case e.mayStartAgain(group, task, outcome):
		e.requeue(group, task, outcome)
	default:
		effects.Stops = e.fail(task, outcome)
	}
	effects.Append(e.Assign(group, now))
	return effects, false
}

// Cancel ends the job at once, drops what has not started and stops what runs.
func (e *Engine) Cancel(job *blackboard.Job, now time.Time) Effects {
	if job.Decided() {
		return Effects{}
	}
	stops := e.end(job, &api.Answer{
		State:  api.StateCancelled,
		Code:   api.CodeCancelled,
		Reason: "the caller cancelled the job",
	})
	effects := e.assignGroups(job, now)
	effects.Stops = append(effects.Stops, stops...)
	return effects
}

// Tick ends jobs whose deadline passed before all their tasks were started, and lets delays run out.
func (e *Engine) Tick(now time.Time) Effects {
	var effects Effects
	for _, job := range e.deadlines.expired(now) {
		if job.Decided() || !hasQueued(job) {
			continue
		}
		effects.Stops = append(effects.Stops, e.end(job, &api.Answer{
			State:  api.StateFailed,
			Code:   api.CodeExpired,
			Reason: "the deadline passed before every task could start",
		})...)
	}
	for _, group := range e.board.Groups {
		e.policies.Health.Tick(group, now)
		effects.Append(e.Assign(group, now))
	}
	return effects
}

// Assign starts waiting tasks of the group while there are free slots for them.
func (e *Engine) Assign(group *blackboard.Group, now time.Time) Effects {
	var effects Effects
	for group.Queue.Len() > 0 {
		var backend *blackboard.Backend
		task := group.Queue.Pop(func(task *blackboard.Task) bool {
			if !e.ownerMayRun(task.Job.Owner) {
				return false
			}
			backend = e.policies.Placement.Pick(group, task, now)
			return backend != nil
		})
		if task == nil {
			break
		}
		effects.Starts = append(effects.Starts, e.start(group, task, backend, now))
	}
	return effects
}

func (e *Engine) assignGroups(job *blackboard.Job, now time.Time) Effects {
	var effects Effects
	seen := map[string]bool{}
	for _, task := range job.Tasks {
		name := task.Target.Group
		if seen[name] {
			continue
		}
		seen[name] = true
		effects.Append(e.Assign(e.Group(name), now))
	}
	return effects
}

func (e *Engine) ownerMayRun(name string) bool {
	owner := e.board.Owners[name]
	return owner.MaxRun == 0 || owner.Running < owner.MaxRun
}

func (e *Engine) start(group *blackboard.Group, task *blackboard.Task, backend *blackboard.Backend, now time.Time) Start {
	invariant.Check(task.State == blackboard.TaskQueued, "task_starts_once", "job %s task %d starts in state %d", task.Job.ID, task.Index, task.State)
	invariant.Check(task.Attempt == 0 || task.Job.Idempotent, "task_starts_once", "job %s task %d starts again", task.Job.ID, task.Index)
	invariant.Check(!backend.Leaving, "leaving_gets_no_work", "back end %s", backend.Name)
	owner := e.board.Owners[task.Job.Owner]
	owner.Queued--
	owner.Running++
	e.policies.Health.Started(group, task.Attempt > 0)
	task.State = blackboard.TaskStarted
	task.Attempt++
	task.Tries++
	task.Backend = backend
	task.Width = backend.Width(task.Need)
	task.Started = now
	backend.Busy += task.Width
	backend.Peak = max(backend.Peak, backend.Busy)
	task.Job.Started = true
	return Start{
		Task:    task,
		Attempt: task.Attempt,
		ID:      startID(task),
		Backend: *backend,
		Payload: task.Payload,
		Owner:   task.Job.Owner,
	}
}

func (e *Engine) release(task *blackboard.Task) {
	task.Backend.Busy -= task.Width
	invariant.Check(task.Backend.Busy >= 0, "slots_balance", "back end %s has %d busy slots", task.Backend.Name, task.Backend.Busy)
	e.board.Owners[task.Job.Owner].Running--
}
