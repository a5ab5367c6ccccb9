package dispatch

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/invariant"
	"chervilusher.dev/lib/api"
)

// Engine is the dispatcher's decisions over the board's dispatch state.
type Engine struct {
	board     *blackboard.Dispatch
	policies  Policies
	limits    Limits
	maxTries  int
	deadlines deadlineHeap
	running   startQueue
	reserved  map[*blackboard.Task]*blackboard.Backend
}

// Limits bound what long work may take.
type Limits struct {
	LongAfter time.Duration // a task that has run for this long counts as long
	LongShare float64       // most of a place's slots that long work may hold
}

// maxTries bounds how often a task that reaches no back end is tried.
const maxTries = 12

// New returns an engine over the board with the given policies.
func New(board *blackboard.Dispatch, policies Policies, limits Limits) *Engine {
	return &Engine{
		board:    board,
		policies: policies,
		limits:   limits,
		maxTries: maxTries,
		reserved: map[*blackboard.Task]*blackboard.Backend{},
	}
}

// Group returns the group of that name and makes it when it is new.
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

// Submit queues the job's tasks and starts what it can, or refuses the whole job.
func (e *Engine) Submit(job *blackboard.Job, now time.Time) (Effects, *Refusal) {
	for _, task := range job.Tasks {
		group := e.Group(task.Target.Group)
		e.refresh(group, now)
		e.classify(group, task)
	}
	if refusal := e.refuse(job, now); refusal != nil {
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

// Finish takes in how a start ended; an outcome of an earlier attempt is dropped and reported as stale.
func (e *Engine) Finish(task *blackboard.Task, attempt int, outcome Outcome, now time.Time) (effects Effects, stale bool) {
	if task.Tries != attempt || task.State != blackboard.TaskStarted {
		return Effects{}, true
	}
	group := e.Group(task.Target.Group)
	backend := task.Backend
	e.release(group, task)
	e.learn(task, backend, outcome, now)
	if outcome.Verdict == VerdictDone {
		e.policies.Estimator.Observe(task, backend, now.Sub(task.Started))
	} else if task.Job.Decided() {
		outcome.Stopped = true
	}
	e.policies.Health.Observe(group, backend, outcome, now)
	e.policies.Placement.Update(group, backend)
	switch {
	case task.Job.Decided():
		task.State = blackboard.TaskEnded
	case outcome.Verdict == VerdictDone:
		e.complete(task, outcome.Value)
	case e.mayStartAgain(group, task, outcome):
		effects.Stops = e.startAgain(group, task, outcome, now)
	default:
		effects.Stops = e.fail(task, outcome)
	}
	effects.Append(e.Assign(group, now))
	return effects, false
}

// Cancel ends the job at once, drops what has not started and stops what runs.
func (e *Engine) Cancel(job *blackboard.Job, now time.Time) Effects {
	if job.Decided() {
		return Effects{}
	}
	stops := e.end(job, &api.Answer{
		State:  api.StateCancelled,
		Code:   api.CodeCancelled,
		Reason: "the caller cancelled the job",
	})
	effects := e.assignGroups(job, now)
	effects.Stops = append(effects.Stops, stops...)
	return effects
}

// Tick ends jobs whose deadline passed before all their tasks were started, and lets delays run out.
func (e *Engine) Tick(now time.Time) Effects {
	effects := e.expire(now)
	e.countOverruns(now)
	e.expireReservations(now)
	for _, group := range e.board.Groups {
		if group.Busy > 0 || group.Queue.Len() > 0 {
			e.refresh(group, now) // an idle group is summed when work comes
		}
		for _, backend := range e.policies.Health.Tick(group, now) {
			e.policies.Placement.Update(group, backend)
		}
		effects.Append(e.Assign(group, now))
	}
	return effects
}

// expire ends the jobs whose deadline passed before all their tasks were started.
func (e *Engine) expire(now time.Time) Effects {
	var effects Effects
	for _, job := range e.deadlines.expired(now) {
		if !hasQueued(job) {
			continue
		}
		expiredTotal.Inc()
		effects.Stops = append(effects.Stops, e.end(job, expired())...)
	}
	return effects
}

// BackendChanged takes in that the grant, the state or the presence of a back end has changed.
func (e *Engine) BackendChanged(group *blackboard.Group, backend *blackboard.Backend) {
	e.policies.Placement.Update(group, backend)
}

// Sync takes in that any back ends may have changed; it looks at all of them.
func (e *Engine) Sync() {
	for _, group := range e.board.Groups {
		e.policies.Placement.Sync(group)
		group.Capacity.Summed = time.Time{}
	}
}

// Assign starts waiting tasks of the group while there are free slots for them.
func (e *Engine) Assign(group *blackboard.Group, now time.Time) Effects {
	effects := e.expire(now)
	for group.Queue.Len() > 0 && e.hasRoom(group) {
		var backend *blackboard.Backend
		var full fullness
		task := group.Queue.Pop(func(task *blackboard.Task) bool {
			backend = e.fit(group, task, &full, now)
			return backend != nil
		})
		if task == nil {
			break
		}
		effects.Starts = append(effects.Starts, e.start(group, task, backend, now))
	}
	return effects
}

// hasRoom reports whether some back end may have room; false is certain.
func (e *Engine) hasRoom(group *blackboard.Group) bool {
	return len(e.reserved) > 0 || e.policies.Placement.HasFreeSlots(group)
}

// fit returns where the task may start now, or nil.
func (e *Engine) fit(group *blackboard.Group, task *blackboard.Task, full *fullness, now time.Time) *blackboard.Backend {
	if !e.ownerMayRun(task.Job.Account) {
		return nil
	}
	if e.reclassify(group, task) {
		return nil
	}
	if backend := e.fitReserved(task, now); backend != nil {
		return backend
	}
	if full.excludes(task) {
		return nil
	}
	backend := e.policies.Placement.Pick(group, task, now)
	if backend == nil {
		full.note(task)
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

func (e *Engine) ownerMayRun(name string) bool {
	owner := e.board.Accounts[name]
	return owner.MaxRun == 0 || owner.Running < owner.MaxRun
}

func (e *Engine) start(group *blackboard.Group, task *blackboard.Task, backend *blackboard.Backend, now time.Time) Start {
	invariant.Check(task.State == blackboard.TaskQueued, "task_starts_once", "job %s task %d starts in state %d", task.Job.ID, task.Index, task.State)
	invariant.Check(task.Attempt == 0 || task.Job.Idempotent, "task_starts_once", "job %s task %d starts again", task.Job.ID, task.Index)
	invariant.Check(!backend.Leaving, "leaving_gets_no_work", "back end %s", backend.Name)
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
	e.hold(group, task)
	return Start{
		Task:    task,
		Attempt: task.Tries,
		ID:      startID(task),
		Backend: *backend,
		Payload: task.Payload,
		Account: task.Job.Account,
	}
}

// hold takes the task's slots.
func (e *Engine) hold(group *blackboard.Group, task *blackboard.Task) {
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

// release gives the task's slots back.
func (e *Engine) release(group *blackboard.Group, task *blackboard.Task) {
	backend := task.Backend
	backend.Busy -= task.Width
	group.Busy -= task.Width
	invariant.Check(backend.Busy >= 0, "slots_balance", "back end %s has %d busy slots", backend.Name, backend.Busy)
	e.board.Accounts[task.Job.Account].Running--
	releaseLong(group, task)
}
