package dispatch

import (
	"encoding/json"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/api"
)

// Verdict classifies the outcome of a start.
type Verdict int

// Verdicts of a start.
const (
	VerdictDone    Verdict = iota // the back end returned a result
	VerdictFailed                 // the task ran and returned an error
	VerdictNotRun                 // the task certainly did not run
	VerdictUnknown                // the task may have run
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

// Outcome is the result of a start.
type Outcome struct {
	Verdict      Verdict
	Value        json.RawMessage // the result, if done
	Error        string
	Busy         bool  // the back end rejected the start for lack of free slots
	BadPayload   bool  // the back end rejected the start for its payload, as any other would
	FencingToken int64 // the fencing token that a worker rejected, or zero
	Stopped      bool  // this host stopped the run, so the outcome says nothing about the back end
}

// Start is a command to start a task at a back end.
type Start struct {
	Task    *blackboard.Task
	Attempt int    // counts the starts of the task
	ID      string // unique for each start
	Backend blackboard.Backend
	Payload json.RawMessage
	Account string
}

// Stop is a command to stop a started task.
type Stop struct {
	ID        string
	Backend   blackboard.Backend
	Supported bool // the back end supports stopping tasks
}

// Effects are the commands to back ends that follow from a decision.
type Effects struct {
	Starts []Start
	Stops  []Stop
}

// Append adds the effects of another decision.
func (e *Effects) Append(more Effects) {
	e.Starts = append(e.Starts, more.Starts...)
	e.Stops = append(e.Stops, more.Stops...)
}

// Placement chooses the back end for a task.
type Placement interface {
	// Pick returns a back end with enough free slots for the task, or nil.
	Pick(group *blackboard.Group, task *blackboard.Task, now time.Time) *blackboard.Backend
	// Update processes a change of a back end's free slots, state or speed.
	Update(group *blackboard.Group, backend *blackboard.Backend)
	// Sync processes all back ends of the group, including added and removed ones.
	Sync(group *blackboard.Group)
	// HasFreeSlots reports whether some back end may have a free slot; false is certain.
	HasFreeSlots(group *blackboard.Group) bool
}

// Admission decides whether a job is queued or refused; it returns nil to admit it.
type Admission interface {
	Admit(job *blackboard.Job, groups map[string]*blackboard.Group, now time.Time) *Refusal
}

// Estimator learns run times of tasks and speeds of back ends.
type Estimator interface {
	// Classify sets the task's expected run time and whether it counts as long.
	Classify(task *blackboard.Task)
	// Observe records how long a task ran at a back end.
	Observe(task *blackboard.Task, backend *blackboard.Backend, runTime time.Duration)
	// ObserveOverrun records that a task has run for at least the given time and is still running.
	ObserveOverrun(task *blackboard.Task, runTime time.Duration)
	// Rescale normalises slowness so that 1 is the mean; speed is the present mean over the group's slots.
	Rescale(group *blackboard.Group, speed float64)
}

// Health ejects failing back ends and limits retries.
type Health interface {
	// Observe records the outcome of a start.
	Observe(group *blackboard.Group, backend *blackboard.Backend, outcome Outcome, now time.Time)
	// ObserveStart counts a first start, which adds to the retry budget.
	ObserveStart(group *blackboard.Group)
	// TakeRetry spends retry budget on one retry and reports whether any was left.
	TakeRetry(group *blackboard.Group) bool
	// Tick returns the back ends whose state has changed with time.
	Tick(group *blackboard.Group, now time.Time) []*blackboard.Backend
}

// Refusal is the reason for refusing a submission, none of which was started.
type Refusal struct {
	Code       api.Code
	Reason     string
	RetryAfter time.Duration
}

// Policies are the exchangeable parts of the engine.
type Policies struct {
	Placement Placement
	Admission Admission
	Estimator Estimator
	Health    Health
	NewQueue  func(accounts map[string]*blackboard.Account) blackboard.Queue
}
