package dispatch

import (
	"container/heap"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// deadlineHeap orders jobs by deadline, the earliest first.
type deadlineHeap struct {
	jobs    []*blackboard.Job
	decided int // jobs still in the heap that already have an answer
}

// minSweepSize is the smallest heap from which decided jobs are removed before their deadline.
const minSweepSize = 1024

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

// markDecided counts a decided job and rebuilds the heap without decided jobs once they are half of it.
func (h *deadlineHeap) markDecided() {
	h.decided++
	if len(h.jobs) < minSweepSize || h.decided*2 < len(h.jobs) {
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
	var expiredAnswer []*blackboard.Job
	for len(h.jobs) > 0 && !h.jobs[0].Deadline.After(now) {
		job := heap.Pop(h).(*blackboard.Job)
		if job.Decided() {
			h.decided--
			continue
		}
		expiredAnswer = append(expiredAnswer, job)
	}
	return expiredAnswer
}
