package cell

import (
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
)

// simWorker does what the workers' interface promises: runs under one lease, ends that stay listed until they are
// acknowledged, and starts that are refused after their lease or below a stopped run.
type simWorker struct {
	capacity Resources
	speed    float64 // run time against the estimate
	drift    float64 // speed of its clock against true time
	epoch    time.Time
	born     int64
	token    int64 // highest that this life has seen
	lease    time.Duration
	running  map[runKey]*simRun
	ends     []EndedRunEntry
	number   int64
	barred   map[string]int // highest run that was stopped or has ended, by task
	down     bool
	silent   bool
}

type simRun struct {
	need  Resources
	until time.Time
	hangs bool
	fails bool
}

func newSimWorker(capacity Resources, speed, drift float64, now time.Time) *simWorker {
	worker := &simWorker{capacity: capacity, speed: speed, drift: drift}
	worker.birth(now)
	return worker
}

func (w *simWorker) birth(now time.Time) {
	w.epoch = now
	w.born++
	w.token = 0
	w.lease = 0
	w.running = map[runKey]*simRun{}
	w.ends = nil
	w.number = 0
	w.barred = map[string]int{}
}

func (w *simWorker) clock(now time.Time) time.Duration {
	return time.Duration(w.drift * float64(now.Sub(w.epoch)))
}

// advance ends the runs whose time has come.
func (w *simWorker) advance(now time.Time) {
	lapsed := w.clock(now) > w.lease
	keys := make([]runKey, 0, len(w.running))
	for key := range w.running {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b runKey) int { return w.running[a].until.Compare(w.running[b].until) })
	for _, key := range keys {
		run := w.running[key]
		switch {
		case !run.hangs && !run.until.After(now) && run.fails:
			w.end(key, RunFailed)
		case !run.hangs && !run.until.After(now):
			w.end(key, RunDone)
		case lapsed:
			w.end(key, RunLapsed)
		}
	}
}

func (w *simWorker) end(key runKey, how RunResult) {
	delete(w.running, key)
	w.number++
	w.ends = append(w.ends, EndedRunEntry{Sequence: w.number, Task: key.task, Run: key.number, Result: how})
	w.barred[key.task] = max(w.barred[key.task], key.number)
}

func (w *simWorker) start(key runKey, need Resources, estimate, lease time.Duration, hangs, fails bool, now time.Time) StartResult {
	w.advance(now)
	if _, ok := w.running[key]; ok {
		return StartAccepted
	}
	if w.clock(now) > lease || key.number <= w.barred[key.task] {
		return StartRejected
	}
	w.lease = max(w.lease, min(lease, w.clock(now)+time.Second))
	w.running[key] = &simRun{need: need, until: now.Add(time.Duration(w.speed * float64(estimate))), hangs: hangs, fails: fails}
	return StartAccepted
}

func (w *simWorker) stop(key runKey, now time.Time) {
	w.advance(now)
	if _, ok := w.running[key]; ok {
		w.end(key, RunStopped)
		return
	}
	w.barred[key.task] = max(w.barred[key.task], key.number)
}

func (w *simWorker) hold(ack int64, lease time.Duration, now time.Time) *Report {
	w.advance(now)
	w.lease = max(w.lease, min(lease, w.clock(now)+time.Second))
	w.ends = slices.DeleteFunc(w.ends, func(end EndedRunEntry) bool { return end.Sequence <= ack })
	report := &Report{Incarnation: w.born, Clock: w.clock(now), Ended: slices.Clone(w.ends)}
	for key := range w.running {
		report.Running = append(report.Running, RunEntry{Task: key.task, Run: key.number})
	}
	return report
}

// used returns the room of all that runs there.
func (w *simWorker) used() Resources {
	var used Resources
	for _, run := range w.running {
		used = used.Plus(run.need)
	}
	return used
}

// office is a cell, its workers, and calls to them that take effect when the test says so.
type office struct {
	t       require.TestingT
	now     time.Time
	cell    *Cell
	workers map[string]*simWorker
	answers map[string]*Answer
	decided map[string]time.Time // when the answer came
	late    []lateStart
	jobs    int
	served  map[*Job]bool // jobs of which something has run
	script  func(task string, run int) (hangs, fails, lost bool)

	works    map[string]time.Duration // true run time of a job's tasks, where it is not the estimate
	large    map[*Job]bool
	due      map[*Job]time.Duration                  // true objectives, where the cell knows an estimate
	atWorker func(worker string) (hangs, fails bool) // what is wrong with a worker

	tokens map[string]int64     // with which this office's keeper orders each worker
	fenced map[string]time.Time // since when another keeper has the worker
	cut    bool                 // the keeper's calls do not reach the workers
}

