package dispatch

import (
	"container/heap"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// deadlineHeap orders jobs by deadline, the earliest first.
type deadlineHeap struct {
	jobs    []*blackboard.Job
	decided int // how many of them no longer need it
}

// sweepSize is the smallest heap that decided jobs are swept from before their deadline.
const sweepSize = 1024

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

// leave counts a job that was decided, and sweeps such jobs out once they are half of all.
func (h *deadlineHeap) leave() {
	h.decided++
	if len(h.jobs) < sweepSize || h.decided*2 < len(h.jobs) {
		return
	}
	kept := h.jobs[:0]
	for _, job := range h.jobs {
		if !job.Decided() {
			kept = append(kept, job)
		}
	}
	clear(h.jobs[len(kept):])
	h.jobs = kept
	h.decided = 0
	heap.Init(h)
}

// expired removes and returns the undecided jobs whose deadline has passed.
func (h *deadlineHeap) expired(now time.Time) []*blackboard.Job {
	var expired []*blackboard.Job
	for len(h.jobs) > 0 && !h.jobs[0].Deadline.After(now) {
		job := heap.Pop(h).(*blackboard.Job)
		if job.Decided() {
			h.decided--
			continue
		}
		expired = append(expired, job)
	}
	return expired
}
