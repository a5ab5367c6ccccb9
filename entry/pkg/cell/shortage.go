package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Disuse is why no new run may start at a worker.
type Disuse string

// Causes, as logs and metrics name them.
const (
	inUse       Disuse = ""
	usedNoMore  Disuse = "leaving"
	notHeld     Disuse = "not held" // its first report is awaited, or another keeper has it
	unanswered  Disuse = "silent"
	unknownRuns Disuse = "unknown runs"
	unsureStart Disuse = "unsure start"
	failing     Disuse = "failing" // or hanging
	homeUnheard Disuse = "home unheard"
)

// Shortage is what the workers of a group looked like when a job was refused.
type Shortage struct {
	Wanted int            // tasks of the job that waited
	Ahead  int            // tasks that waited before them
	Free   int            // room for tasks of that size at workers in use, as far as tasks want it
	Used   int            // workers in use
	Out    map[Disuse]int // workers that are not
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
	for cause, count := range s.Out {
		out += count
		if count > s.Out[most] || (count == s.Out[most] && cause < most) {
			most = cause
		}
	}
	switch {
	case s.Free >= s.Wanted:
		return causeForecast
	case out > s.Used:
		return string(most)
	case s.Free > 0:
		return causePieces
	default:
		return causeFull
	}
}

// String returns the shortage as logs show it.
func (s *Shortage) String() string {
	parts := []string{fmt.Sprintf("wanted %d, ahead %d, free %d, workers in use %d", s.Wanted, s.Ahead, s.Free, s.Used)}
	for cause, count := range s.Out {
		parts = append(parts, fmt.Sprintf("%s %d", cause, count))
	}
	slices.Sort(parts[1:])
	return strings.Join(parts, ", ")
}

// shortage returns what the workers look like for a job that is about to be refused.
func (c *Cell) shortage(job *Job, now time.Time) *Shortage {
	found := &Shortage{Wanted: job.waiting(), Out: map[Disuse]int{}}
	for _, other := range c.ahead(job) {
		found.Ahead += other.waiting()
	}
	need := job.Tasks[0].Need
	for _, worker := range c.ordered {
		if worker.Group != job.Group {
			continue
		}
		if cause := worker.outOfUse(now); cause != inUse {
			found.Out[cause]++
			continue
		}
		found.Used++
		found.Free += min(worker.free().Times(need), found.Wanted)
	}
	return found
}
