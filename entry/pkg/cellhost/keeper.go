package cellhost

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/budget"
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
	cellShrunk     = metrics.NewCounter(`chervilusher_cell_capacity_changes_total{way="shrunk"}`)
	cellGrown      = metrics.NewCounter(`chervilusher_cell_capacity_changes_total{way="grown"}`)
	cellFences     = metrics.NewCounter(`chervilusher_cell_fenced_total`)
	cellStartTime  = metrics.NewHistogram(`chervilusher_cell_start_call_seconds`)
	cellOutlived   = metrics.NewHistogram(`chervilusher_cell_outlived_seconds`)
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

	heartbeats HeartbeatSender
	notifier   StartNotifier

	mu             sync.Mutex
	cell           *cell.Cell
	loops          map[string]*workerLoop  // by worker ID
	droppedTokens  map[string]droppedToken // by worker ID, of workers that were dropped within maxCallDelay
	waiters        map[*cell.Job]*waiter
	decidedAt      time.Time                   // when the last decision was made
	reports        map[string]*cell.HomeReport // last one of each home
	served         map[*servedCall]struct{}
	runCalls       atomic.Int64 // calls of Run in progress
	successorSince time.Time    // when another host took over from this leaving one
	stopsAt        time.Time    // when this host can run no more jobs; zero until it is told to stop
	forwarder      Forwarder
	rates          *refusalRates
	memory         *budget.Budget // of the jobs in progress here
	orders         *openOrders
	endingJobs     []endingJob // answered jobs with memory that their runs and orders still take
}

// Forwarder offers a job that cannot start at once to other keepers.
type Forwarder interface {
	// Forward returns false if no other keeper accepted the job; nothing of it has run then.
	Forward(ctx context.Context, home string, request *peer.RunRequest, mode peer.RunMode) (*peer.RunResponse, bool)
	// RoomElsewhere returns how many tasks of the queue other keepers could start by their last heartbeats.
	RoomElsewhere(queue, group string) int
}

// NewKeeperController returns a keeper without workers and registers its methods with the peer server.
func NewKeeperController(
	c *common.Common,
	options Options,
	board *Board,
	shedder Shedder,
	workers WorkerClient,
	notifier StartNotifier,
	server *peer.Server,
) *KeeperController {
	controller := &KeeperController{
		common:  c.Prefixed("keeper"),
		options: options,
		board:   board,
		shedder: shedder,
		workers: workers,
		loops:   map[string]*workerLoop{},
		waiters: map[*cell.Job]*waiter{},
		reports: map[string]*cell.HomeReport{},
		served:  map[*servedCall]struct{}{},
		rates:   newRefusalRates(),
		memory:  budget.New(options.Memory, smallJobBytes),
		orders:  newOpenOrders(),

		notifier:      notifier,
		droppedTokens: map[string]droppedToken{},
	}
	seen := &homes{self: options.Name, board: board, clock: c.Clock, decidedAt: &controller.decidedAt}
	controller.cell = cell.New(options.limits(), seen)
	peer.Handle(server, peer.MethodRun, controller.Run)
	peer.Handle(server, peer.MethodStarts, controller.serveNotice)
	return controller
}

// SetForwarder sets the forwarder of jobs to other keepers; it must be called before Serve.
func (k *KeeperController) SetForwarder(forwarder Forwarder) {
	k.forwarder = forwarder
}

// Serve enforces deadlines and leases until the context ends, and then stops the worker loops.
func (k *KeeperController) Serve(ctx context.Context) {
	if k.options.KeepApart {
		k.common.Log.Info("no queues are known yet to slow each other down")
	}
	k.common.Every(ctx, tickInterval, k.tick)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, loop := range k.loops {
		loop.cancel()
	}
}

func (k *KeeperController) tick() {
	var changes []cell.ShortageChange
	k.apply(func(now time.Time) cell.Effects {
		effects := k.cell.Tick(now)
		k.releaseEnded(now)
		changes = k.cell.ShortageChanges()
		return effects
	})
	k.logShortages(changes)
	k.reportInterference()
	k.stepRates()
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
	now := k.common.Clock.Now()
	k.cell.SetDirectoryRead(k.board.DirectoryReadAt())
	effects := k.cancelLeft(now)
	decided := decide(now)
	k.countStarts(decided.Starts)
	effects.Add(&decided)
	return effects
}

// SetEvacuated sets the failure domains whose workers get no new jobs.
func (k *KeeperController) SetEvacuated(domains []string) {
	k.apply(func(now time.Time) cell.Effects { return k.cell.SetEvacuated(domains, now) })
}

// HostFailed cancels the jobs of a home host that is suspected or has restarted, and records its witnessed starts as unsettled.
func (k *KeeperController) HostFailed(name, incarnation string) {
	k.apply(func(now time.Time) cell.Effects { return k.cell.HandleHomeFailure(name, incarnation, now) })
	k.handleKeeperFailure(name, incarnation)
}

