package dispatch

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/budget"
	"chervilusher.dev/entry/pkg/invariant"
	"chervilusher.dev/lib/api"
)

// Engine makes the dispatch decisions and keeps their state on the board.
type Engine struct {
	board     *blackboard.Dispatch
	policies  Policies
	limits    Limits
	maxTries  int
	deadlines deadlineHeap
	running   startQueue
	reserved  map[*blackboard.Task]*blackboard.Backend
	memory    *budget.Budget // of jobs with tasks that wait or run
}

// Limits define long work and bound its share of the capacity.
type Limits struct {
	LongAfter time.Duration // run time from which a task counts as long
	LongShare float64       // largest share of a failure domain's capacity that long work may hold
	Memory    int64         // bytes that jobs with tasks that wait or run may take; 0 is no bound
}

// maxTries bounds the starts of a task that reaches no back end.
const maxTries = 12

// New returns an engine that works on the board with the given policies and limits.
func New(board *blackboard.Dispatch, policies Policies, limits Limits) *Engine {
	return &Engine{
		board:    board,
		policies: policies,
		limits:   limits,
		maxTries: maxTries,
		reserved: map[*blackboard.Task]*blackboard.Backend{},
		memory:   budget.New(limits.Memory, smallJobBytes),
	}
}

// Group returns the named group, creating it if it does not exist.
func (e *Engine) Group(name string) *blackboard.Group {
	group, ok := e.board.Groups[name]
	if !ok {
		group = &blackboard.Group{
			Name:          name,
			Backends:      map[string]*blackboard.Backend{},
			Queue:         e.policies.NewQueue(e.board.Accounts),
			LongLoad:      map[string]float64{},
			ShortLoadPeak: map[string]float64{},
			Demands:       map[blackboard.DemandKey]*blackboard.Demand{},
		}
		e.board.Groups[name] = group
	}
	return group
}

// Submit queues the job's tasks and starts those that find slots, or refuses the whole job.
func (e *Engine) Submit(job *blackboard.Job, now time.Time) (Effects, *Refusal) {
	for _, task := range job.Tasks {
		group := e.Group(task.Target.Group)
		e.refreshCapacity(group, now)
		e.classify(group, task)
	}
	refusal := e.refuse(job, now)
	if refusal == nil {
		refusal = e.takeMemory(job)
	}
	if refusal != nil {
		countRefusal(job.Account, refusal)
		return Effects{}, refusal
	}
	for _, task := range job.Tasks {
		task.Queued = now
		e.enqueue(e.Group(task.Target.Group), task)
	}
	e.deadlines.add(job)
	return e.assignGroups(job, now), nil
}

// Finish processes the outcome of a start; an outcome of an earlier attempt is ignored and reported as stale.
func (e *Engine) Finish(task *blackboard.Task, attempt int, outcome Outcome, now time.Time) (effects Effects, stale bool) {
	if task.Tries != attempt || task.State != blackboard.TaskStarted {
		return Effects{}, true
	}
	group := e.Group(task.Target.Group)
	backend := task.Backend
	e.releaseSlots(group, task)
	e.recordOutcome(task, backend, outcome, now)
	if outcome.Verdict == VerdictDone {
		e.policies.Estimator.Observe(task, backend, now.Sub(task.Started))
	} else if task.Job.Decided() {
		outcome.Stopped = true
	}
	e.policies.Health.Observe(group, backend, outcome, now)
	e.policies.Placement.Update(group, backend)
	switch {
	case task.Job.Decided():
		e.settle(task, blackboard.TaskEnded)
	case outcome.Verdict == VerdictDone:
		e.complete(task, outcome.Value)
	case e.mayRetry(group, task, outcome):
		effects.Stops = e.retry(group, task, outcome, now)
	default:
		effects.Stops = e.fail(task, outcome)
	}
	effects.Append(e.Assign(group, now))
	return effects, false
}

// Cancel ends the job, drops its queued tasks and stops its running ones.
func (e *Engine) Cancel(job *blackboard.Job, now time.Time) Effects {
	if job.Decided() {
		return Effects{}
	}
	stops := e.endJob(job, &api.Answer{
		State:  api.StateCancelled,
		Code:   api.CodeCancelled,
		Reason: "the caller cancelled the job",
	})
	effects := e.assignGroups(job, now)
	effects.Stops = append(effects.Stops, stops...)
	return effects
}

// Tick ends jobs whose deadline passed before all their tasks started, ends back-offs that are over,
// and starts queued tasks.
func (e *Engine) Tick(now time.Time) Effects {
	effects := e.expire(now)
	e.markOverruns(now)
	e.expireReservations(now)
	for _, group := range e.board.Groups {
		if group.Busy > 0 || group.Queue.Len() > 0 {
			e.refreshCapacity(group, now) // an idle group is summed on the next submission
		}
		for _, backend := range e.policies.Health.Tick(group, now) {
			e.policies.Placement.Update(group, backend)
		}
		effects.Append(e.Assign(group, now))
	}
	return effects
}

