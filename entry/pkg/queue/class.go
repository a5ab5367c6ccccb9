package queue

import (
	"math"
	"strings"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/api"
)

// Task classes within a client account.
const (
	urgentShort = iota
	urgentLong
	normalShort
	normalLong
	classCount
)

func classOf(task *blackboard.Task) int {
	class := normalShort
	if task.Job.Urgent {
		class = urgentShort
	}
	if task.Long {
		class++
	}
	return class
}

// maxReclassified bounds how many tasks one call moves to another class.
const maxReclassified = 16

// popShortAndLong removes and returns the first task of either class that fits.
// A long task goes after short ones that arrived up to its own run time later.
func (s *share) popShortAndLong(short, long int, fits func(task *blackboard.Task) bool) *blackboard.Task {
	s.classes[short].resetTried()
	s.classes[long].resetTried()
	for moves := 0; ; {
		lane := earlierLane(s.classes[short].nextLane(), s.classes[long].nextLane())
		if lane == nil {
			return nil
		}
		waiting := lane.head
		if fits(waiting.task) {
			lane.remove(waiting)
			return waiting.task
		}
		if class := classOf(waiting.task); &s.classes[class] != lane.class && moves < maxReclassified {
			lane.remove(waiting)
			s.classes[class].push(waiting.task)
			moves++
			continue
		}
		lane.tried = true
	}
}

// class holds the queued tasks of one client account and class, in lanes of tasks that fit the same back ends.
type class struct {
	lanes    map[laneKey]*lane
	laneList []*lane
}

// laneKey holds the requirements that decide which back ends fit; resources are rounded up to bound the lanes.
type laneKey struct {
	domains      string
	cores        int
	memory       int
	accelerators int
	avoid        *blackboard.Backend
}

func laneKeyOf(task *blackboard.Task) laneKey {
	return laneKey{
		domains:      strings.Join(task.Target.FailureDomains, " "),
		cores:        magnitude(task.Need.Cores),
		memory:       magnitude(float64(task.Need.Memory)),
		accelerators: task.Need.Accelerators,
		avoid:        task.Avoid,
	}
}

// magnitude returns the binary order of magnitude of a demand, or 0 for none.
func magnitude(need float64) int {
	if need <= 0 {
		return 0
	}
	return 1 + max(0, int(math.Ceil(math.Log2(need))))
}

func (c *class) push(task *blackboard.Task) {
	key := laneKey{}
	if task.Need != (api.Need{}) || len(task.Target.FailureDomains) > 0 || task.Avoid != nil {
		key = laneKeyOf(task)
	}
	found, ok := c.lanes[key]
	if !ok {
		found = &lane{class: c, key: key, index: len(c.laneList)}
		if c.lanes == nil {
			c.lanes = map[laneKey]*lane{}
		}
		c.lanes[key] = found
		c.laneList = append(c.laneList, found)
	}
	found.push(task)
}

func (c *class) each(visit func(task *blackboard.Task)) {
	for _, lane := range c.laneList {
		for waiting := lane.head; waiting != nil; waiting = waiting.next {
			visit(waiting.task)
		}
	}
}

// resetTried makes every lane a candidate again.
func (c *class) resetTried() {
	for _, lane := range c.laneList {
		lane.tried = false
	}
}

// nextLane returns the untried lane whose head has the earliest virtual arrival, or nil.
func (c *class) nextLane() *lane {
	var first *lane
	for _, lane := range c.laneList {
		if !lane.tried {
			first = earlierLane(first, lane)
		}
	}
	return first
}

func earlierLane(one, other *lane) *lane {
	switch {
	case one == nil:
		return other
	case other == nil:
		return one
	case virtualArrival(other.head.task).Before(virtualArrival(one.head.task)):
		return other
	default:
		return one
	}
}

// virtualArrival orders an account's tasks: a long task counts as queued later by its expected run time.
func virtualArrival(task *blackboard.Task) time.Time {
	if task.Long {
		return task.Queued.Add(task.Expected)
	}
	return task.Queued
}

// lane is a doubly linked FIFO list of queued tasks.
type lane struct {
	class *class
	key   laneKey
	index int // in laneList
	tried bool
	head  *node
	tail  *node
}

type node struct {
	task *blackboard.Task
	lane *lane
	next *node
	prev *node
}

func (l *lane) push(task *blackboard.Task) {
	added := &node{task: task, lane: l, prev: l.tail}
	task.Node = added
	if l.tail == nil {
		l.head = added
	} else {
		l.tail.next = added
	}
	l.tail = added
}

// remove unlinks the node, and removes the lane from its class if it is empty.
func (l *lane) remove(removed *node) {
	removed.task.Node = nil
	if removed.prev == nil {
		l.head = removed.next
	} else {
		removed.prev.next = removed.next
	}
	if removed.next == nil {
		l.tail = removed.prev
	} else {
		removed.next.prev = removed.prev
	}
	removed.next, removed.prev = nil, nil
	if l.head == nil {
		l.class.removeLane(l)
	}
}

func (c *class) removeLane(empty *lane) {
	delete(c.lanes, empty.key)
	last := len(c.laneList) - 1
	c.laneList[empty.index] = c.laneList[last]
	c.laneList[empty.index].index = empty.index
	c.laneList[last] = nil
	c.laneList = c.laneList[:last]
}