// lateStart is a start whose answer was lost and that takes effect later.
type lateStart struct {
	start Start
	at    time.Time
	born  int64
	token int64
}

const (
	simLease = time.Second
	// step is how far the model's time goes on at once.
	step = 5 * time.Millisecond
)

func newOffice(t require.TestingT) *office {
	return &office{
		t:       t,
		now:     time.Unix(1_000_000, 0),
		cell:    New(Limits{Lease: simLease}),
		workers: map[string]*simWorker{},
		answers: map[string]*Answer{},
		decided: map[string]time.Time{},
		served:  map[*Job]bool{},
		script:  func(string, int) (bool, bool, bool) { return false, false, false },

		works:    map[string]time.Duration{},
		large:    map[*Job]bool{},
		due:      map[*Job]time.Duration{},
		atWorker: func(string) (bool, bool) { return false, false },
		tokens:   map[string]int64{},
		fenced:   map[string]time.Time{},
	}
}

// addWorkers adds equal workers of so many cores and takes them.
func (o *office) addWorkers(count int, cores int64, speed float64) {
	for range count {
		id := fmt.Sprintf("w%02d", len(o.workers))
		capacity := Resources{Cores: cores * 1000, Memory: 1 << 20}
		o.workers[id] = newSimWorker(capacity, speed, 1, o.now)
		o.cell.Add(&Worker{ID: id, Kind: fmt.Sprint(speed), Group: "desk", Capacity: capacity})
		o.hold(id)
	}
}

// hold makes one call to a worker, as its keeper's loop does.
func (o *office) hold(id string) {
	worker, sim := o.cell.Worker(id), o.workers[id]
	if !o.reaches(sim) {
		o.cell.MarkUnresponsive(worker)
		return
	}
	if !sim.admits(o.tokens[id]) {
		if _, known := o.fenced[id]; !known {
			o.fenced[id] = o.now
		}
		effects := o.cell.HandleFenced(worker, o.now)
		o.carry(&effects)
		return
	}
	lease := time.Duration(0)
	if worker.Held() {
		lease, _ = worker.Lease(o.now, simLease)
	}
	report := sim.hold(worker.AckedSequence(), lease, o.now)
	effects := o.cell.HandleReport(worker, report, o.now.Add(time.Nanosecond), o.now)
	o.carry(&effects)
}

// job makes a job of equal tasks.
func (o *office) job(tasks int, cores int64, estimate, objective, deadline time.Duration) *Job {
	o.jobs++
	return o.jobNamed(fmt.Sprintf("j%04d", o.jobs), tasks, cores, estimate, objective, deadline)
}

func (o *office) jobNamed(id string, tasks int, cores int64, estimate, objective, deadline time.Duration) *Job {
	job := &Job{
		ID:              id,
		Home:            "home",
		HomeIncarnation: "life",
		Queue:           "queue",
		Group:           "desk",
		Attempts:        2,
		Arrived:         o.now,
		Objective:       o.now.Add(objective),
		Deadline:        o.now.Add(deadline),
	}
	for index := range tasks {
		job.Tasks = append(job.Tasks, &Task{
			Job:      job,
			Name:     fmt.Sprintf("%s.%d", id, index),
			Demand:   Resources{Cores: cores * 1000, Memory: 1},
			Estimate: estimate,
		})
	}
	return job
}

func (o *office) submit(job *Job) {
	effects := o.cell.Submit(job, o.now)
	o.carry(&effects)
}

// submitLate hands a job that was refused in once more, as its keeper does, to run late where workers stand free.
func (o *office) submitLate(refused *Job) bool {
	again := *refused
	again.answer = nil
	again.Diagnostics = Diagnostics{}
	again.Tasks = nil
	for _, task := range refused.Tasks {
		again.Tasks = append(again.Tasks, &Task{Job: &again, Name: task.Name, Demand: task.Demand, Estimate: task.Estimate})
	}
	effects, started := o.cell.StartLate(&again, o.now)
	if started {
		delete(o.answers, again.ID)
		o.carry(&effects)
	}
	return started
}

