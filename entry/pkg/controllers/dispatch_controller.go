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
	// tickInterval is how often deadlines and delays are looked at.
	tickInterval = 20 * time.Millisecond
	// stopTimeout bounds one call that stops a task or asks for its outcome.
	stopTimeout = 3 * time.Second
	// silenceTimeout is how long a back end may be silent until a start there counts as lost.
	silenceTimeout = 3 * time.Second
	// stopInterval is the delay after a stop whose answer was lost.
	stopInterval = 100 * time.Millisecond
	// settleInterval is the delay between questions for the end of a task whose answer is lost.
	settleInterval = 50 * time.Millisecond
)

var (
	startsTotal  = metrics.NewCounter(`chervilusher_starts_total`)
	staleAnswers = metrics.NewCounter(`chervilusher_answers_dropped_total{why="stale"}`)
	settledTotal = metrics.NewCounter(`chervilusher_starts_settled_total`)
	stopsTotal   = metrics.NewCounter(`chervilusher_stops_total`)
)

// Starter starts and stops tasks at one kind of back end.
type Starter interface {
	Start(ctx context.Context, start *dispatch.Start) dispatch.Outcome
	// Query asks what the back end knows of a start.
	Query(ctx context.Context, stop *dispatch.Stop) (*platform.TaskStatus, error)
	// Stop stops a start, or leaves a tombstone so that it never begins.
	Stop(ctx context.Context, stop *dispatch.Stop) (*platform.TaskStatus, error)
}

// DispatchController carries out the engine's decisions and reports their outcomes back to it.
type DispatchController struct {
	common  *common.Common
	board   *blackboard.Board
	engine  *dispatch.Engine
	minions Starter
	workers Starter
	running atomic.Int64 // calls to back ends in progress
	observe func()       // called after each decision
}

// OnDecision sets what is called after each decision; it is to be set before Serve, and must not block.
func (d *DispatchController) OnDecision(observe func()) {
	d.observe = observe
}

// NewDispatchController returns the controller; the board's dispatch lock guards the engine.
func NewDispatchController(
	c *common.Common,
	board *blackboard.Board,
	engine *dispatch.Engine,
	minions, workers Starter,
) *DispatchController {
	return &DispatchController{
		common:  c.Prefixed("dispatch"),
		board:   board,
		engine:  engine,
		minions: minions,
		workers: workers,
		observe: func() {},
	}
}

// Serve lets deadlines and delays run out until the context ends.
func (d *DispatchController) Serve(ctx context.Context) {
	d.common.Every(ctx, tickInterval, d.tick)
}

func (d *DispatchController) tick() {
	d.board.Dispatch.Lock()
	effects := d.engine.Tick(d.common.Clock.Now())
	d.board.Dispatch.Unlock()
	d.Run(effects)
}

// AssignAll starts waiting work after grants have changed.
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
	d.observe()
}

func (d *DispatchController) spawn(call func()) {
	d.running.Add(1)
	go func() {
		defer d.running.Add(-1)
		call()
	}()
}

// Running returns how many tasks are being started, run or stopped.
func (d *DispatchController) Running() int64 {
	return d.running.Load()
}

func (d *DispatchController) start(start *dispatch.Start) {
	startsTotal.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), start.Task.Target.Timeout)
	outcome := d.attempt(ctx, start)
	if outcome.Verdict == dispatch.VerdictUnknown && start.Task.Target.Tombstones {
		outcome = d.settle(ctx, start, outcome)
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
	// A holder that was paused finds here that its lease has lapsed; what slips past is refused by the fencing token.
	if start.Backend.GrantExpired(d.common.Clock.Now()) {
		return dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Error: "the lease lapsed before the start", Busy: true}
	}
	return d.starter(start.Backend.Role).Start(ctx, start)
}

// settle learns what became of a start whose answer is lost: it follows the task to its end, or makes sure that it never begins.
func (d *DispatchController) settle(ctx context.Context, start *dispatch.Start, lost dispatch.Outcome) dispatch.Outcome {
	settledTotal.Inc()
	stop := &dispatch.Stop{ID: start.ID, Backend: start.Backend, Supported: true}
	heard := d.common.Clock.Now()
	for ctx.Err() == nil && d.common.Clock.Since(heard) < silenceTimeout {
		status, err := d.starter(start.Backend.Role).Query(ctx, stop)
		if err == nil && status.Task == start.ID {
			heard = d.common.Clock.Now()
			if status.State != platform.TaskRunning {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-d.common.Clock.After(settleInterval):
		}
	}
	status := d.bury(stop)
	if status == nil {
		return lost
	}
	return settledOutcome(status, lost)
}

// bury stops a start or leaves a tombstone, and returns what the back end says of it, or nil when it does not answer.
func (d *DispatchController) bury(stop *dispatch.Stop) *platform.TaskStatus {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for ctx.Err() == nil {
		status, err := d.starter(stop.Backend.Role).Stop(ctx, stop)
		if err == nil && status.Task == stop.ID {
			return status
		}
		select {
		case <-ctx.Done():
		case <-d.common.Clock.After(stopInterval):
		}
	}
	return nil
}

// settledOutcome reads the state in which a tombstone was met; only an absent task has not run.
func settledOutcome(status *platform.TaskStatus, lost dispatch.Outcome) dispatch.Outcome {
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
	if d.bury(stop) == nil {
		d.common.Log.WithField("start", stop.ID).Warn("cannot stop a task")
	}
}

func (d *DispatchController) starter(role platform.Role) Starter {
	if role == platform.RoleWorker {
		return d.workers
	}
	return d.minions
}
