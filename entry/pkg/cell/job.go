package cell

import (
	"cmp"
	"slices"
	"time"
)

// TaskState is where a task stands.
type TaskState int

// States of a task.
const (
	Waiting TaskState = iota
	Started           // a start was sent, and its run has not ended yet
	Done
	Dropped // it will not start any more
)

// Job is a set of independent tasks with one answer, whose caller waits at its home.
type Job struct {
	ID              string // chosen by the caller
	Home            string // host that answers the caller
	HomeIncarnation string // incarnation of the home
	Queue           string
	Group           string // workers that may run it
	Spec            string
	Attempts        int // runs of a task that may fail
	Priority        int // 0 comes first
	Arrived         time.Time
	Objective       time.Time // until when the answer is worth most
	Deadline        time.Time // until when the caller waits
	StartBy         time.Time // until when the job may wait for its first start
	Tasks           []*Task
	Diagnostics     Diagnostics

	earlier *Job // of the same identifier; this one waits until nothing of it runs
	began   bool // something of the earlier one has run
	answer  *Answer
	seq     int64
}

// Diagnostics tells what became of a job, for the log.
type Diagnostics struct {
	PredictedDelay time.Duration // wait that was foreseen when the job came
	QueueingDelay  time.Duration // until the first start
	EndedRuns      []EndedRun    // the first few
	Shortage       *Shortage     // why it was refused; nil otherwise
	StartedLate    bool          // it was started though it cannot make its objective
}

// maxTraced bounds the ends that a trace holds.
const maxTraced = 12

// Task is one task of a job.
type Task struct {
	Job      *Job
	Name     string
	Demand   Resources
	Estimate time.Duration // declared by the caller for a worker of usual speed

	state  TaskState
	runs   int     // starts so far
	failed int     // runs that ended as failed
	began  bool    // a run of it has begun for certain
	run    *Run    // the present run, nil while none may exist
	avoid  *Worker // where the last run failed
}

// Outcome is how a job ended.
type Outcome int

// Outcomes of a job.
const (
	Completed Outcome = iota
	Failed            // a task used its attempts up
	Refused           // nothing of the job has started or will
	Abandoned         // some of it ran, and it cannot end in time
)

// String returns the outcome as logs and metrics name it.
func (o Outcome) String() string {
	return [...]string{"completed", "failed", "refused", "abandoned"}[o]
}

// Answer is the final answer to a job.
type Answer struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration // when the caller should come back, after Refused
}

// Decided reports whether the job has its answer.
func (j *Job) Decided() bool {
	return j.answer != nil
}

// Started reports whether a start was sent that may have been carried out.
func (j *Job) Started() bool {
	if j.began {
		return true
	}
	for _, task := range j.Tasks {
		if task.began || task.run != nil {
			return true
		}
	}
	return false
}

// follow makes the job wait for an earlier one of the same identifier and go on with its numbers, since workers refuse a run whose number they have seen.
func (j *Job) follow(earlier *Job) {
	j.earlier = earlier
	j.began = earlier.Started()
	for i := range min(len(j.Tasks), len(earlier.Tasks)) {
		j.Tasks[i].runs = earlier.Tasks[i].runs
	}
}

// running reports whether a run of the job, or of an earlier one of its identifier, may exist.
func (j *Job) running() bool {
	if j.earlier != nil && j.earlier.running() {
		return true
	}
	for _, task := range j.Tasks {
		if task.run != nil {
			return true
		}
	}
	return false
}

// waiting returns how many tasks wait for a start.
func (j *Job) waiting() int {
	count := 0
	for _, task := range j.Tasks {
		if task.state == Waiting {
			count++
		}
	}
	return count
}

// longest returns the largest estimate among the tasks that have not ended.
func (j *Job) longest() time.Duration {
	longest := time.Duration(0)
	for _, task := range j.Tasks {
		if task.state == Waiting || task.state == Started {
			longest = max(longest, task.Estimate)
		}
	}
	return longest
}

// longestTask returns the task with the largest estimate.
func (j *Job) longestTask() *Task {
	return slices.MaxFunc(j.Tasks, func(a, b *Task) int { return cmp.Compare(a.Estimate, b.Estimate) })
}
