package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// UnusableReason is why no new run may start at a worker.
type UnusableReason string

// Causes, as logs and metrics name them.
const (
	inUse       UnusableReason = ""
	usedNoMore  UnusableReason = "leaving"
	notHeld     UnusableReason = "not held" // its first report is awaited, or another keeper has it
	unanswered  UnusableReason = "silent"
	unknownRuns UnusableReason = "unknown runs"
	unsureStart UnusableReason = "unsure start"
	failing     UnusableReason = "failing" // or hanging
	homeUnheard UnusableReason = "home unheard"
)

// Shortage is what the workers of a group looked like when a job was refused.
type Shortage struct {
	WaitingTasks    int                    // tasks of the job that waited
	TasksAhead      int                    // tasks that waited before them
	FreeSlots       int                    // room for tasks of that size at workers in use, as far as tasks want it
	UsableWorkers   int                    // workers in use
	UnusableWorkers map[UnusableReason]int // workers that are not
}

// Causes of a refusal, as metrics name them.
const (
	causeForecast = "forecast" // there was room for the job, but others were to get it
	causePieces   = "pieces"   // there was room for a part of the job
	causeFull     = "full"
)

// Cause names what the job was refused for: a forecast in spite of room, room for a part of it, or that most workers of the cell were out of use, or busy.
func (s *Shortage) Cause() string {
	out, most := 0, inUse
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
		return causePieces
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

// shortage returns what the workers look like for a job that is about to be refused.
func (c *Cell) shortage(job *Job, now time.Time) *Shortage {
	found := &Shortage{WaitingTasks: job.waiting(), UnusableWorkers: map[UnusableReason]int{}}
	for _, other := range c.ahead(job) {
		found.TasksAhead += other.waiting()
	}
	need := job.Tasks[0].Demand
	for _, worker := range c.ordered {
		if worker.Group != job.Group {
			continue
		}
		if cause := worker.outOfUse(now); cause != inUse {
			found.UnusableWorkers[cause]++
			continue
		}
		found.UsableWorkers++
		found.FreeSlots += min(worker.free().Times(need), found.WaitingTasks)
	}
	return found
}
