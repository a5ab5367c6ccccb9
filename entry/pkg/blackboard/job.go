package blackboard

import (
	"encoding/json"
	"time"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

// TaskState is where a task stands.
type TaskState int

// States of a task.
const (
	TaskQueued TaskState = iota
	TaskStarted
	TaskEnded
	TaskDropped // ended without a start
)

// Target is where a task may run.
type Target struct {
	Service        string // the owner's name; empty for a pool's
	Pool           string // the owner's name; empty for a service's
	Group          string
	Role           platform.Role
	FailureDomains []string // failure domains; empty means all
	Timeout        time.Duration
	Tombstones     bool
}

// Allows reports whether the target's places include the back end's.
func (t *Target) Allows(backend *Backend) bool {
	if len(t.FailureDomains) == 0 {
		return true
	}
	for _, place := range t.FailureDomains {
		if place == backend.FailureDomain {
			return true
		}
	}
	return false
}

// Task is one task of a job; the dispatch lock guards it.
type Task struct {
	Job      *Job
	Index    int
	Kind     string
	Target   *Target
	Need     api.Need
	Payload  json.RawMessage
	Declared time.Duration

	State      TaskState
	Attempt    int // counts starts that may have reached a back end
	Tries      int // counts starts, those that reached none among them
	Backend    *Backend
	Width      int // slots held while started
	Queued     time.Time
	Started    time.Time
	Long       bool          // it counts as long work
	Avoid      *Backend      // where the last attempt failed
	AvoidUntil time.Time     // until when Avoid is left out; later it is as good as any
	Expected   time.Duration // run time at a back end of slowness 1, as learnt or declared
	Cost       time.Duration // expected slot time: Expected for each slot that it takes
	Deviation  time.Duration // mean distance of run times from Expected
	LongLoad   float64       // what it counts in the group's Long while it runs
	Node       any           // the queue's own record while the task waits
	Value      json.RawMessage
}

// Job is one submission in the hands of its home; the dispatch lock guards it, but for Done.
type Job struct {
	ID          string // unique for all homes and time
	Account     string
	Key         string
	Urgent      bool
	Idempotent  bool // its single task may be retried after a start
	Accepted    time.Time
	Deadline    time.Time
	Tasks       []*Task
	Remaining   int // tasks without a result
	Started     bool
	Ran         bool // an outcome showed that a task ran
	Unconfirmed bool // a start's outcome is unknown
	Answer      *api.Answer
	OnAnswer    func(answer *api.Answer) // called once with the answer, under the dispatch lock; may be nil
	Done        chan struct{}            // closed when Answer is set
}

// Decided reports whether the job has its final answer.
func (j *Job) Decided() bool {
	return j.Answer != nil
}
