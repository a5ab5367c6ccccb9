package cell

import (
	"slices"
	"time"
)

// joinDelay is the time allowed for the first report of a new worker; a call takes some milliseconds.
const joinDelay = 30 * time.Millisecond

// unknownDelay stands for a delay that cannot be predicted.
const unknownDelay = time.Hour

// outlook predicts when tasks of one demand can start: each slot becomes free after a certain time, and a task that starts
// there occupies it for its run time.
type outlook struct {
	now   time.Time
	slots []slot        // min-heap by time
	runs  []*Run        // by their ends; that of the first one gives a slot
	end   time.Duration // after which it ends
	gives []bool        // by place of a worker, whether each end of a run there gives a slot
}

// slot stands for slots that become free after the same time.
type slot struct {
	after time.Duration
	count int
}

// lookOut returns the outlook for tasks of the job's demand on eligible workers: of all of them if eligible is nil. The
// outlook before is not used any more.
func (c *Cell) lookOut(o *outlook, job *Job, eligible func(*Worker) bool, now time.Time) {
	*o = outlook{now: now, slots: o.slots[:0], runs: c.runEnds.ordered, gives: append(o.gives[:0], make([]bool, len(c.ordered))...)}
	demand := job.Tasks[0].Demand
	free, joining := 0, 0
	for place, worker := range c.ordered {
		worker.place = place
		if worker.Group != job.Group || !worker.Capacity.Fits(demand) || eligible != nil && !eligible(worker) {
			continue
		}
		slots := &free
		switch {
		case worker.joining && !worker.Leaving && !worker.releasing && !worker.evacuated():
			slots = &joining
		case worker.hasLoneRun() && !worker.evacuated() && worker.unusableReason(now) == reasonLoneRun:
			o.add(worker.idleAt(now).Sub(now), worker.Capacity.Slots(demand))
			continue
		case !worker.usableFor(job, now):
			continue
		}
		*slots += worker.free().Slots(demand)
		if worker.free().IsOverdrawn() {
			o.addRoomOfEnds(worker, demand)
		} else {
			o.gives[place] = true
		}
	}
	o.add(0, free)
	o.add(joinDelay, joining)
	o.addEnds(c.runEnds.stopping)
	overdue := 0
	for overdue < len(o.runs) && o.runs[overdue].endsAt.Before(now) {
		overdue++
	}
	o.addEnds(o.runs[:overdue])
	o.passRun(o.runs[overdue:])
}

// counts reports whether the end of the run gives a slot.
func (o *outlook) counts(run *Run) bool {
	return run.Worker.place >= 0 && o.gives[run.Worker.place]
}

// addEnds adds the slots of runs that are not in the order of their ends.
func (o *outlook) addEnds(runs []*Run) {
	for _, run := range runs {
		if o.counts(run) {
			o.add(run.expectedEnd(o.now).Sub(o.now), 1)
		}
	}
}

// addRoomOfEnds adds the slots of a worker whose capacity has shrunk below what is in use: the ends of runs give room only
// from the one on that leaves it.
func (o *outlook) addRoomOfEnds(worker *Worker, demand Resources) {
	free := worker.free()
	runs := worker.sortedRuns()
	slices.SortStableFunc(runs, func(a, b *Run) int { return a.expectedEnd(o.now).Compare(b.expectedEnd(o.now)) })
	for _, run := range runs {
		free = free.Plus(run.Task.Demand)
		if free.Fits(demand) {
			o.add(run.expectedEnd(o.now).Sub(o.now), 1)
		}
	}
}

// passRun goes on to the next run whose end gives a slot.
func (o *outlook) passRun(runs []*Run) {
	for len(runs) > 0 && !o.counts(runs[0]) {
		runs = runs[1:]
	}
	o.runs = runs
	if len(runs) > 0 {
		o.end = runs[0].endsAt.Sub(o.now)
	}
}

// earliest returns the time after which the next slot becomes free, or false if none will.
func (o *outlook) earliest() (time.Duration, bool) {
	switch {
	case len(o.slots) > 0 && (len(o.runs) == 0 || o.slots[0].after <= o.end):
		return o.slots[0].after, true
	case len(o.runs) > 0:
		return o.end, true
	default:
		return unknownDelay, false
	}
}

// schedule starts the given number of tasks one after the other, each in the slot that becomes free first, and returns the
// time after which the last one starts.
func (o *outlook) schedule(tasks int, length time.Duration) time.Duration {
	last := time.Duration(0)
	for tasks > 0 {
		after, ok := o.earliest()
		if !ok {
			return unknownDelay
		}
		last = after
		if len(o.slots) == 0 || o.slots[0].after > after { // the end of a run
			o.passRun(o.runs[1:])
			o.add(after+length, 1)
			tasks--
			continue
		}
		taken := min(tasks, o.slots[0].count)
		tasks -= taken
		if taken == o.slots[0].count {
			o.slots[0].after += length
			o.sink(0)
			continue
		}
		o.slots[0].count -= taken
		o.add(after+length, taken)
	}
	return last
}

// add adds slots to the heap.
func (o *outlook) add(after time.Duration, count int) {
	if count <= 0 {
		return
	}
	o.slots = append(o.slots, slot{after, count})
	for at := len(o.slots) - 1; at > 0; {
		parent := (at - 1) / 2
		if o.slots[parent].after <= o.slots[at].after {
			return
		}
		o.slots[parent], o.slots[at] = o.slots[at], o.slots[parent]
		at = parent
	}
}

// sink restores the heap after the slots at the given place have become later.
func (o *outlook) sink(at int) {
	sunk := o.slots[at]
	for {
		first := 2*at + 1
		if first >= len(o.slots) {
			break
		}
		if second := first + 1; second < len(o.slots) && o.slots[second].after < o.slots[first].after {
			first = second
		}
		if sunk.after <= o.slots[first].after {
			break
		}
		o.slots[at] = o.slots[first]
		at = first
	}
	o.slots[at] = sunk
}
