package cell

import (
	"slices"
	"time"
)

// runEnds holds all runs by when they are expected to end.
type runEnds struct {
	ordered  []*Run // by endsAt
	stopping []*Run // whose ends follow their stops
}

// add adds a run that was started.
func (e *runEnds) add(run *Run) {
	run.endsAt = run.sentAt.Add(run.expected)
	at, _ := slices.BinarySearchFunc(e.ordered, run.endsAt, byEnd)
	e.ordered = slices.Insert(e.ordered, at, run)
}

// stop moves a run that is stopped for the first time.
func (e *runEnds) stop(run *Run) {
	if e.drop(run) {
		e.stopping = append(e.stopping, run)
	}
}

// remove removes a run that has ended.
func (e *runEnds) remove(run *Run) {
	if e.drop(run) {
		return
	}
	if at := slices.Index(e.stopping, run); at >= 0 {
		e.stopping = slices.Delete(e.stopping, at, at+1)
	}
}

// drop removes a run that is not stopped, and reports whether it was there.
func (e *runEnds) drop(run *Run) bool {
	at, _ := slices.BinarySearchFunc(e.ordered, run.endsAt, byEnd)
	for ; at < len(e.ordered) && e.ordered[at].endsAt.Equal(run.endsAt); at++ {
		if e.ordered[at] == run {
			e.ordered = slices.Delete(e.ordered, at, at+1)
			return true
		}
	}
	return false
}

func byEnd(run *Run, at time.Time) int {
	return run.endsAt.Compare(at)
}

// expectedEnd returns when the run is expected to end; an overdue run is expected to take half as long again.
func (r *Run) expectedEnd(now time.Time) time.Time {
	if r.stopping {
		return now.Add(lapseMargin)
	}
	end := r.sentAt.Add(r.expected)
	if end.Before(now) {
		return now.Add(now.Sub(r.sentAt) / 2)
	}
	return end
}
