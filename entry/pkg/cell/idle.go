package cell

import (
	"math"
	"time"
)

const (
	// idleWindow is how long slots must have been free beside a shortage before a late job may take them.
	idleWindow = 100 * time.Millisecond
	// patienceGain is the weight of a new job in its queue's mean patience.
	patienceGain = 0.05
)

// idleSlots is the least number of a group's slots that were free at any time of the last one to two windows.
type idleSlots struct {
	current, last int
	since         time.Time // start of the current window
}

// least returns that number.
func (s *idleSlots) least() int {
	return min(s.current, s.last)
}

func (s *idleSlots) observe(free int, now time.Time) {
	if now.Sub(s.since) >= idleWindow {
		s.last = s.current
		s.current = math.MaxInt
		if s.since.IsZero() {
			s.last = 0
		}
		s.since = now
	}
	s.current = min(s.current, free)
}

// take removes slots that a late job has taken.
func (s *idleSlots) take(slots int) {
	s.current -= slots
	s.last -= slots
}

// observePatience records a new job of a queue, whose longest task takes that many nanoseconds on a worker of slowness 1.
func (s *groupShares) observePatience(job *Job, length float64) {
	if length > 0 {
		meanOf(s.patience, job.Queue).add(float64(job.Objective.Sub(job.Arrived))/(runSlack*length), patienceGain)
	}
}

// isTooSlow reports whether the worker is too slow for jobs of all queues to be in time.
func (c *Cell) isTooSlow(worker *Worker, shares *groupShares) bool {
	slowness := c.speeds.slowness(worker)
	for _, patience := range shares.patience {
		if slowness <= patience.value {
			return false
		}
	}
	return true
}

// freeSlotsInTime returns the group's slots that are free for a task of mean demand on workers where some job would be in
// time.
func (c *Cell) freeSlotsInTime(group string, shares *groupShares, now time.Time) int {
	demand, known := c.demands[group]
	if !known {
		return 0
	}
	free := 0
	for _, worker := range c.ordered {
		if worker.Group == group && worker.usable(now) && !c.isTooSlow(worker, shares) {
			free += worker.free().Slots(demand.resources())
		}
	}
	return free
}

// isSpared returns which workers a late job must leave free: while its group is short, those where some job would be in time,
// unless enough of their slots stand idle.
func (c *Cell) isSpared(job *Job) func(*Worker) bool {
	shares, ok := c.shares[job.Group]
	if !ok || !shares.ledger.IsShort() || shares.idle.least() >= len(job.Tasks) {
		return func(*Worker) bool { return false }
	}
	return func(worker *Worker) bool { return !c.isTooSlow(worker, shares) }
}

// takeIdle records the slots that a late job has taken.
func (c *Cell) takeIdle(job *Job, plan []*Worker) {
	shares, ok := c.shares[job.Group]
	if !ok {
		return
	}
	for _, worker := range plan {
		if !c.isTooSlow(worker, shares) {
			shares.idle.take(1)
		}
	}
}
