package dispatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/api"
)

const (
	// taskBytes is what a task takes beside its payload.
	taskBytes = 1 << 10
	// smallJobBytes is the size up to which a job may use the part of the memory that is kept for small ones.
	smallJobBytes = 32 << 10
	// retryAfterMemory is the retry-after time while the jobs at this host take all memory for them.
	retryAfterMemory = time.Second
)

var memoryRefusedTotal = metrics.NewCounter(`chervilusher_memory_refused_total{part="engine"}`)

// takeMemory reserves the memory of a job until none of its tasks waits or runs, or refuses the job.
func (e *Engine) takeMemory(job *blackboard.Job) *Refusal {
	job.Bytes = 0
	for _, task := range job.Tasks {
		job.Bytes += taskBytes + int64(len(task.Payload))
	}
	if !e.memory.TryTake(job.Bytes) {
		memoryRefusedTotal.Inc()
		return &Refusal{Code: api.CodeUnavailable, Reason: "this host has as many jobs as it can hold", RetryAfter: retryAfterMemory}
	}
	job.Unsettled = len(job.Tasks)
	return nil
}

// settle ends a task and drops its payload; the last one of a job gives the job's memory back.
func (e *Engine) settle(task *blackboard.Task, state blackboard.TaskState) {
	task.State = state
	task.Payload = nil
	task.Job.Unsettled--
	if task.Job.Unsettled == 0 {
		e.memory.Release(task.Job.Bytes)
	}
}
