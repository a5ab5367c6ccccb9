package cellhost

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

var (
	cellStarts     = metrics.NewCounter(`chervilusher_cell_starts_total`)
	cellLateStarts = metrics.NewCounter(`chervilusher_cell_late_starts_total`)
	cellStops      = metrics.NewCounter(`chervilusher_cell_stops_total`)
	cellRunTimes   = metrics.NewHistogram(`chervilusher_cell_run_seconds`)
	cellShed       = metrics.NewCounter(`chervilusher_cell_shed_total`)
	cellFences     = metrics.NewCounter(`chervilusher_cell_fenced_total`)
	cellStartTime  = metrics.NewHistogram(`chervilusher_cell_start_call_seconds`)
)

const (
	// startTimeout bounds a start call; the shortest tasks run for about half of it.
	startTimeout = 120 * time.Millisecond
	// stopAttempts is how often a stop is sent before it is left to the cell to send it again.
	stopAttempts = 3
	// pollAttempts is how often the lists are read when an answer is lost; the waiting call follows within callTimeout.
	pollAttempts = 2
)

// KeeperController executes the decisions of the cell that this host owns.
type KeeperController struct {
	common  *common.Common
	options Options
	board   *Board
	shedder Shedder
	workers WorkerClient

	mu             sync.Mutex
	cell           *cell.Cell
	loops          map[string]*workerLoop // by worker ID
	waiters        map[*cell.Job]chan *cell.Answer
	successorSince time.Time // when another host took over from this leaving one
	forwarder      Forwarder
}

// Forwarder offers a job that cannot start at once to other keepers.
type Forwarder interface {
	// Forward returns false if no other keeper accepted the job; nothing of it has run then.
	Forward(ctx context.Context, home string, request *peer.RunRequest, mode peer.RunMode) (*peer.RunResponse, bool)
}

// NewKeeperController returns a keeper without workers and registers its method with the peer server.
func NewKeeperController(
	c *common.Common,
	options Options,
	board *Board,
	shedder Shedder,
	workers WorkerClient,
	server *peer.Server,
) *KeeperController {
	controller := &KeeperController{
		common:  c.Prefixed("keeper"),
		options: options,
		board:   board,
		shedder: shedder,
		workers: workers,
		cell:    cell.New(cell.Limits{Lease: options.MaxLease}),
		loops:   map[string]*workerLoop{},
		waiters: map[*cell.Job]chan *cell.Answer{},
	}
	peer.Handle(server, peer.MethodRun, controller.Run)
	return controller
}

// SetForwarder sets the forwarder of jobs to other keepers; it must be called before Serve.
func (k *KeeperController) SetForwarder(forwarder Forwarder) {
	k.forwarder = forwarder
}

// Serve enforces deadlines and leases until the context ends, and then stops the worker loops.
func (k *KeeperController) Serve(ctx context.Context) {
	k.common.Every(ctx, tickInterval, k.tick)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, loop := range k.loops {
		loop.cancel()
	}
}

func (k *KeeperController) tick() {
	k.apply(func(now time.Time) cell.Effects {
		if len(k.loops) > 0 { // without workers there is no lease to renew
			k.cell.SetSuspectedHomes(k.board.View().WithoutHeartbeatSince(now.Add(-homeHeartbeatTimeout)))
		}
		return k.cell.Tick(now)
	})
}

// apply makes a decision under the lock and executes its effects.
func (k *KeeperController) apply(decide func(now time.Time) cell.Effects) {
	effects := k.decide(decide)
	k.execute(&effects)
}

// decide makes a decision under the lock and unlocks even if the decision panics.
func (k *KeeperController) decide(decide func(now time.Time) cell.Effects) cell.Effects {
	k.mu.Lock()
	defer k.mu.Unlock()
	return decide(k.common.Clock.Now())
}

// Run runs a job and waits for its outcome; the end of the context cancels the job.
func (k *KeeperController) Run(ctx context.Context, request *peer.RunRequest) (*peer.RunResponse, error) {
	if k.shedder.Shed() >= 1 { // home hosts apply smaller fractions themselves
		cellShed.Inc()
		return &peer.RunResponse{Declined: true, Reason: "the keeper falls behind"}, nil
	}
	job, reason := k.newJob(request)
	if job != nil {
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
	if answers := k.submit(job, true); answers != nil {
		return k.awaitAnswer(ctx, job, answers)
	}
	if request.Mode == peer.RunNow {
		return &peer.RunResponse{Declined: true, Reason: "no room at once"}, nil
	}
	restated := k.restateRequest(request, job)
	if request.Mode == peer.RunAnywhere {
		if response, taken := k.forwarder.Forward(ctx, request.Home, restated, peer.RunNow); taken {
			return response, nil
		}
	}
	answers := k.submit(job, false)
	if answers == nil {
		return &peer.RunResponse{Declined: true, Reason: "the keeper is leaving"}, nil
	}
	response, err := k.awaitAnswer(ctx, job, answers)
	if err != nil || response.Outcome != cell.Refused || request.Mode != peer.RunAnywhere {
		return response, err
	}
	if !k.isTooLate(job) {
		if elsewhere, taken := k.forwarder.Forward(ctx, request.Home, restated, peer.RunHere); taken {
			return elsewhere, nil
		}
	}
	return k.runLateAnywhere(ctx, request, restated, response)
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
	refusal := &peer.RunResponse{Outcome: cell.Refused, Reason: "it comes too late for its objective", RetryAfter: int64(k.retryDelay(job))}
	return k.runLateAnywhere(ctx, request, k.restateRequest(request, job), refusal)
}

func (k *KeeperController) retryDelay(job *cell.Job) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.RetryDelay(job, k.common.Clock.Now())
}

