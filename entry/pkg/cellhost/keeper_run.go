package cellhost

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/callerconn"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

func (k *KeeperController) run(ctx context.Context, request *peer.RunRequest) (*peer.RunResponse, error) {
	if k.shedder.Shed() >= 1 { // home hosts apply smaller fractions themselves
		cellShed.Inc()
		return &peer.RunResponse{Declined: true, Reason: "the keeper falls behind"}, nil
	}
	bytes := memoryOf(request)
	if !k.memory.TryTake(bytes) {
		return k.declineForMemory(request), nil
	}
	defer k.releaseMemory(request.ID, bytes)
	ctx, done := k.serveCall(ctx, request)
	defer done()
	job, reason := k.newJob(request)
	if job != nil && !k.limitToStop(job) {
		cellDeclinedStopping.Inc()
		return &peer.RunResponse{Declined: true, Reason: "the keeper is leaving"}, nil
	}
	if job != nil {
		if answers := k.failCrashing(ctx, job); answers != nil {
			return k.awaitAnswer(ctx, job, answers)
		}
		if unfit := k.unfitReason(job); unfit != "" {
			job, reason = nil, unfit
		}
	}
	if job == nil {
		k.common.Log.WithField("job", request.ID).WithField("home", request.Home).WithField("reason", reason).Warn("job declined")
		return &peer.RunResponse{Declined: true, Reason: reason}, nil
	}
	if request.Mode == peer.RunLate {
		return k.runLate(ctx, job)
	}
	if k.isTooLate(job) {
		return k.runLateOrDecline(ctx, request, job)
	}
	if answers, err := k.submit(ctx, job, true); err != nil || answers != nil {
		return k.awaitSubmitted(ctx, job, answers, err)
	}
	if request.Mode == peer.RunNow {
		return &peer.RunResponse{Declined: true, Reason: "no room at once"}, nil
	}
	k.countOffered(job, k.common.Clock.Now())
	leaves := rand.Float64() < k.rates.fraction(job.Queue) // as large a part as finds no room here in time
	if request.Mode == peer.RunAnywhere {
		mode := peer.RunNow
		if leaves {
			mode = peer.RunHere // it would be refused here in the end
		}
		if response, taken := k.forward(ctx, request, job, mode); taken {
			return response, nil
		}
	}
	k.refreshWantedAt(job)
	answers, err := k.submit(ctx, job, false)
	if err == nil && answers == nil {
		return &peer.RunResponse{Declined: true, Reason: "the keeper is leaving"}, nil
	}
	response, err := k.awaitSubmitted(ctx, job, answers, err)
	if err != nil || response.Outcome != cell.Refused || request.Mode != peer.RunAnywhere {
		if err == nil && response.Outcome == cell.Refused {
			k.countRefusal(job, response)
		}
		return response, err
	}
	if !leaves && !k.isTooLate(job) {
		if elsewhere, taken := k.forward(ctx, request, job, peer.RunHere); taken {
			return elsewhere, nil
		}
	}
	k.countRefusal(job, response)
	return k.runLateAnywhere(ctx, request, job, response)
}

// isTooLate reports whether the job would miss its objective even if all its tasks started now.
func (k *KeeperController) isTooLate(job *cell.Job) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.IsTooLate(job, k.common.Clock.Now())
}

// runLateOrDecline handles a job that comes too late for its objective: nothing is gained by queueing it or by asking
// other keepers to.
func (k *KeeperController) runLateOrDecline(ctx context.Context, request *peer.RunRequest, job *cell.Job) (*peer.RunResponse, error) {
	if request.Mode == peer.RunNow || request.Mode == peer.RunHere {
		return &peer.RunResponse{Declined: true, Reason: "it comes too late for its objective"}, nil
	}
	if k.mayStartLate(job) {
		return &peer.RunResponse{Outcome: cell.Abandoned, Reason: "it comes too late for its objective, and an earlier start may still be carried out"}, nil
	}
	refusal := &peer.RunResponse{Outcome: cell.Refused, Reason: "it comes too late for its objective", RetryAfter: int64(k.retryDelay(job))}
	return k.runLateAnywhere(ctx, request, job, refusal)
}

// mayStartLate reports whether a worker may carry out an earlier start of the job, so that it must not be refused.
func (k *KeeperController) mayStartLate(job *cell.Job) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.MayStartLate(job, k.common.Clock.Now())
}

func (k *KeeperController) retryDelay(job *cell.Job) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.RetryDelay(job, k.common.Clock.Now())
}

// runLateAnywhere starts a job that no keeper can run in time on free workers, because a late answer is of more use to
// the caller than none; otherwise it returns the refusal.
func (k *KeeperController) runLateAnywhere(ctx context.Context, request *peer.RunRequest, refused *cell.Job, refusal *peer.RunResponse) (*peer.RunResponse, error) {
	if job, _ := k.newJob(request); job != nil && k.limitToStop(job) {
		if refused.WantedAt.After(job.WantedAt) {
			job.WantedAt = refused.WantedAt // the request may have waited since it was sent
		}
		if response, err := k.runLate(ctx, job); err != nil || !response.Declined {
			return response, err
		}
		if elsewhere, taken := k.forwarder.Forward(ctx, request.Home, k.restateRequest(request, job), peer.RunLate); taken {
			return elsewhere, nil
		}
	}
	return refusal, nil
}

