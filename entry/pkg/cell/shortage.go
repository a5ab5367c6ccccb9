package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// UnusableReason is why no new run may start on a worker.
type UnusableReason string

// Reasons, as logs and metrics show them.
const (
	reasonNone             UnusableReason = ""
	reasonLeaving          UnusableReason = "leaving"
	reasonNotHeld          UnusableReason = "not held" // its first report is pending, or another keeper holds it
	reasonUnresponsive     UnusableReason = "silent"
	reasonUnknownRuns      UnusableReason = "unknown runs"
	reasonUnconfirmedStart UnusableReason = "unsure start"
	reasonFailing          UnusableReason = "failing"     // or hanging
	reasonShortLease       UnusableReason = "short lease" // limited by a run whose home is silent or whose stop is unconfirmed
	reasonLoneRun          UnusableReason = "lone run"    // it runs a task under which a worker has crashed
	reasonEvacuated        UnusableReason = "evacuated"
)

// Shortage describes the state of a group's workers when a job was refused.
type Shortage struct {
	WaitingTasks    int // of the job
	TasksAhead      int // waiting before them
	FreeSlots       int // slots for such tasks on usable workers, at most WaitingTasks each
	UsableWorkers   int
	UnusableWorkers map[UnusableReason]int // by reason
}

// Causes of a refusal, as metrics show them.
const (
	causeForecast = "forecast" // enough slots were free, but for jobs ahead
	causePartial  = "pieces"   // slots were free for a part of the job
	causeFull     = "full"
)

// Cause returns the cause of the refusal: the forecast although slots were free, too few free slots, the most frequent
// reason if most workers were unusable, or busy workers.
func (s *Shortage) Cause() string {
	out, most := 0, reasonNone
	for cause, count := range s.UnusableWorkers {
		out += count
		if count > s.UnusableWorkers[most] || (count == s.UnusableWorkers[most] && cause < most) {
			most = cause
		}
	}
	switch {
	case s.FreeSlots >= s.WaitingTasks:
		return causeForecast
	case out > s.UsableWorkers:
		return string(most)
	case s.FreeSlots > 0:
		return causePartial
	default:
		return causeFull
	}
}

// String returns the shortage as logs show it.
func (s *Shortage) String() string {
	parts := []string{fmt.Sprintf("wanted %d, ahead %d, free %d, workers in use %d", s.WaitingTasks, s.TasksAhead, s.FreeSlots, s.UsableWorkers)}
	for cause, count := range s.UnusableWorkers {
		parts = append(parts, fmt.Sprintf("%s %d", cause, count))
	}
	slices.Sort(parts[1:])
	return strings.Join(parts, ", ")
}

// refusal is why a job is refused and how long it would have waited.
type refusal struct {
	shortage *Shortage
	delay    time.Duration
}

func (c *Cell) refusalOf(job *Job, now time.Time) refusal {
	return refusal{c.shortage(job, now), c.predictDelay(job, now)}
}

// sharedRefusalOf returns the refusal of the first of the jobs that are given up in the present pass, of those of one kind
// and width: each of them costs no more than its answer.
func (c *Cell) sharedRefusalOf(job *Job, now time.Time) refusal {
	k := job.kind
	if k.begin(c.pass); k.refusal.shortage == nil || k.refusal.shortage.WaitingTasks != job.waiting() {
		k.refusal = c.refusalOf(job, now)
	}
	return k.refusal
}

// shortage returns the state of the workers for a job that is about to be refused.
func (c *Cell) shortage(job *Job, now time.Time) *Shortage {
	found := &Shortage{WaitingTasks: job.waiting(), TasksAhead: c.loadAhead(job, now).tasks, UnusableWorkers: map[UnusableReason]int{}}
	demand := job.Tasks[0].Demand
	for _, worker := range c.ordered {
		if worker.Group != job.Group {
			continue
		}
		if cause := worker.unusableReason(now); cause != reasonNone {
			found.UnusableWorkers[cause]++
			continue
		}
		found.UsableWorkers++
		found.FreeSlots += min(worker.free().Slots(demand), found.WaitingTasks)
	}
	return found
}
