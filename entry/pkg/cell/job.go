package cell

import (
	"cmp"
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/interference"
	"chervilusher.dev/entry/pkg/share"
)

// TaskState is the state of a task.
type TaskState int

// States of a task.
const (
	Waiting TaskState = iota
	Started           // a start was sent and its run has not ended yet
	Done
	Dropped // it will not be started again
)

// Job is a set of independent tasks with one answer, for which the caller waits at the job's home.
type Job struct {
	ID              string // chosen by the caller
	Home            string // host that answers the caller
	HomeIncarnation string
	Queue           string
	Group           string // of workers that may run it
	Spec            string
	Attempts        int // failed runs of a task before the job fails
	Priority        int // 0 is the highest
	Arrived         time.Time
	Objective       time.Time // an answer after this time has less value
	Deadline        time.Time // the caller stops waiting at this time
	StartBy         time.Time // latest time of the first start
	Call            int64     // number of the home's call; zero if the home does not report its open calls
	SentAt          time.Time // when the home sent that call, on its clock
	WantedAt        time.Time // when the home was last known to wait for the answer
	Tasks           []*Task
	Diagnostics     Diagnostics

	predecessor *Job               // earlier job of the same identifier; this one waits until no run of it is left
	began       bool               // the predecessor has been started
	startedAt   time.Time          // when the first start was sent
	sharedRuns  []interference.Run // of its tasks that are done
	answer      *Answer
	answeredAt  time.Time
	seq         int64
	listed      bool // among the waiting jobs
	moved       bool // and not in its place there
	factor      *queueFactor
	kind        *kind // while it is listed
	summary     summary
	rank        share.Rank
	charged     float64 // core-seconds that were taken from its queue's share
}

// Diagnostics records for the log how a job was handled.
type Diagnostics struct {
	PredictedDelay time.Duration // predicted wait at submission
	QueueingDelay  time.Duration // time until the first start
	EndedRuns      []EndedRun    // at most maxEndedRuns
	Shortage       *Shortage     // why it was refused; nil otherwise
	StartedLate    bool          // started although it cannot meet its objective
	Share          string        // what its queue's share covered; empty unless its group was short when it came
}

// maxEndedRuns bounds the ended runs that Diagnostics holds.
const maxEndedRuns = 12

// Task is one task of a job.
type Task struct {
	Job      *Job
	Name     string
	Demand   Resources
	Estimate time.Duration // declared by the caller for a worker of typical speed

	state  TaskState
	runs   int     // number of starts
	failed int     // number of failed runs
	began  bool    // a run is known to have begun
	run    *Run    // current run, nil while none can exist
	avoid  *Worker // where the last run failed

	crashes Crashes // of workers, while the task may have been running there
}

// Outcome is the outcome of a job.
type Outcome int

// Outcomes of a job.
const (
	Completed Outcome = iota
	Failed            // a task failed on each attempt
	Refused           // no task was or will be started
	Abandoned         // some of it may have run, and it cannot finish in time
)

// String returns the outcome as logs and metrics show it.
func (o Outcome) String() string {
	return [...]string{"completed", "failed", "refused", "abandoned"}[o]
}

// Answer is the final answer to a job.
type Answer struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration // delay before the caller should retry a refused job
}

// Decided reports whether the job has its answer.
func (j *Job) Decided() bool {
	return j.answer != nil
}

// supersede makes the job wait for an earlier one of the same identifier and continue its run numbers, since workers
// reject a run whose number they have seen.
func (j *Job) supersede(earlier *Job) {
	j.predecessor = earlier
	j.began = earlier.Started()
	j.changed()
	for i := range min(len(j.Tasks), len(earlier.Tasks)) {
		j.Tasks[i].runs = earlier.Tasks[i].runs
	}
}

// running reports whether a run of the job or of its predecessors may exist.
func (j *Job) running() bool {
	if j.predecessor != nil && j.predecessor.running() {
		return true
	}
	for _, task := range j.Tasks {
		if task.run != nil {
			return true
		}
	}
	return false
}

// longestTask returns the task with the largest estimate.
func (j *Job) longestTask() *Task {
	return slices.MaxFunc(j.Tasks, func(a, b *Task) int { return cmp.Compare(a.Estimate, b.Estimate) })
}
