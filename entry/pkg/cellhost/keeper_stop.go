package cellhost

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// cellDeclinedStopping counts the jobs of other hosts that a leaving keeper gave back.
var cellDeclinedStopping = metrics.NewCounter(`chervilusher_cell_stopping_declined_total`)

// StopAt tells when this host can run no more jobs. Those that are open then are abandoned; those that come from now on are
// given back to their homes if they could not end before.
func (k *KeeperController) StopAt(at time.Time) {
	k.apply(func(now time.Time) cell.Effects {
		k.stopsAt = at.Add(-answerMargin)
		return k.cell.LimitDeadlines(k.stopsAt, now)
	})
}

// limitToStop brings the job's deadline forward to the time at which this host stops, and returns false if the job can no
// longer end by then.
func (k *KeeperController) limitToStop(job *cell.Job) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.limitDeadline(job) {
		return true
	}
	for _, task := range job.Tasks {
		if k.common.Clock.Now().Add(task.Estimate).After(job.Deadline) {
			return false
		}
	}
	return true
}

// limitDeadline brings the job's deadline forward to the time at which this host stops, and reports whether it was later. The
// caller holds the lock.
func (k *KeeperController) limitDeadline(job *cell.Job) bool {
	if k.stopsAt.IsZero() || !job.Deadline.After(k.stopsAt) {
		return false
	}
	job.Deadline = k.stopsAt
	return true
}

// Run runs a job and waits for its outcome; the end of the context cancels the job. A refusal of a leaving keeper is not the
// last word for another host's job: the next keeper may have more time.
func (k *KeeperController) Run(ctx context.Context, request *peer.RunRequest) (*peer.RunResponse, error) {
	k.runCalls.Add(1)
	defer k.runCalls.Add(-1)
	response, err := k.run(ctx, request)
	if err != nil || response.Declined || response.Outcome != cell.Refused || request.Home == k.options.Name || !k.isStopping() {
		return response, err
	}
	cellDeclinedStopping.Inc()
	return &peer.RunResponse{Declined: true, Reason: "the keeper is leaving: " + response.Reason}, nil
}

func (k *KeeperController) isStopping() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.stopsAt.IsZero()
}

// IsIdle reports whether nothing runs on the workers that this host holds, and no job waits for its answer here or at a keeper
// to which this host has forwarded it.
func (k *KeeperController) IsIdle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, loop := range k.loops {
		if !loop.worker.Idle() {
			return false
		}
	}
	return len(k.waiters) == 0 && k.runCalls.Load() == 0
}
