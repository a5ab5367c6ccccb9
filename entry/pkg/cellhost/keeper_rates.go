package cellhost

import (
	"context"
	"time"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// stepRates corrects the fractions of jobs that homes are to refuse.
func (k *KeeperController) stepRates() {
	now := k.common.Clock.Now()
	if !k.options.Shares || !k.rates.isStepDue(now) {
		return
	}
	for _, change := range k.rates.step(k.roomElsewhere, now) {
		line := k.common.Log.WithField("queue", change.queue)
		if change.fraction > 0 {
			line.WithField("fraction", change.fraction).Info("more is offered than can start in time")
		} else {
			line.Info("all that is offered can start in time again")
		}
	}
}

func (k *KeeperController) roomElsewhere(queue, group string) int {
	if k.forwarder == nil {
		return 0
	}
	return k.forwarder.RoomElsewhere(queue, group)
}

// countOffered counts a job that is to start on this keeper's workers, where the settings ask for shares under shortage. Without
// it nothing is told to homes, and no job is refused or leaves early.
func (k *KeeperController) countOffered(job *cell.Job, now time.Time) {
	if k.options.Shares {
		k.rates.addOffered(job, now)
	}
}

// countStarts counts the first starts of tasks that are expected to end in time. The caller holds the lock.
func (k *KeeperController) countStarts(starts []cell.Start) {
	for i := range starts {
		if run := starts[i].Run; run.Number == 1 && !run.Task.Job.Diagnostics.StartedLate {
			k.rates.addStarted(run.Task.Job.Queue, 1, waitedPart(run.Task))
		}
	}
}

// waitedPart returns the part of its time until the latest start after which the task's job has started.
func waitedPart(task *cell.Task) float64 {
	job := task.Job
	allowed := max(job.Objective.Sub(job.Arrived)-task.Estimate, minAllowedWait)
	return min(1, max(0, job.Diagnostics.QueueingDelay.Seconds()/allowed.Seconds()))
}

// minAllowedWait is the least time until the latest start for which a wait is compared with it.
const minAllowedWait = 20 * time.Millisecond

// forward offers a job to other keepers. It counts as started unless no keeper takes it, since the call returns at its end.
func (k *KeeperController) forward(ctx context.Context, request *peer.RunRequest, job *cell.Job, mode peer.RunMode) (*peer.RunResponse, bool) {
	k.rates.addStarted(job.Queue, len(job.Tasks), waitTarget)
	response, taken := k.forwarder.Forward(ctx, request.Home, k.restateRequest(request, job), mode)
	if !taken {
		k.rates.addStarted(job.Queue, -len(job.Tasks), waitTarget)
	}
	return response, taken
}

// countRefusal counts a job that could not be started in time.
func (k *KeeperController) countRefusal(job *cell.Job, response *peer.RunResponse) {
	k.rates.addRefused(job.Queue, len(job.Tasks), time.Duration(response.RetryAfter))
}

// Excesses implements LoadReporter.
func (k *KeeperController) Excesses() []peer.Excess {
	return k.rates.excesses()
}

// mayStartJobLate reports whether a worker may carry out an earlier start of the job with that identifier.
func (k *KeeperController) mayStartJobLate(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.MayStartJobLate(id)
}
