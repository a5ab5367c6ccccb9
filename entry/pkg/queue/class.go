package queue

import (
	"math"
	"strings"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/api"
)

// The classes of an owner's work.
const (
	urgentShort = iota
	urgentLong
	normalShort
	normalLong
	classes
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

// maxMoves bounds how many tasks one call moves to another class.
const maxMoves = 16

// popShortAndLong removes and returns the first task of either class that fits; a long task goes behind short ones that came up to its own run time later.
func (s *share) popShortAndLong(short, long int, fits func(task *blackboard.Task) bool) *blackboard.Task {
	s.classes[short].retry()
	s.classes[long].retry()
	for moves := 0; ; {
		lane := earlier(s.classes[short].first(), s.classes[long].first())
		if lane == nil {
			return nil
		}
		waiting := lane.head
		if fits(waiting.task) {
			lane.remove(waiting)
			return waiting.task
		}
		if class := classOf(waiting.task); &s.classes[class] != lane.class && moves < maxMoves {
			lane.remove(waiting)
			s.classes[class].push(waiting.task)
			moves++
			continue
		}
		lane.tried = true
	}
}

// class holds the waiting tasks of one owner and class in lanes of tasks that fit the same back ends.
type class struct {
	lanes map[laneKey]*lane
	list  []*lane
}

// laneKey tells which back ends a task fits; needs are rounded up so that there are few lanes.
type laneKey struct {
	places       string
	cores        int
	memory       int
	accelerators int
	avoid        *blackboard.Backend
}

func keyOf(task *blackboard.Task) laneKey {
	return laneKey{
		places:       strings.Join(task.Target.FailureDomains, " "),
		cores:        magnitude(task.Need.Cores),
		memory:       magnitude(float64(task.Need.Memory)),
		accelerators: task.Need.Accelerators,
		avoid:        task.Avoid,
	}
}

// magnitude returns the binary order of magnitude of a need; zero needs nothing.
func magnitude(need float64) int {
	if need <= 0 {
		return 0
	}
	return 1 + max(0, int(math.Ceil(math.Log2(need))))
}

func (c *class) push(task *blackboard.Task) {
	key := laneKey{}
	if task.Need != (api.Need{}) || len(task.Target.FailureDomains) > 0 || task.Avoid != nil {
		key = keyOf(task)
	}
	found, ok := c.lanes[key]
	if !ok {
		found = &lane{class: c, key: key, place: len(c.list)}
		if c.lanes == nil {
			c.lanes = map[laneKey]*lane{}
		}
		c.lanes[key] = found
		c.list = append(c.list, found)
	}
	found.push(task)
}

func (c *class) each(visit func(task *blackboard.Task)) {
	for _, lane := range c.list {
		for waiting := lane.head; waiting != nil; waiting = waiting.next {
			visit(waiting.task)
		}
	}
}

// retry makes every lane worth asking again.
func (c *class) retry() {
	for _, lane := range c.list {
		lane.tried = false
	}
}

// first returns the lane whose head is due first among those that were not tried, or nil.
func (c *class) first() *lane {
	var first *lane
	for _, lane := range c.list {
		if !lane.tried {
			first = earlier(first, lane)
		}
	}
	return first
}

func earlier(one, other *lane) *lane {
	switch {
	case one == nil:
		return other
	case other == nil:
		return one
	case due(other.head.task).Before(due(one.head.task)):
		return other
	default:
		return one
	}
}

// due orders tasks of one owner: a long task counts as queued later by its own run time.
func due(task *blackboard.Task) time.Time {
	if task.Long {
		return task.Queued.Add(task.Expected)
	}
	return task.Queued
}

// lane is a doubly linked list of waiting tasks, the first to come at its head.
type lane struct {
	class *class
	key   laneKey
	place int // in the class's list
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

// remove takes the node out, and the lane out of its class when it is empty.
func (l *lane) remove(gone *node) {
	gone.task.Node = nil
	if gone.prev == nil {
		l.head = gone.next
	} else {
		gone.prev.next = gone.next
	}
	if gone.next == nil {
		l.tail = gone.prev
	} else {
		gone.next.prev = gone.prev
	}
	gone.next, gone.prev = nil, nil
	if l.head == nil {
		l.class.drop(l)
	}
}

func (c *class) drop(empty *lane) {
	delete(c.lanes, empty.key)
	last := len(c.list) - 1
	c.list[empty.place] = c.list[last]
	c.list[empty.place].place = empty.place
	c.list[last] = nil
	c.list = c.list[:last]
}