// expire ends the jobs whose deadline passed before all their tasks started.
func (e *Engine) expire(now time.Time) Effects {
	var effects Effects
	for _, job := range e.deadlines.expired(now) {
		if !hasQueued(job) {
			continue
		}
		expiredTotal.Inc()
		effects.Stops = append(effects.Stops, e.endJob(job, expired())...)
	}
	return effects
}

// BackendChanged processes a change of a back end's grant, state or presence.
func (e *Engine) BackendChanged(group *blackboard.Group, backend *blackboard.Backend) {
	e.policies.Placement.Update(group, backend)
}

// Sync processes a change of any number of back ends by visiting all of them.
func (e *Engine) Sync() {
	for _, group := range e.board.Groups {
		e.policies.Placement.Sync(group)
		group.Capacity.Summed = time.Time{}
	}
}

// Assign starts queued tasks of the group while free slots remain.
func (e *Engine) Assign(group *blackboard.Group, now time.Time) Effects {
	effects := e.expire(now)
	for group.Queue.Len() > 0 && e.hasFreeSlots(group) {
		var backend *blackboard.Backend
		var failures fitFailures
		task := group.Queue.Pop(func(task *blackboard.Task) bool {
			backend = e.pickBackend(group, task, &failures, now)
			return backend != nil
		})
		if task == nil {
			break
		}
		effects.Starts = append(effects.Starts, e.start(group, task, backend, now))
	}
	return effects
}

// hasFreeSlots reports whether some back end may have a free slot; false is certain.
func (e *Engine) hasFreeSlots(group *blackboard.Group) bool {
	return len(e.reserved) > 0 || e.policies.Placement.HasFreeSlots(group)
}

// pickBackend returns a back end where the task can start now, or nil.
func (e *Engine) pickBackend(group *blackboard.Group, task *blackboard.Task, failures *fitFailures, now time.Time) *blackboard.Backend {
	if !e.accountMayRun(task.Job.Account) {
		return nil
	}
	if e.reclassify(group, task) {
		return nil
	}
	if backend := e.pickReserved(task, now); backend != nil {
		return backend
	}
	if failures.rulesOut(task) {
		return nil
	}
	backend := e.policies.Placement.Pick(group, task, now)
	if backend == nil {
		failures.record(task)
		e.reserve(group, task, now)
	}
	return backend
}

func (e *Engine) assignGroups(job *blackboard.Job, now time.Time) Effects {
	var effects Effects
	seen := map[string]bool{}
	for _, task := range job.Tasks {
		name := task.Target.Group
		if seen[name] {
			continue
		}
		seen[name] = true
		effects.Append(e.Assign(e.Group(name), now))
	}
	return effects
}

func (e *Engine) accountMayRun(name string) bool {
	account := e.board.Accounts[name]
	return account.MaxRun == 0 || account.Running < account.MaxRun
}

func (e *Engine) start(group *blackboard.Group, task *blackboard.Task, backend *blackboard.Backend, now time.Time) Start {
	invariant.Check(task.State == blackboard.TaskQueued, "task_starts_once", "job %s task %d starts in state %d", task.Job.ID, task.Index, task.State)
	invariant.Check(task.Attempt == 0 || task.Job.Idempotent, "task_starts_once", "job %s task %d starts again", task.Job.ID, task.Index)
	invariant.Check(!backend.IsClosed(), "leaving_gets_no_work", "back end %s", backend.Name)
	e.dequeued(group, task)
	e.board.Accounts[task.Job.Account].Running++
	if task.Tries == 0 {
		e.policies.Health.ObserveStart(group)
		observeWait(task.Long, now.Sub(task.Queued).Seconds())
	}
	task.State = blackboard.TaskStarted
	task.Attempt++
	task.Tries++
	task.Backend = backend
	task.Width = backend.Width(task.Need)
	task.Started = now
	task.Job.Started = true
	e.holdSlots(group, task)
	return Start{
		Task:    task,
		Attempt: task.Tries,
		ID:      startID(task),
		Backend: *backend,
		Payload: task.Payload,
		Account: task.Job.Account,
	}
}

// holdSlots marks the task's slots as busy.
func (e *Engine) holdSlots(group *blackboard.Group, task *blackboard.Task) {
	backend := task.Backend
	backend.Busy += task.Width
	backend.Starts++
	backend.Peak = max(backend.Peak, backend.Busy)
	group.Busy += task.Width
	if backend.Ejected {
		invariant.Check(!backend.Probing, "one_probe", "back end %s", backend.Name)
		backend.Probing = true
	}
	if task.Long {
		holdLong(group, task)
	} else {
		e.running.push(task)
	}
	e.policies.Placement.Update(group, backend)
}

// releaseSlots frees the task's slots.
func (e *Engine) releaseSlots(group *blackboard.Group, task *blackboard.Task) {
	backend := task.Backend
	backend.Busy -= task.Width
	group.Busy -= task.Width
	invariant.Check(backend.Busy >= 0, "slots_balance", "back end %s has %d busy slots", backend.Name, backend.Busy)
	e.board.Accounts[task.Job.Account].Running--
	releaseLong(group, task)
}
