package dispatch

import (
	"encoding/json"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
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
	Verdict      Verdict
	Value        json.RawMessage // the answer, when done
	Error        string
	Busy         bool  // nothing was started because the back end had no room
	FencingToken int64 // the fencing token that a worker refused, or zero
	Stopped      bool  // the run was stopped on this host's order, which says nothing of the back end
}

// Start is an order to start one task at one back end.
type Start struct {
	Task    *blackboard.Task
	Attempt int    // tells the starts of one task apart
	ID      string // unique for each start
	Backend blackboard.Backend
	Payload json.RawMessage
	Account string
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

// Placement chooses the back end for a task.
type Placement interface {
	// Pick returns a back end with room for the task, or nil.
	Pick(group *blackboard.Group, task *blackboard.Task, now time.Time) *blackboard.Backend
	// Update takes in that the room, the state or the speed of a back end has changed.
	Update(group *blackboard.Group, backend *blackboard.Backend)
	// Sync takes in every back end of the group, those added and removed among them.
	Sync(group *blackboard.Group)
	// HasFreeSlots reports whether some back end may have room; false is certain.
	HasFreeSlots(group *blackboard.Group) bool
}

// Admission refuses work that is not worth queueing; it returns nil to admit.
type Admission interface {
	Admit(job *blackboard.Job, groups map[string]*blackboard.Group, now time.Time) *Refusal
}

// Estimator learns how long work takes.
type Estimator interface {
	// Classify sets the task's expected run time and whether it counts as long.
	Classify(task *blackboard.Task)
	// Observe takes in how long a task ran at a back end.
	Observe(task *blackboard.Task, backend *blackboard.Backend, took time.Duration)
	// ObserveOverrun takes in that a task has run for at least the given time and goes on.
	ObserveOverrun(task *blackboard.Task, took time.Duration)
	// Rescale makes a back end of slowness 1 the typical one; speed is the present mean over the group's slots.
	Rescale(group *blackboard.Group, speed float64)
}

// Health ejects back ends that fail and decides on retries.
type Health interface {
	// Observe takes in how a start ended.
	Observe(group *blackboard.Group, backend *blackboard.Backend, outcome Outcome, now time.Time)
	// ObserveStart counts a start that earns retry budget.
	ObserveStart(group *blackboard.Group)
	// TakeRetry spends retry budget for one more start, and reports whether there was any.
	TakeRetry(group *blackboard.Group) bool
	// Tick returns the back ends whose state changed by the passing of time.
	Tick(group *blackboard.Group, now time.Time) []*blackboard.Backend
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
	NewQueue  func(owners map[string]*blackboard.Account) blackboard.Queue
}
