package caller

import (
	"time"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/load/pkg/workload"
)

// Outcome is what became of one job; times count from the experiment's start.
type Outcome struct {
	Job        *workload.Job
	Sent       time.Duration // when the send really began
	Ended      time.Duration // of the final answer
	State      api.State     // empty if no answer came
	Code       api.Code
	Ran        api.Ran
	RetryAfter time.Duration
	Backends   []string // that ran the tasks, if the job is complete
	Foreign    bool     // a result is not this job's own
	Mismatch   bool     // a resubmission got another answer
	Cancelled  time.Duration
}

// Response returns the time from the intended send to the answer.
func (o *Outcome) Response() time.Duration {
	return o.Ended - o.Job.At
}

// InTime reports whether the job was complete within its deadline.
func (o *Outcome) InTime() bool {
	if o.State != api.StateComplete {
		return false
	}
	deadline := o.Job.Class.Deadline.Std()
	return deadline == 0 || o.Response() <= deadline
}
