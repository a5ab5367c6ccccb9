package blackboard

import (
	"encoding/json"
	"time"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

// TaskState is the state of a task in its life cycle.
type TaskState int

// States of a task.
const (
	TaskQueued TaskState = iota
	TaskStarted
	TaskEnded
	TaskDropped // ended without having started
)

// Target is the set of back ends that may run a task, with its time limit.
type Target struct {
	Service        string // name in the account's configuration; empty for a pool
	Pool           string // name in the account's configuration; empty for a service
	Group          string
	Role           platform.Role
	FailureDomains []string // empty means all
	Timeout        time.Duration
	Tombstones     bool
}

// Allows reports whether the back end is in one of the target's failure domains.
func (t *Target) Allows(backend *Backend) bool {
	if len(t.FailureDomains) == 0 {
		return true
	}
	for _, domain := range t.FailureDomains {
		if domain == backend.FailureDomain {
			return true
		}
	}
	return false
}

// Task is one task of a job; it is guarded by the dispatch lock.
type Task struct {
	Job      *Job
	Index    int
	Kind     string
	Target   *Target
	Need     api.Need
	Payload  json.RawMessage
	Declared time.Duration

	State      TaskState
	Attempt    int // number of starts that may have reached a back end
	Tries      int // number of all starts, including those that reached no back end
	Backend    *Backend
	Width      int // slots held while it runs
	Queued     time.Time
	Started    time.Time
	Long       bool          // it counts as a long task
	Avoid      *Backend      // back end of the last failed attempt
	AvoidUntil time.Time     // until then the task does not start at Avoid
	Expected   time.Duration // run time at slowness 1, learnt or declared
	Cost       time.Duration // expected slot time: Expected times the slots that it takes
	Deviation  time.Duration // mean absolute deviation of the run time from Expected
	LongLoad   float64       // its part of the group's LongLoad while it runs
	Node       any           // the queue's entry while the task waits
	Value      json.RawMessage
}

// Job is one submission at its home; all but Done is guarded by the dispatch lock.
type Job struct {
	ID          string // unique across homes and over time
	Account     string
	Key         string
	Urgent      bool
	Idempotent  bool // its single task may be retried after it may have run
	Accepted    time.Time
	Deadline    time.Time
	Tasks       []*Task
	Remaining   int   // number of tasks without a result
	Unsettled   int   // number of tasks that wait or run
	Bytes       int64 // memory that is reserved for it while there are such tasks
	Started     bool
	Ran         bool // an outcome confirmed that a task ran
	Unconfirmed bool // the outcome of a start is unknown
	Answer      *api.Answer
	OnAnswer    func(answer *api.Answer) // called once, with the dispatch lock held; may be nil
	Done        chan struct{}            // closed once Answer is set
}

// Decided reports whether the job has its final answer.
func (j *Job) Decided() bool {
	return j.Answer != nil
}