// execute sends starts and stops and delivers answers, without waiting for any of them.
func (k *KeeperController) execute(effects *cell.Effects) {
	k.sendStarts(effects.Starts)
	for i := range effects.Stops {
		stop := effects.Stops[i]
		if !k.orders.beginStop(&stop) {
			continue // one is on its way; the cell repeats it if need be
		}
		go func() {
			defer k.orders.endStop(&stop)
			k.sendStop(stop)
		}()
	}
	for _, worker := range effects.Polls {
		if loop := k.findLoop(worker.ID); loop != nil {
			go loop.poll()
		}
	}
	k.reportCrashes(effects.Crashes)
	for i := range effects.EndedRuns {
		k.logRunEnd(&effects.EndedRuns[i])
	}
	for _, answered := range effects.Answers {
		k.deliver(answered)
	}
}

func (k *KeeperController) deliver(answered cell.AnsweredJob) {
	k.mu.Lock()
	waiting := k.waiters[answered.Job]
	delete(k.waiters, answered.Job)
	trace := answered.Job.Diagnostics // runs that end later are not in this copy
	k.mu.Unlock()
	k.logJob(answered.Job, &trace, answered.Answer)
	if waiting != nil {
		waiting.answers <- answered.Answer
	}
}

func (k *KeeperController) logJob(job *cell.Job, trace *cell.Diagnostics, answer *cell.Answer) {
	runs := make([]string, 0, len(trace.EndedRuns))
	for i := range trace.EndedRuns {
		end := &trace.EndedRuns[i]
		runs = append(runs, fmt.Sprintf("%s/%d at %s %s after %s", end.Task, end.Number, end.Worker, end.Result, end.Took.Round(time.Millisecond)))
	}
	fields := log.Fields{
		"job":      job.ID,
		"home":     job.Home,
		"outcome":  answer.Outcome.String(),
		"reason":   answer.Reason,
		"tasks":    len(job.Tasks),
		"foreseen": trace.PredictedDelay.String(),
		"waited":   trace.QueueingDelay.String(),
		"runs":     runs,
	}
	if trace.StartedLate {
		fields["late"] = true
	}
	if trace.Share != "" {
		countShare(trace.Share, answer.Outcome)
		fields["share"] = trace.Share
	}
	if trace.Shortage != nil {
		cause := trace.Shortage.Cause()
		metrics.GetOrCreateCounter(fmt.Sprintf(`chervilusher_cell_refused_total{cause=%q}`, cause)).Inc()
		fields["cause"], fields["shortage"] = cause, trace.Shortage.String()
	}
	k.common.Log.WithFields(fields).Info("job decided")
}

func (k *KeeperController) logRunEnd(end *cell.EndedRun) {
	cellRunTimes.Update(end.Took.Seconds())
	if end.Result == cell.RunDone.String() && end.Outlived == 0 {
		return // the job's log line contains it
	}
	line := k.common.Log.WithField("task", end.Task).WithField("run", end.Number).
		WithField("worker", end.Worker).WithField("how", end.Result).WithField("took", end.Took.String())
	if end.Outlived > 0 {
		cellOutlived.Update(end.Outlived.Seconds())
		line = line.WithField("outlived", end.Outlived.String())
	}
	line.Info("run ended")
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
	if result == cell.StartUnconfirmed && isUndelivered(err) {
		result = cell.StartUndelivered
	}
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
	if run.Finished() || run.Fenced() {
		return nil, 0
	}
	return k.orderTarget(run.Worker)
}

// orderTarget returns the worker's loop and the token under which it is held, or no loop if it is not held: with a token that was
// raised to see the lists, an order would fence the keeper that may hold the worker. The caller holds the lock.
func (k *KeeperController) orderTarget(worker *cell.Worker) (*workerLoop, int64) {
	loop := k.loops[worker.ID]
	if loop == nil || loop.worker != worker || !worker.Held() {
		return nil, 0
	}
	return loop, loop.token.Load()
}

// sendStop sends a stop until it is answered or the worker is lost; the cell repeats it as long as the run is not listed as
// ended.
func (k *KeeperController) sendStop(stop cell.Stop) {
	for attempt := range stopAttempts {
		k.mu.Lock()
		loop, token := k.orderTarget(stop.Worker)
		k.mu.Unlock()
		if loop == nil {
			return
		}
		if attempt == 0 {
			cellStops.Inc()
		}
		if k.sendStopOnce(loop, token, stop) {
			return
		}
	}
}

func (k *KeeperController) sendStopOnce(loop *workerLoop, token int64, stop cell.Stop) bool {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	err := k.workers.Stop(ctx, loop.target, StopCall{Token: token, Task: stop.Task, Run: stop.Number})
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

// JobHomes returns the hosts whose jobs are queued or run here.
func (k *KeeperController) JobHomes() map[string]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.JobHomes()
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
