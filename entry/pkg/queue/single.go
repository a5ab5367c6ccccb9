package queue

import (
	"container/list"

	"chervilusher.dev/entry/pkg/blackboard"
)

// FIFO is a first-in, first-out queue for all accounts and classes; it serves as the baseline.
type FIFO struct {
	waiting  *list.List
	elements map[*blackboard.Task]*list.Element
}

// NewFIFO returns an empty queue.
func NewFIFO() *FIFO {
	return &FIFO{waiting: list.New(), elements: map[*blackboard.Task]*list.Element{}}
}

// Push appends a task.
func (s *FIFO) Push(task *blackboard.Task) {
	s.elements[task] = s.waiting.PushBack(task)
}

// Pop removes and returns the first task if it fits, or nil.
func (s *FIFO) Pop(fits func(task *blackboard.Task) bool) *blackboard.Task {
	front := s.waiting.Front()
	if front == nil {
		return nil
	}
	task := front.Value.(*blackboard.Task)
	long := task.Long
	fitting := fits(task)
	if task.Long != long {
		// fits has just changed the class, which does not matter to a single queue.
		fitting = fits(task)
	}
	if !fitting {
		return nil
	}
	s.Remove(task)
	return task
}

// Remove removes a task and reports whether it was queued.
func (s *FIFO) Remove(task *blackboard.Task) bool {
	element, ok := s.elements[task]
	if !ok {
		return false
	}
	s.waiting.Remove(element)
	delete(s.elements, task)
	return true
}

// Each visits every queued task in order.
func (s *FIFO) Each(visit func(task *blackboard.Task)) {
	for element := s.waiting.Front(); element != nil; element = element.Next() {
		visit(element.Value.(*blackboard.Task))
	}
}

// Len returns the number of queued tasks.
func (s *FIFO) Len() int {
	return len(s.elements)
}