// runLate starts the job at once and waits for its outcome, or declines it.
func (k *KeeperController) runLate(ctx context.Context, job *cell.Job) (*peer.RunResponse, error) {
	var answers chan *cell.Answer
	var err error
	k.apply(func(now time.Time) (effects cell.Effects) {
		k.limitDeadline(job)
		if err = checkCaller(ctx); err != nil || !k.successorSince.IsZero() {
			return effects
		}
		effects, started := k.cell.StartLate(job, now)
		if started {
			answers = k.addWaiter(ctx, job)
		}
		return effects
	})
	if err == nil && answers == nil {
		return &peer.RunResponse{Declined: true, Reason: "no worker stands free"}, nil
	}
	if answers != nil {
		cellLateStarts.Inc()
	}
	return k.awaitSubmitted(ctx, job, answers, err)
}

// unfitReason returns why no worker of this host could ever run the job, or ""; a worker of another keeper may still
// fit.
func (k *KeeperController) unfitReason(job *cell.Job) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cell.CanEverRun(job) {
		return ""
	}
	return k.cell.UnfitReason(job)
}

// awaitAnswer waits for the job's answer; the end of the context cancels the job.
func (k *KeeperController) awaitAnswer(ctx context.Context, job *cell.Job, answers chan *cell.Answer) (*peer.RunResponse, error) {
	select {
	case answer := <-answers:
		return &peer.RunResponse{Outcome: answer.Outcome, Reason: answer.Reason, RetryAfter: int64(answer.RetryAfter)}, nil
	case <-ctx.Done():
		k.apply(func(now time.Time) cell.Effects { return k.cell.Cancel(job, "the caller left", now) })
		return nil, errors.WithStack(ctx.Err())
	}
}

// awaitSubmitted waits for the answer of a job whose submission returned that channel or error.
func (k *KeeperController) awaitSubmitted(ctx context.Context, job *cell.Job, answers chan *cell.Answer, err error) (*peer.RunResponse, error) {
	if err != nil {
		return nil, err
	}
	return k.awaitAnswer(ctx, job, answers)
}

// checkCaller returns an error if the call's connection has ended: its caller may have sent the job to another host since
// the call was read.
func checkCaller(ctx context.Context) error {
	if callerconn.IsClosed(ctx) {
		return errors.WithStack(context.Canceled)
	}
	return nil
}

// submit submits the job to the cell, unless its caller has left. It returns nil if nowOnly is set and not all tasks can
// start at once, or if it is not set and another host has taken over.
func (k *KeeperController) submit(ctx context.Context, job *cell.Job, nowOnly bool) (answers chan *cell.Answer, err error) {
	k.apply(func(now time.Time) (effects cell.Effects) {
		k.limitDeadline(job) // the stop may have begun since the job came
		if err = checkCaller(ctx); err != nil {
			return effects
		}
		if nowOnly && !k.cell.CanStartNow(job, now) || !nowOnly && !k.successorSince.IsZero() {
			return effects
		}
		answers = k.addWaiter(ctx, job)
		if nowOnly {
			k.countOffered(job, now)
		}
		return k.cell.Submit(job, now)
	})
	return answers, err
}

// restateRequest returns the request with this host as its home and its times on this host's clock, for another keeper.
func (k *KeeperController) restateRequest(request *peer.RunRequest, job *cell.Job) *peer.RunRequest {
	restated := *request
	restated.Home = k.options.Name
	restated.HomeIncarnation = k.common.Incarnation
	restated.Arrived = job.Arrived.UnixNano()
	restated.Objective = job.Objective.UnixNano()
	restated.Deadline = job.Deadline.UnixNano()
	restated.WantedAt = 0
	if job.Call > 0 {
		restated.WantedAt = job.WantedAt.UnixNano()
	}
	return &restated
}

// newJob converts a request to a job on this host's clock, or returns the reason to decline it.
func (k *KeeperController) newJob(request *peer.RunRequest) (job *cell.Job, reason string) {
	home, known := k.board.View().Hosts[request.Home]
	switch {
	case !known || !home.ClockKnown || home.Incarnation != request.HomeIncarnation:
		return nil, "the home was not heard yet"
	case request.KeeperIncarnation != k.common.Incarnation:
		return nil, "the request is for an earlier process"
	case len(request.Tasks) == 0:
		return nil, "the job has no tasks"
	}
	at := func(nanoseconds int64) time.Time { return time.Unix(0, nanoseconds).Add(home.ClockOffset) }
	job = &cell.Job{
		ID:              request.ID,
		Home:            request.Home,
		HomeIncarnation: request.HomeIncarnation,
		Queue:           request.Queue,
		Group:           request.Group,
		Spec:            request.Spec,
		Attempts:        request.Attempts,
		Priority:        request.Priority,
		Arrived:         at(request.Arrived),
		Objective:       at(request.Objective),
		Deadline:        at(request.Deadline),
	}
	if request.Call > 0 { // earlier versions do not tell
		job.Call = request.Call
		job.SentAt = time.Unix(0, request.Sent)
		job.WantedAt = at(request.WantedAt)
		k.refreshWantedAt(job)
	}
	if !k.common.Clock.Now().Before(job.Deadline) {
		return nil, "the request came after its deadline"
	}
	for _, task := range request.Tasks {
		job.Tasks = append(job.Tasks, &cell.Task{
			Job:      job,
			Name:     task.Name,
			Demand:   task.Need,
			Estimate: time.Duration(task.Estimate),
		})
	}
	return job, ""
}
