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

// memoryOf returns the bytes that a job takes at its keeper.
func memoryOf(request *peer.RunRequest) int64 {
	return int64(len(request.Spec)) + keeperTaskBytes*int64(len(request.Tasks))
}

// Reserve takes the memory for a job whose description has so many bytes, until release is called, or refuses the job. One that is
// open for an earlier request is left to Serve, since some of it may have started.
func (h *HomeController) Reserve(id string, spec, tasks int) (release func(), refusal *cell.Answer) {
	bytes := int64(spec) + homeTaskBytes*int64(tasks)
	if h.isOpen(id) {
		return func() {}, nil
	}
	if h.memory.TryTake(bytes) {
		return func() { h.memory.Release(bytes) }, nil
	}
	homeMemoryRefused.Inc()
	h.common.Log.WithField("job", id).WithField("tasks", tasks).Info("refused a job, as this host can hold no more")
	return nil, &cell.Answer{Outcome: cell.Refused, Reason: "this host has as many jobs as it can hold", RetryAfter: memoryRetry}
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

// endingJob is a job that is answered, but some of which still runs or is being started or stopped.
type endingJob struct {
	id    string
	bytes int64
	until time.Time // when nothing of it can be left
}

// releaseMemory gives the memory of an answered job back, once its runs and the orders for them have ended.
func (k *KeeperController) releaseMemory(id string, bytes int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hasEnded(id) {
		k.memory.Release(bytes)
		return
	}
	until := k.common.Clock.Now().Add(k.options.ResubmitDelay)
	k.endingJobs = append(k.endingJobs, endingJob{id: id, bytes: bytes, until: until})
}

// hasEnded reports whether nothing of a job is left here. The caller holds the lock.
func (k *KeeperController) hasEnded(id string) bool {
	return !k.cell.HasJob(id) && k.orders.ofJob(id) == 0
}

// releaseEnded gives the memory of answered jobs back that have ended. The caller holds the lock.
func (k *KeeperController) releaseEnded(now time.Time) {
	k.endingJobs = slices.DeleteFunc(k.endingJobs, func(job endingJob) bool {
		ended := k.hasEnded(job.id) || !now.Before(job.until)
		if ended {
			k.memory.Release(job.bytes)
		}
		return ended
	})
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
