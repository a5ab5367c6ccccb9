package queue

import (
	"container/list"

	"chervilusher.dev/entry/pkg/blackboard"
)

// FIFO is one first-in, first-out queue for all owners and classes; it is the baseline.
type FIFO struct {
	waiting  *list.List
	elements map[*blackboard.Task]*list.Element
}

// NewFIFO returns an empty queue.
func NewFIFO() *FIFO {
	return &FIFO{waiting: list.New(), elements: map[*blackboard.Task]*list.Element{}}
}

// Push adds a task at the end.
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
		// Its class was learnt just now, which changes nothing of its turn here.
		fitting = fits(task)
	}
	if !fitting {
		return nil
	}
	s.Remove(task)
	return task
}

// Remove takes a task out, and reports whether it was in the queue.
func (s *FIFO) Remove(task *blackboard.Task) bool {
	element, ok := s.elements[task]
	if !ok {
		return false
	}
	s.waiting.Remove(element)
	delete(s.elements, task)
	return true
}

// Each shows every waiting task, first come first.
func (s *FIFO) Each(visit func(task *blackboard.Task)) {
	for element := s.waiting.Front(); element != nil; element = element.Next() {
		visit(element.Value.(*blackboard.Task))
	}
}

// Len returns how many tasks wait.
func (s *FIFO) Len() int {
	return len(s.elements)
}
