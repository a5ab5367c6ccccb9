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
	cellStarts    = metrics.NewCounter(`chervilusher_cell_starts_total`)
	cellLate      = metrics.NewCounter(`chervilusher_cell_late_starts_total`)
	cellStops     = metrics.NewCounter(`chervilusher_cell_stops_total`)
	cellRunTimes  = metrics.NewHistogram(`chervilusher_cell_run_seconds`)
	cellShed      = metrics.NewCounter(`chervilusher_cell_shed_total`)
	cellFences    = metrics.NewCounter(`chervilusher_cell_fenced_total`)
	cellStartTime = metrics.NewHistogram(`chervilusher_cell_start_call_seconds`)
)

const (
	// startTimeout bounds a start call; the shortest tasks run for about half of it.
	startTimeout = 120 * time.Millisecond
	// stopTries is how often a stop is sent before the cell sends it again by itself.
	stopTries = 3
	// lookTries is how often the lists are read when an answer is lost; the call that waits follows within callTimeout.
	lookTries = 2
)

// KeeperController carries out the decisions of the cell that this host keeps.
type KeeperController struct {
	common  *common.Common
	options Options
	board   *Board
	shedder Shedder
	workers WorkerClient

	mu       sync.Mutex
	cell     *cell.Cell
	loops    map[string]*workerLoop // by worker
	waiters  map[*cell.Job]chan *cell.Answer
	followed time.Time // since when another host follows this leaving one
	others   Forwarder
}

// Forwarder offers a job that finds no room at once to other keepers.
type Forwarder interface {
	// Forward returns false when no other keeper took the job, of which nothing has run then.
	Forward(ctx context.Context, origin string, request *peer.RunRequest, mode peer.RunMode) (*peer.RunResponse, bool)
}

// NewKeeperController returns a keeper without workers and adds its method to the server of peers.
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

// SetForwarder sets who offers jobs to other keepers; it is to be called before Serve.
func (k *KeeperController) SetForwarder(others Forwarder) {
	k.others = others
}

// Serve lets deadlines and leases run out until the context ends.
func (k *KeeperController) Serve(ctx context.Context) {
	k.common.Every(ctx, tickInterval, k.tick)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, loop := range k.loops {
		loop.cancel()
	}
}

func (k *KeeperController) tick() {
	k.do(func(now time.Time) cell.Effects {
		if len(k.loops) > 0 { // without workers there is no lease to renew
			k.cell.SetSuspectedHomes(k.board.View().WithoutHeartbeatSince(now.Add(-homeHeartbeatTimeout)))
		}
		return k.cell.Tick(now)
	})
}

// do makes a decision under the lock and carries out its effects.
func (k *KeeperController) do(decide func(now time.Time) cell.Effects) {
	effects := k.decide(decide)
	k.carry(&effects)
}

// decide makes a decision under the lock, which an unexpected error must not leave locked.
func (k *KeeperController) decide(decide func(now time.Time) cell.Effects) cell.Effects {
	k.mu.Lock()
	defer k.mu.Unlock()
	return decide(k.common.Clock.Now())
}

