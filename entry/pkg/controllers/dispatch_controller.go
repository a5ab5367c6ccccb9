package controllers

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/platform"
)

const (
	// tickInterval is how often the engine checks deadlines and delays.
	tickInterval = 20 * time.Millisecond
	// stopTimeout bounds all attempts to stop one start, retries included.
	stopTimeout = 3 * time.Second
	// unresponsiveTimeout is how long queries about a start may go unanswered before the start is stopped.
	unresponsiveTimeout = 3 * time.Second
	// stopRetryInterval is the delay before a stop without an answer is repeated.
	stopRetryInterval = 100 * time.Millisecond
	// queryInterval is the delay between queries for the end of a task whose answer was lost.
	queryInterval = 50 * time.Millisecond
)

var (
	startsTotal   = metrics.NewCounter(`chervilusher_starts_total`)
	staleAnswers  = metrics.NewCounter(`chervilusher_answers_dropped_total{why="stale"}`)
	resolvedTotal = metrics.NewCounter(`chervilusher_starts_settled_total`)
	stopsTotal    = metrics.NewCounter(`chervilusher_stops_total`)
)

// Starter starts and stops tasks at back ends of one role.
type Starter interface {
	Start(ctx context.Context, start *dispatch.Start) dispatch.Outcome
	// Query returns the state of a start at its back end.
	Query(ctx context.Context, stop *dispatch.Stop) (*platform.TaskStatus, error)
	// Stop stops a start, or leaves a tombstone so that a late start is rejected.
	Stop(ctx context.Context, stop *dispatch.Stop) (*platform.TaskStatus, error)
}

// DispatchController executes the engine's decisions and reports the outcomes to it.
type DispatchController struct {
	common     *common.Common
	board      *blackboard.Board
	engine     *dispatch.Engine
	endpoints  Starter
	workers    Starter
	running    atomic.Int64 // calls to back ends in progress
	onDecision func()       // called after each Run
}

// OnDecision sets the function called after each Run. It must be set before Serve, and must not block.
func (d *DispatchController) OnDecision(notify func()) {
	d.onDecision = notify
}

// NewDispatchController returns a controller; the engine is guarded by the board's dispatch lock.
func NewDispatchController(
	c *common.Common,
	board *blackboard.Board,
	engine *dispatch.Engine,
	endpoints, workers Starter,
) *DispatchController {
	return &DispatchController{
		common:     c.Prefixed("dispatch"),
		board:      board,
		engine:     engine,
		endpoints:  endpoints,
		workers:    workers,
		onDecision: func() {},
	}
}

// Serve runs the engine's timers until the context ends.
func (d *DispatchController) Serve(ctx context.Context) {
	d.common.Every(ctx, tickInterval, d.tick)
}

func (d *DispatchController) tick() {
	d.board.Dispatch.Lock()
	effects := d.engine.Tick(d.common.Clock.Now())
	d.board.Dispatch.Unlock()
	d.Run(effects)
}

// AssignAll starts waiting tasks after grants have changed.
func (d *DispatchController) AssignAll() {
	d.board.Dispatch.Lock()
	var effects dispatch.Effects
	d.engine.Sync()
	for _, group := range d.board.Dispatch.Groups {
		effects.Append(d.engine.Assign(group, d.common.Clock.Now()))
	}
	d.board.Dispatch.Unlock()
	d.Run(effects)
}

// Run starts and stops tasks without waiting for their outcomes.
func (d *DispatchController) Run(effects dispatch.Effects) {
	for i := range effects.Starts {
		start := &effects.Starts[i]
		d.spawn(func() { d.start(start) })
	}
	for i := range effects.Stops {
		stop := &effects.Stops[i]
		d.spawn(func() { d.stop(stop) })
	}
	d.onDecision()
}

func (d *DispatchController) spawn(call func()) {
	d.running.Add(1)
	go func() {
		defer d.running.Add(-1)
		call()
	}()
}

// Running returns the number of calls to back ends in progress.
func (d *DispatchController) Running() int64 {
	return d.running.Load()
}

