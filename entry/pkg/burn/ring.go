package burn

import (
	"time"

	"chervilusher.dev/lib/api"
)

// counts are the answers of one step; 32 bits hold 14 million answers a second over 5 minutes.
type counts struct {
	good uint32
	bad  uint32
}

// ring counts answers in steps of equal length and forgets those that are older than it is long.
type ring struct {
	step  time.Duration
	steps []counts
	head  int64 // number of the newest step since the epoch
}

// newRing returns a ring that covers at least the length.
func newRing(step, length time.Duration) *ring {
	return &ring{step: step, steps: make([]counts, int(length/step)+1)}
}

func (r *ring) add(now time.Time, good bool) {
	r.advance(now)
	slot := &r.steps[r.head%int64(len(r.steps))]
	if good {
		slot.good++
		return
	}
	slot.bad++
}

// advance clears the steps that pass between the newest one and now; a clock that stepped back stays in the newest.
func (r *ring) advance(now time.Time) {
	number := now.UnixNano() / int64(r.step)
	if number-r.head >= int64(len(r.steps)) {
		clear(r.steps)
		r.head = number
		return
	}
	for r.head < number {
		r.head++
		r.steps[r.head%int64(len(r.steps))] = counts{}
	}
}

// sum counts the answers of the last steps that make up the length, the one that runs among them.
func (r *ring) sum(now time.Time, length time.Duration) api.BurnCounts {
	r.advance(now)
	var total api.BurnCounts
	for i := range min(int64(length/r.step), int64(len(r.steps))) {
		slot := r.steps[(r.head-i)%int64(len(r.steps))]
		total.Good += int64(slot.good)
		total.Bad += int64(slot.bad)
	}
	return total
}

// points returns the steps within the length that have answers, joined to wider ones, oldest first.
func (r *ring) points(now time.Time, length, width time.Duration) []api.BurnPoint {
	r.advance(now)
	var points []api.BurnPoint
	for i := min(int64(length/r.step), int64(len(r.steps))) - 1; i >= 0; i-- {
		slot := r.steps[(r.head-i)%int64(len(r.steps))]
		if slot == (counts{}) {
			continue
		}
		start := time.Unix(0, (r.head-i)*int64(r.step)).UTC().Truncate(width)
		if last := len(points) - 1; last < 0 || !points[last].Time.Equal(start) {
			points = append(points, api.BurnPoint{Time: start})
		}
		last := &points[len(points)-1]
		last.Good += int64(slot.good)
		last.Bad += int64(slot.bad)
	}
	return points
}