// Run runs a job and waits for its outcome; the end of the context cancels the job.
func (k *KeeperController) Run(ctx context.Context, request *peer.RunRequest) (*peer.RunResponse, error) {
	if k.shedder.Shed() >= 1 { // homes leave it out for smaller parts
		cellShed.Inc()
		return &peer.RunResponse{Declined: true, Reason: "the keeper falls behind"}, nil
	}
	job, reason := k.job(request)
	if job != nil && !k.canEverRun(job) {
		job, reason = nil, "no worker has room for a task of this size"
	}
	if job == nil {
		k.common.Log.WithField("job", request.ID).WithField("home", request.Home).WithField("reason", reason).Warn("job declined")
		return &peer.RunResponse{Declined: true, Reason: reason}, nil
	}
	if request.Mode == peer.RunLate {
		return k.runLate(ctx, job)
	}
	if answered := k.submit(job, true); answered != nil {
		return k.await(ctx, job, answered)
	}
	if request.Mode == peer.RunNow {
		return &peer.RunResponse{Declined: true, Reason: "no room at once"}, nil
	}
	restated := k.restate(request, job)
	if request.Mode == peer.RunAnywhere {
		if response, taken := k.others.Forward(ctx, request.Home, restated, peer.RunNow); taken {
			return response, nil
		}
	}
	answered := k.submit(job, false)
	if answered == nil {
		return &peer.RunResponse{Declined: true, Reason: "the keeper is leaving"}, nil
	}
	response, err := k.await(ctx, job, answered)
	if err != nil || response.Outcome != cell.Refused || request.Mode != peer.RunAnywhere {
		return response, err
	}
	if elsewhere, taken := k.others.Forward(ctx, request.Home, restated, peer.RunHere); taken {
		return elsewhere, nil
	}
	return k.late(ctx, request, restated, response)
}

// late has a job that no keeper can run in time run late where workers stand free, since a late answer serves its caller
// better than none; otherwise it returns the refusal.
func (k *KeeperController) late(ctx context.Context, request, restated *peer.RunRequest, refusal *peer.RunResponse) (*peer.RunResponse, error) {
	if job, _ := k.job(request); job != nil {
		if response, err := k.runLate(ctx, job); err != nil || !response.Declined {
			return response, err
		}
		if elsewhere, taken := k.others.Forward(ctx, request.Home, restated, peer.RunLate); taken {
			return elsewhere, nil
		}
	}
	return refusal, nil
}

// runLate starts the job at once and waits for its outcome, or declines it.
func (k *KeeperController) runLate(ctx context.Context, job *cell.Job) (*peer.RunResponse, error) {
	var answered chan *cell.Answer
	k.do(func(now time.Time) (effects cell.Effects) {
		if !k.followed.IsZero() {
			return effects
		}
		effects, started := k.cell.StartLate(job, now)
		if started {
			answered = k.awaited(job)
		}
		return effects
	})
	if answered == nil {
		return &peer.RunResponse{Declined: true, Reason: "no worker stands free"}, nil
	}
	cellLate.Inc()
	return k.await(ctx, job, answered)
}

// canEverRun reports whether each task of the job fits a worker that this host keeps; another keeper may have one.
func (k *KeeperController) canEverRun(job *cell.Job) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.CanEverRun(job)
}

// await waits for the job's answer; the end of the context cancels the job.
func (k *KeeperController) await(ctx context.Context, job *cell.Job, answered chan *cell.Answer) (*peer.RunResponse, error) {
	select {
	case answer := <-answered:
		return &peer.RunResponse{Outcome: answer.Outcome, Reason: answer.Reason, RetryAfter: int64(answer.RetryAfter)}, nil
	case <-ctx.Done():
		k.do(func(now time.Time) cell.Effects { return k.cell.Cancel(job, "the caller left", now) })
		return nil, errors.WithStack(ctx.Err())
	}
}

// submit hands the job to the cell; it returns nil with nowOnly when not all tasks can start at once, and without it when another host follows this one.
func (k *KeeperController) submit(job *cell.Job, nowOnly bool) chan *cell.Answer {
	var answered chan *cell.Answer
	k.do(func(now time.Time) (effects cell.Effects) {
		if nowOnly && !k.cell.CanStartNow(job, now) || !nowOnly && !k.followed.IsZero() {
			return effects
		}
		answered = k.awaited(job)
		return k.cell.Submit(job, now)
	})
	return answered
}

// awaited notes that a caller waits for the job's answer, and returns where it comes; the caller holds the lock.
func (k *KeeperController) awaited(job *cell.Job) chan *cell.Answer {
	answered := make(chan *cell.Answer, 1)
	k.waiters[job] = answered
	return answered
}