func (d *DispatchController) start(start *dispatch.Start) {
	startsTotal.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), start.Task.Target.Timeout)
	outcome := d.attempt(ctx, start)
	if outcome.Verdict == dispatch.VerdictUnknown && start.Task.Target.Tombstones {
		outcome = d.resolve(ctx, start, outcome)
	}
	cancel()
	metrics.GetOrCreateCounter(fmt.Sprintf(`chervilusher_outcomes_total{verdict=%q}`, outcome.Verdict)).Inc()
	d.common.Log.WithField("start", start.ID).WithField("backend", start.Backend.Name).Debugf("start ended: %s", outcome.Verdict)
	d.board.Dispatch.Lock()
	effects, stale := d.engine.Finish(start.Task, start.Attempt, outcome, d.common.Clock.Now())
	d.board.Dispatch.Unlock()
	if stale {
		staleAnswers.Inc()
	}
	d.Run(effects)
}

func (d *DispatchController) attempt(ctx context.Context, start *dispatch.Start) dispatch.Outcome {
	// After a pause of this process its lease may have expired.
	// A start that passes this check nevertheless is rejected by the fencing token.
	if start.Backend.GrantExpired(d.common.Clock.Now()) {
		return dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Error: "the lease lapsed before the start", Busy: true}
	}
	return d.starter(start.Backend.Role).Start(ctx, start)
}

// resolve determines the outcome of a start whose answer was lost:
// it polls the task until it ends, or leaves a tombstone so that it never starts.
// A task that was seen running and is absent later has run: its back end has restarted since.
func (d *DispatchController) resolve(ctx context.Context, start *dispatch.Start, lost dispatch.Outcome) dispatch.Outcome {
	resolvedTotal.Inc()
	stop := &dispatch.Stop{ID: start.ID, Backend: start.Backend, Supported: true}
	lastAnswer := d.common.Clock.Now()
	hasRun := false
	for ctx.Err() == nil && d.common.Clock.Since(lastAnswer) < unresponsiveTimeout {
		status, err := d.starter(start.Backend.Role).Query(ctx, stop)
		if err == nil && status.Task == start.ID {
			lastAnswer = d.common.Clock.Now()
			if status.State != platform.TaskRunning {
				break
			}
			hasRun = true
		}
		select {
		case <-ctx.Done():
		case <-d.common.Clock.After(queryInterval):
		}
	}
	status := d.stopOrTombstone(stop)
	if status == nil || (hasRun && status.State == platform.TaskAbsent) {
		return lost
	}
	return resolvedOutcome(status, lost)
}

// stopOrTombstone stops a start or leaves a tombstone.
// It returns the state that the back end reports, or nil when the back end does not answer.
func (d *DispatchController) stopOrTombstone(stop *dispatch.Stop) *platform.TaskStatus {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for ctx.Err() == nil {
		status, err := d.starter(stop.Backend.Role).Stop(ctx, stop)
		if err == nil && status.Task == stop.ID {
			return status
		}
		select {
		case <-ctx.Done():
		case <-d.common.Clock.After(stopRetryInterval):
		}
	}
	return nil
}

// resolvedOutcome returns the outcome for the state that a stop found; only an absent task has not run.
func resolvedOutcome(status *platform.TaskStatus, lost dispatch.Outcome) dispatch.Outcome {
	switch status.State {
	case platform.TaskAbsent:
		return dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Error: lost.Error}
	case platform.TaskDone:
		return dispatch.Outcome{Verdict: dispatch.VerdictDone, Value: status.Value}
	case platform.TaskFailed:
		return dispatch.Outcome{Verdict: dispatch.VerdictFailed, Error: status.Error}
	case platform.TaskStopped:
		return dispatch.Outcome{Verdict: dispatch.VerdictFailed, Error: "the task was stopped: " + lost.Error}
	case platform.TaskRunning:
		return lost
	default:
		return lost
	}
}

func (d *DispatchController) stop(stop *dispatch.Stop) {
	if !stop.Supported {
		return
	}
	stopsTotal.Inc()
	if d.stopOrTombstone(stop) == nil {
		d.common.Log.WithField("start", stop.ID).Warn("cannot stop a task")
	}
}

func (d *DispatchController) starter(role platform.Role) Starter {
	if role == platform.RoleWorker {
		return d.workers
	}
	return d.endpoints
}
