package cell

import (
	"math"
	"time"
)

// load is the work of several tasks.
type load struct {
	tasks int
	work  float64 // nanoseconds
}

func (l *load) add(tasks int, length time.Duration) {
	l.tasks += tasks
	l.work += float64(tasks) * float64(length)
}

func (l load) minus(other load) load {
	return load{l.tasks - other.tasks, l.work - other.work}
}

// pour schedules many tasks at once, as if they were of equal length: the slots that become free first take them all, and
// become free again one after the other within one length.
func (o *outlook) pour(tasks load) {
	if tasks.tasks <= 0 || tasks.work <= 0 {
		return
	}
	length := tasks.work / float64(tasks.tasks)
	if soonest, _ := o.earliest(); len(o.slots) > 0 && o.slots[0].after == soonest && o.slots[0].count >= tasks.tasks {
		o.schedule(tasks.tasks, time.Duration(length))
		return
	}
	for ; len(o.runs) > 0; o.passRun(o.runs[1:]) {
		o.slots = append(o.slots, slot{o.end, 1})
	}
	if len(o.slots) == 0 {
		return
	}
	level, taken := o.level(tasks.work)
	passed := 0
	for i := range o.slots {
		if next := &o.slots[i]; float64(next.after) < level {
			next.after = max(next.after, time.Duration(level+length*((float64(passed)+float64(next.count)/2)/taken-0.5)))
			passed += next.count
		}
	}
	for at := len(o.slots)/2 - 1; at >= 0; at-- {
		o.sink(at)
	}
}

// level returns the mean time after which the slots that take the work are free again, and their number: all that are free
// before.
func (o *outlook) level(work float64) (level, taken float64) {
	level = math.Inf(1)
	for {
		sum := work
		taken = 0
		for _, slot := range o.slots {
			if after := float64(slot.after); after < level {
				sum += after * float64(slot.count)
				taken += float64(slot.count)
			}
		}
		before := level
		if level = sum / taken; level >= before {
			return level, taken
		}
	}
}