// restate returns the request in this host's name and time, for another keeper.
func (k *KeeperController) restate(request *peer.RunRequest, job *cell.Job) *peer.RunRequest {
	restated := *request
	restated.Home = k.options.Name
	restated.HomeIncarnation = k.common.Incarnation
	restated.Arrived = job.Arrived.UnixNano()
	restated.Objective = job.Objective.UnixNano()
	restated.Deadline = job.Deadline.UnixNano()
	return &restated
}

// job translates a request into this host's time, or returns why it cannot be taken.
func (k *KeeperController) job(request *peer.RunRequest) (job *cell.Job, reason string) {
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

// HostFailed cancels the jobs of a home that is silent or has started anew.
func (k *KeeperController) HostFailed(name, life string) {
	k.do(func(now time.Time) cell.Effects { return k.cell.HandleHomeFailure(name, life, now) })
}

// carry starts, stops and answers without waiting.
func (k *KeeperController) carry(effects *cell.Effects) {
	for i := range effects.Starts {
		start := effects.Starts[i]
		go k.start(start)
	}
	for i := range effects.Stops {
		stop := effects.Stops[i]
		go k.stop(stop)
	}
	for _, worker := range effects.Polls {
		if loop := k.loop(worker.ID); loop != nil {
			go loop.look()
		}
	}
	for i := range effects.EndedRuns {
		k.logEnd(&effects.EndedRuns[i])
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

func (k *KeeperController) logEnd(end *cell.EndedRun) {
	cellRunTimes.Update(end.Took.Seconds())
	if end.Result == cell.RunDone.String() {
		return // the job's own line tells it
	}
	k.common.Log.WithField("task", end.Task).WithField("run", end.Number).
		WithField("worker", end.Worker).WithField("how", end.Result).WithField("took", end.Took.String()).Info("run ended")
}

func (k *KeeperController) start(start cell.Start) {
	run := start.Run
	loop, token := k.ordered(run)
	if loop == nil {
		k.do(func(now time.Time) cell.Effects { return k.cell.HandleStartResult(run, cell.StartRejected, now) })
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
			WithField("worker", run.Worker.ID).WithField("result", result.String()).WithError(err).Warn("start not taken")
	}
	k.do(func(now time.Time) cell.Effects { return k.cell.HandleStartResult(run, result, now) })
	if result == cell.StartRejected {
		loop.look()
	}
}

// ordered returns the loop and the token under which a run was decided, or no loop when the worker was lost since: a later
// token must not carry an order that was made before what runs there was known anew.
func (k *KeeperController) ordered(run *cell.Run) (*workerLoop, int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	loop := k.loops[run.Worker.ID]
	if loop == nil || loop.worker != run.Worker || run.Finished() {
		return nil, 0
	}
	return loop, loop.token.Load()
}

// stop sends a stop until it is answered; the cell sends it again as long as the run is not listed as ended.
func (k *KeeperController) stop(stop cell.Stop) {
	loop := k.loop(stop.Worker.ID)
	if loop == nil {
		return
	}
	cellStops.Inc()
	for range stopTries {
		if k.stopOnce(loop, stop) {
			return
		}
	}
}

func (k *KeeperController) stopOnce(loop *workerLoop, stop cell.Stop) bool {
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
	unsure := stop.Run.Unconfirmed()
	k.mu.Unlock()
	if unsure {
		loop.look()
	}
	return true
}

func (k *KeeperController) loop(worker string) *workerLoop {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loops[worker]
}

// Loads tells what the cell has room for.
func (k *KeeperController) Loads() []cell.Load {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.Loads(k.common.Clock.Now())
}

// UnreleasedWorkers returns the workers that belong to other keepers, or will when this host has left, and that it has not given up yet.
func (k *KeeperController) UnreleasedWorkers() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var names []string
	for name, loop := range k.loops {
		if k.board.Draining.Load() || !loop.released.IsZero() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
