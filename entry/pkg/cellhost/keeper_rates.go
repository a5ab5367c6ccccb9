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
	if !k.rates.isStepDue(now) {
		return
	}
	k.mu.Lock()
	waits := k.cell.Waits(now)
	k.mu.Unlock()
	k.rates.step(waits, now)
}

// countStarts counts the first starts of tasks that are expected to end in time.
func (k *KeeperController) countStarts(starts []cell.Start) {
	for i := range starts {
		if run := starts[i].Run; run.Number == 1 && !run.Task.Job.Diagnostics.StartedLate {
			k.rates.addStarted(run.Task.Job.Queue, 1)
		}
	}
}

// forward offers a job to other keepers. It counts as started unless no keeper takes it, since the call returns at its end.
func (k *KeeperController) forward(ctx context.Context, request *peer.RunRequest, job *cell.Job, mode peer.RunMode) (*peer.RunResponse, bool) {
	k.rates.addStarted(job.Queue, len(job.Tasks))
	response, taken := k.forwarder.Forward(ctx, request.Home, k.restateRequest(request, job), mode)
	if !taken {
		k.rates.addStarted(job.Queue, -len(job.Tasks))
	}
	return response, taken
}

// countRefusal counts a job that could not be started in time.
func (k *KeeperController) countRefusal(job *cell.Job, response *peer.RunResponse) {
	k.rates.addRefused(job.Queue, len(job.Tasks), time.Duration(response.RetryAfter))
}

// Refusing implements LoadReporter.
func (k *KeeperController) Refusing() []peer.Refusing {
	return k.rates.reported()
}

// hasBlockedTasks reports whether a worker may carry out an earlier start of any task.
func (k *KeeperController) hasBlockedTasks() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.HasBlockedTasks()
}