// runLateAnywhere starts a job that no keeper can run in time on free workers, because a late answer is of more use to
// the caller than none; otherwise it returns the refusal.
func (k *KeeperController) runLateAnywhere(ctx context.Context, request, restated *peer.RunRequest, refusal *peer.RunResponse) (*peer.RunResponse, error) {
	if job, _ := k.newJob(request); job != nil {
		if response, err := k.runLate(ctx, job); err != nil || !response.Declined {
			return response, err
		}
		if elsewhere, taken := k.forwarder.Forward(ctx, request.Home, restated, peer.RunLate); taken {
			return elsewhere, nil
		}
	}
	return refusal, nil
}

// runLate starts the job at once and waits for its outcome, or declines it.
func (k *KeeperController) runLate(ctx context.Context, job *cell.Job) (*peer.RunResponse, error) {
	var answers chan *cell.Answer
	k.apply(func(now time.Time) (effects cell.Effects) {
		if !k.successorSince.IsZero() {
			return effects
		}
		effects, started := k.cell.StartLate(job, now)
		if started {
			answers = k.addWaiter(job)
		}
		return effects
	})
	if answers == nil {
		return &peer.RunResponse{Declined: true, Reason: "no worker stands free"}, nil
	}
	cellLateStarts.Inc()
	return k.awaitAnswer(ctx, job, answers)
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

// SetEvacuated sets the failure domains whose workers get no new jobs.
func (k *KeeperController) SetEvacuated(domains []string) {
	k.apply(func(now time.Time) cell.Effects { return k.cell.SetEvacuated(domains, now) })
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

// submit submits the job to the cell. It returns nil if nowOnly is set and not all tasks can start at once, or if it is
// not set and another host has taken over.
func (k *KeeperController) submit(job *cell.Job, nowOnly bool) chan *cell.Answer {
	var answers chan *cell.Answer
	k.apply(func(now time.Time) (effects cell.Effects) {
		if nowOnly && !k.cell.CanStartNow(job, now) || !nowOnly && !k.successorSince.IsZero() {
			return effects
		}
		answers = k.addWaiter(job)
		return k.cell.Submit(job, now)
	})
	return answers
}

// addWaiter registers a caller that waits for the job and returns the channel of its answer; the caller of addWaiter
// must hold the lock.
func (k *KeeperController) addWaiter(job *cell.Job) chan *cell.Answer {
	answers := make(chan *cell.Answer, 1)
	k.waiters[job] = answers
	return answers
}

// restateRequest returns the request with this host as its home and its times on this host's clock, for another keeper.
func (k *KeeperController) restateRequest(request *peer.RunRequest, job *cell.Job) *peer.RunRequest {
	restated := *request
	restated.Home = k.options.Name
	restated.HomeIncarnation = k.common.Incarnation
	restated.Arrived = job.Arrived.UnixNano()
	restated.Objective = job.Objective.UnixNano()
	restated.Deadline = job.Deadline.UnixNano()
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

// HostFailed cancels the jobs of a home host that is suspected or has restarted.
func (k *KeeperController) HostFailed(name, incarnation string) {
	k.apply(func(now time.Time) cell.Effects { return k.cell.HandleHomeFailure(name, incarnation, now) })
}

// execute sends starts and stops and delivers answers, without waiting for any of them.
func (k *KeeperController) execute(effects *cell.Effects) {
	for i := range effects.Starts {
		start := effects.Starts[i]
		go k.sendStart(start)
	}
	for i := range effects.Stops {
		stop := effects.Stops[i]
		go k.sendStop(stop)
	}
	for _, worker := range effects.Polls {
		if loop := k.findLoop(worker.ID); loop != nil {
			go loop.poll()
		}
	}
	for i := range effects.EndedRuns {
		k.logRunEnd(&effects.EndedRuns[i])
	}
	for _, answered := range effects.Answers {
		k.deliver(answered)
	}
}

func (k *KeeperController) deliver(answered cell.AnsweredJob) {
	k.mu.Lock()
	waiter := k.waiters[answered.Job]
	delete(k.waiters, answered.Job)
	trace := answered.Job.Diagnostics // runs that end later are not in this copy
	k.mu.Unlock()
	k.logJob(answered.Job, &trace, answered.Answer)
	if waiter != nil {
		waiter <- answered.Answer
	}
}

func (k *KeeperController) logJob(job *cell.Job, trace *cell.Diagnostics, answer *cell.Answer) {
	runs := make([]string, 0, len(trace.EndedRuns))
	for i := range trace.EndedRuns {
		end := &trace.EndedRuns[i]
		runs = append(runs, fmt.Sprintf("%s/%d at %s %s after %s", end.Task, end.Number, end.Worker, end.Result, end.Took.Round(time.Millisecond)))
	}
	line := k.common.Log.WithField("job", job.ID).WithField("home", job.Home).WithField("outcome", answer.Outcome.String()).
		WithField("reason", answer.Reason).WithField("tasks", len(job.Tasks)).WithField("foreseen", trace.PredictedDelay.String()).
		WithField("waited", trace.QueueingDelay.String()).WithField("runs", runs)
	if trace.StartedLate {
		line = line.WithField("late", true)
	}
	if trace.Shortage != nil {
		cause := trace.Shortage.Cause()
		metrics.GetOrCreateCounter(fmt.Sprintf(`chervilusher_cell_refused_total{cause=%q}`, cause)).Inc()
		line = line.WithField("cause", cause).WithField("shortage", trace.Shortage.String())
	}
	line.Info("job decided")
}

func (k *KeeperController) logRunEnd(end *cell.EndedRun) {
	cellRunTimes.Update(end.Took.Seconds())
	if end.Result == cell.RunDone.String() {
		return // the job's log line contains it
	}
	k.common.Log.WithField("task", end.Task).WithField("run", end.Number).
		WithField("worker", end.Worker).WithField("how", end.Result).WithField("took", end.Took.String()).Info("run ended")
}

func (k *KeeperController) sendStart(start cell.Start) {
	run := start.Run
	loop, token := k.startTarget(run)
	if loop == nil {
		k.apply(func(now time.Time) cell.Effects { return k.cell.HandleStartResult(run, cell.StartRejected, now) })
		return
	}
	cellStarts.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	began := k.common.Clock.Now()
	result, err := k.workers.Start(ctx, loop.target, StartCall{
		Token: token,
		Task:  run.Task.Name,
		Run:   run.Number,
		Spec:  run.Task.Job.Spec,
		Lease: start.Lease,
	})
	cellStartTime.Update(k.common.Clock.Since(began).Seconds())
	if result != cell.StartAccepted {
		k.common.Log.WithField("job", run.Task.Job.ID).WithField("task", run.Task.Name).WithField("run", run.Number).
			WithField("worker", run.Worker.ID).WithField("result", result.String()).WithError(err).Warn("start not accepted by the worker")
	}
	k.apply(func(now time.Time) cell.Effects { return k.cell.HandleStartResult(run, result, now) })
	if result == cell.StartRejected {
		loop.poll()
	}
}

// startTarget returns the worker's loop and token for a run, or no loop if the worker was lost after the decision: a
// start decided before the worker's runs were read anew must not carry the later token.
func (k *KeeperController) startTarget(run *cell.Run) (*workerLoop, int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	loop := k.loops[run.Worker.ID]
	if loop == nil || loop.worker != run.Worker || run.Finished() {
		return nil, 0
	}
	return loop, loop.token.Load()
}

// sendStop sends a stop until it is answered; the cell repeats it as long as the run is not listed as ended.
func (k *KeeperController) sendStop(stop cell.Stop) {
	loop := k.findLoop(stop.Worker.ID)
	if loop == nil {
		return
	}
	cellStops.Inc()
	for range stopAttempts {
		if k.sendStopOnce(loop, stop) {
			return
		}
	}
}

func (k *KeeperController) sendStopOnce(loop *workerLoop, stop cell.Stop) bool {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	err := k.workers.Stop(ctx, loop.target, StopCall{Token: loop.token.Load(), Task: stop.Task, Run: stop.Number})
	if err != nil {
		k.common.Log.WithField("task", stop.Task).WithField("worker", stop.Worker.ID).WithError(err).Warn("cannot stop a run")
		return errors.Is(err, ErrFenced) || errors.Is(err, ErrOtherIncarnation)
	}
	if stop.Run == nil {
		return true
	}
	k.mu.Lock()
	k.cell.HandleStopConfirmed(stop.Run, k.common.Clock.Now())
	unconfirmed := stop.Run.Unconfirmed()
	k.mu.Unlock()
	if unconfirmed {
		loop.poll()
	}
	return true
}

func (k *KeeperController) findLoop(worker string) *workerLoop {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loops[worker]
}

// Loads returns the free slots and the backlog of the cell by group.
func (k *KeeperController) Loads() []cell.Load {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.Loads(k.common.Clock.Now())
}

// UnreleasedWorkers returns the workers that belong to other keepers, or will when this host has left, and that this
// host has not released yet.
func (k *KeeperController) UnreleasedWorkers() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var ids []string
	for id, loop := range k.loops {
		if k.board.Draining.Load() || !loop.releasingSince.IsZero() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