func (o *office) carry(effects *Effects) {
	for _, answered := range effects.Answers {
		id := answered.Job.ID
		o.answers[id] = answered.Answer
		o.decided[id] = o.now
		if answered.Answer.Outcome == Refused {
			require.False(o.t, o.served[answered.Job], "job %s was refused, but something of it has run", id)
		}
	}
	for _, start := range effects.Starts {
		o.start(start)
	}
	for _, stop := range effects.Stops {
		sim := o.workers[stop.Worker.ID]
		if !o.reaches(sim) || sim.born != stop.Worker.born || !sim.admits(o.tokens[stop.Worker.ID]) {
			continue
		}
		sim.stop(runKey{stop.Task, stop.Number}, o.now)
		if stop.Run != nil {
			o.cell.HandleStopConfirmed(stop.Run, o.now)
		}
	}
}

func (o *office) start(start Start) {
	run := start.Run
	sim := o.workers[run.Worker.ID]
	_, _, lost := o.script(run.Task.Name, run.Number)
	var effects Effects
	if lost || !o.reaches(sim) {
		if !sim.down && !o.cut {
			late := lateStart{start: start, at: o.now.Add(2 * time.Second), born: sim.born, token: o.tokens[run.Worker.ID]}
			o.late = append(o.late, late)
		}
		effects = o.cell.HandleStartResult(run, StartUnconfirmed, o.now)
	} else {
		effects = o.cell.HandleStartResult(run, o.apply(start, o.tokens[run.Worker.ID]), o.now)
	}
	o.carry(&effects)
}

// reaches reports whether a call to the worker is answered.
func (o *office) reaches(sim *simWorker) bool {
	return !sim.down && !sim.silent && !o.cut
}

// admits takes in the token of a call, and reports whether the worker does anything for it.
func (w *simWorker) admits(token int64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

// apply carries a start out at the worker, and checks what must hold there.
func (o *office) apply(start Start, token int64) StartResult {
	run := start.Run
	sim := o.workers[run.Worker.ID]
	if sim.born != run.Worker.born || !sim.admits(token) {
		return StartRejected
	}
	key := runKey{run.Task.Name, run.Number}
	hangs, fails, _ := o.script(run.Task.Name, run.Number)
	alsoHangs, alsoFails := o.atWorker(run.Worker.ID)
	work, known := o.works[run.Task.Job.ID]
	if !known {
		work = run.Task.Estimate
	}
	_, already := sim.running[key]
	result := sim.start(key, run.Task.Demand, work, start.Lease, hangs || alsoHangs, fails || alsoFails, o.now)
	if result != StartAccepted || already {
		return result
	}
	o.served[run.Task.Job] = true
	require.True(o.t, sim.capacity.Fits(sim.used()), "worker %s has more work than room", run.Worker.ID)
	for id, other := range o.workers {
		if other.down {
			continue
		}
		for running := range other.running {
			require.False(o.t, running.task == key.task && running != key, "task %s runs twice, at %s too", key.task, id)
			require.False(o.t, running == key && id != run.Worker.ID, "run %v runs twice, at %s too", key, id)
		}
	}
	return result
}

// pass lets time go by in small steps, in which workers are held and late starts arrive.
func (o *office) pass(length time.Duration) {
	for end := o.now.Add(length); o.now.Before(end); {
		o.now = o.now.Add(step)
		o.arriveLate()
		o.work()
	}
}

// work holds the workers and lets the cell's time go on.
func (o *office) work() {
	for _, worker := range o.cell.Workers() {
		sim := o.workers[worker.ID]
		sim.advance(o.now)
		if !worker.Idle() || o.now.UnixMilli()%200 < step.Milliseconds() {
			o.hold(worker.ID)
		}
	}
	effects := o.cell.Tick(o.now)
	o.carry(&effects)
}

func (o *office) arriveLate() {
	o.late = slices.DeleteFunc(o.late, func(late lateStart) bool {
		if late.at.After(o.now) {
			return false
		}
		// A worker that has started anew since cannot tell; its keeper stops what it finds there.
		if sim := o.workers[late.start.Run.Worker.ID]; !sim.down && sim.born == late.born {
			o.apply(late.start, late.token)
		}
		return true
	})
}

func (o *office) outcome(job *Job) string {
	answer, ok := o.answers[job.ID]
	if !ok {
		return "none"
	}
	return answer.Outcome.String()
}
