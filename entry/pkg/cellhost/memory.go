package cellhost

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

const (
	// homeTaskBytes is what a task takes at its job's home, with its copy in a message to a keeper.
	homeTaskBytes = 512
	// keeperTaskBytes is what a task takes at a keeper while it waits, is started, runs and is stopped; each order to a worker
	// has a goroutine of its own.
	keeperTaskBytes = 4 << 10
	// smallJobBytes is the size up to which a job may use the part of the memory that is kept for small ones.
	smallJobBytes = 128 << 10
	// memoryRetry is when to come back to a host whose memory for jobs is taken.
	memoryRetry = time.Second
)

var (
	homeMemoryRefused   = metrics.NewCounter(`chervilusher_memory_refused_total{part="home"}`)
	keeperMemoryRefused = metrics.NewCounter(`chervilusher_memory_refused_total{part="keeper"}`)
)

// memory returns the bytes that the submission takes at its home.
func (s *Submission) memory() int64 {
	return int64(len(s.Spec)) + homeTaskBytes*int64(len(s.Tasks))
}

// memoryOf returns the bytes that a job takes at its keeper.
func memoryOf(request *peer.RunRequest) int64 {
	return int64(len(request.Spec)) + keeperTaskBytes*int64(len(request.Tasks))
}

// refuseForMemory refuses a job for which this host has no memory left; no keeper was asked.
func (h *HomeController) refuseForMemory(submission *Submission) *cell.Answer {
	homeMemoryRefused.Inc()
	h.common.Log.WithField("job", submission.ID).WithField("tasks", len(submission.Tasks)).Info("refused a job, as this host can hold no more")
	return &cell.Answer{Outcome: cell.Refused, Reason: "this host has as many jobs as it can hold", RetryAfter: memoryRetry}
}

// declineForMemory declines a job for which this keeper has no memory left, unless an earlier request for it may have started
// some of it here, which nobody may refuse then.
func (k *KeeperController) declineForMemory(request *peer.RunRequest) *peer.RunResponse {
	keeperMemoryRefused.Inc()
	k.common.Log.WithField("job", request.ID).WithField("home", request.Home).WithField("tasks", len(request.Tasks)).
		Info("declined a job, as this host can hold no more")
	if k.mayHaveStarted(request) {
		return &peer.RunResponse{Outcome: cell.Abandoned, Reason: "the keeper can hold no more jobs, and an earlier start may still be carried out"}
	}
	return &peer.RunResponse{Declined: true, Reason: "the keeper has as many jobs as it can hold"}
}

// mayHaveStarted reports whether an earlier request for the job may have started a task of it here.
func (k *KeeperController) mayHaveStarted(request *peer.RunRequest) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.common.Clock.Now()
	return k.cell.HasJob(request.ID) || slices.ContainsFunc(request.Tasks, func(task peer.RunTask) bool {
		return k.cell.MayStartTaskLate(task.Name, now)
	})
}
