package dispatch

import (
	"container/heap"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// deadlineHeap orders jobs by deadline, the earliest first.
type deadlineHeap struct {
	jobs []*blackboard.Job
}

// Len implements heap.Interface.
func (h *deadlineHeap) Len() int { return len(h.jobs) }

// Less implements heap.Interface.
func (h *deadlineHeap) Less(i, j int) bool { return h.jobs[i].Deadline.Before(h.jobs[j].Deadline) }

// Swap implements heap.Interface.
func (h *deadlineHeap) Swap(i, j int) { h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(job any) { h.jobs = append(h.jobs, job.(*blackboard.Job)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := h.jobs[len(h.jobs)-1]
	h.jobs[len(h.jobs)-1] = nil
	h.jobs = h.jobs[:len(h.jobs)-1]
	return last
}

func (h *deadlineHeap) add(job *blackboard.Job) {
	heap.Push(h, job)
}

// expired removes and returns the jobs whose deadline has passed; decided ones leave the heap at their deadline too.
func (h *deadlineHeap) expired(now time.Time) []*blackboard.Job {
	var expired []*blackboard.Job
	for len(h.jobs) > 0 && !h.jobs[0].Deadline.After(now) {
		expired = append(expired, heap.Pop(h).(*blackboard.Job))
	}
	return expired
}
