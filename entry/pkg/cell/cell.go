package cell

import (
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/invariant"
)

// Limits are what the workers' interface promises.
type Limits struct {
	Lease time.Duration // longest lease of a run, on the worker's clock
}

// Cell is the dispatch state of one keeper; its caller serialises all calls.
type Cell struct {
	limits  Limits
	workers map[string]*Worker
	ordered []*Worker         // the same, by name
	jobs    map[*Job]struct{} // without an answer
	waiting []*Job            // with tasks that wait for a start
	byID    map[string]*Job   // the last job of each identifier that has no answer or still runs
	speeds  speeds
	needs   map[string]*usualNeed // by group
	doubted map[string]bool       // homes that were not heard lately
	nextSeq int64
}

// Start asks for a task to be started at a worker.
type Start struct {
	Run   *Run
	Lease time.Duration // the lease's end on the worker's clock
}

// Stop asks for a run to be stopped, or kept from starting.
type Stop struct {
	Worker *Worker
	Task   string
	Number int
	Run    *Run // nil for a run that this keeper did not start
}

// AnsweredJob is a job that has got its answer.
type AnsweredJob struct {
	Job    *Job
	Answer *Answer
}

// EndedRun is a run that has ended, for the log.
type EndedRun struct {
	Task   string
	Number int
	Worker string
	Result string
	Took   time.Duration
}

// Effects are what the caller is to carry out.
type Effects struct {
	Starts    []Start
	Stops     []Stop
	Answers   []AnsweredJob
	EndedRuns []EndedRun
	Polls     []*Worker // whose lists should be read at once, beside the call that waits
}

// New returns a cell without workers.
func New(limits Limits) *Cell {
	return &Cell{
		limits:  limits,
		workers: map[string]*Worker{},
		jobs:    map[*Job]struct{}{},
		speeds:  newSpeeds(),
		byID:    map[string]*Job{},
		needs:   map[string]*usualNeed{},
		doubted: map[string]bool{},
	}
}

// Submit takes a job in: it starts what it can, and refuses the job when it cannot be served in time.
func (c *Cell) Submit(job *Job, now time.Time) Effects {
	var effects Effects
	c.nextSeq++
	job.seq = c.nextSeq
	c.jobs[job] = struct{}{}
	c.observeNeed(job)
	c.replace(job, now, &effects)
	if !c.CanEverRun(job) {
		c.giveUp(job, "no worker has room for a task of this size", now, &effects)
		return effects
	}
	c.waiting = append(c.waiting, job)
	c.allowWaves(job)
	wait := c.predict(job, now)
	job.Diagnostics.PredictedDelay = wait
	if now.Add(wait).After(c.latestStart(job)) {
		c.giveUp(job, "it would miss its objective", now, &effects)
		return effects
	}
	c.assign(now, &effects)
	return effects
}

// replace gives up an earlier job of the same identifier, whose caller has sent it anew; the new one waits until nothing of it runs.
func (c *Cell) replace(job *Job, now time.Time, effects *Effects) {
	if earlier, ok := c.byID[job.ID]; ok {
		job.follow(earlier)
		if !earlier.Decided() {
			c.answer(earlier, &Answer{Outcome: Abandoned, Reason: "the caller sent the job anew"}, effects, now)
		}
	}
	c.byID[job.ID] = job
}

// forget drops the identifier of a job that has its answer and of which nothing runs.
func (c *Cell) forget(id string) {
	if last, ok := c.byID[id]; ok && last.Decided() && !last.running() {
		delete(c.byID, id)
	}
}

// CanStartNow reports whether all tasks of the job could start now at workers where they would end in time.
func (c *Cell) CanStartNow(job *Job, now time.Time) bool {
	longest := job.longestTask()
	inTime := func(worker *Worker) bool { return c.isInTime(longest, worker, now) }
	return c.foresee(job, inTime, now) <= 0
}

// Cancel ends the job without an answer to its caller, who has left, and stops what runs.
func (c *Cell) Cancel(job *Job, reason string, now time.Time) Effects {
	var effects Effects
	if job.Decided() {
		return effects
	}
	c.answer(job, &Answer{Outcome: Abandoned, Reason: reason}, &effects, now)
	c.assign(now, &effects)
	return effects
}

// HandleHomeFailure cancels the jobs of a home that is gone; with a life, only those of its other lives.
func (c *Cell) HandleHomeFailure(home, exceptLife string, now time.Time) Effects {
	var effects Effects
	for _, job := range c.sortedJobs() {
		if job.Home == home && (exceptLife == "" || job.HomeIncarnation != exceptLife) {
			c.answer(job, &Answer{Outcome: Abandoned, Reason: "the home is gone"}, &effects, now)
		}
	}
	c.assign(now, &effects)
	return effects
}

// SetSuspectedHomes takes in which homes were not heard lately. No lease is renewed that something of theirs runs under, so that it
// has lapsed by the time their callers send their jobs again, should this keeper be gone as well by then.
func (c *Cell) SetSuspectedHomes(homes []string) {
	clear(c.doubted)
	for _, home := range homes {
		c.doubted[home] = true
	}
}

// Tick lets deadlines and leases run out.
func (c *Cell) Tick(now time.Time) Effects {
	var effects Effects
	for _, worker := range c.ordered {
		if worker.silent && worker.clock.lapsed(now) {
			c.loseRuns(worker, now, &effects)
		}
		c.retryOverdue(worker, now, &effects)
		if worker.isReportMissing(now) {
			worker.looked = now
			effects.Polls = append(effects.Polls, worker)
		}
	}
	for _, job := range c.sortedJobs() {
		if !now.Before(job.Deadline) {
			c.giveUp(job, "the deadline passed", now, &effects)
		}
	}
	c.assign(now, &effects)
	return effects
}

const (
	// reportSlack is how long after the expected end of a run its worker's report may come; half of the runs take longer
	// than expected, by 40 % at most.
	reportSlack = 40 * time.Millisecond
	// lookInterval bounds how often a worker's lists are read beside the call that waits; each look is paid for.
	lookInterval = 150 * time.Millisecond
)

// isReportMissing reports whether a run should have ended and nothing was heard of the worker, so that the call that waits for the end may be lost.
func (w *Worker) isReportMissing(now time.Time) bool {
	if !w.held || w.silent || now.Sub(w.reported) < lookInterval || now.Sub(w.looked) < lookInterval {
		return false
	}
	for _, run := range w.runs {
		if now.Sub(run.sent) > run.expected+reportSlack {
			return true
		}
	}
	return false
}

// giveUp answers a job that cannot be served.
func (c *Cell) giveUp(job *Job, reason string, now time.Time, effects *Effects) {
	if job.Started() {
		c.answer(job, &Answer{Outcome: Abandoned, Reason: reason}, effects, now)
		return
	}
	job.Diagnostics.Shortage = c.shortage(job, now)
	c.answer(job, &Answer{Outcome: Refused, Reason: reason, RetryAfter: comeBack(c.predict(job, now))}, effects, now)
}

// answer decides the job and stops what runs of it.
func (c *Cell) answer(job *Job, answer *Answer, effects *Effects, now time.Time) {
	invariant.Check(!job.Decided(), "one_answer", "job %s", job.ID)
	invariant.Check(answer.Outcome != Refused || !job.Started(), "refused_has_not_run", "job %s", job.ID)
	job.answer = answer
	delete(c.jobs, job)
	for _, task := range job.Tasks {
		switch task.state {
		case Waiting:
			task.state = Dropped
		case Started:
			c.stop(task.run, now, effects)
		case Done, Dropped:
		}
	}
	c.forget(job.ID)
	effects.Answers = append(effects.Answers, AnsweredJob{Job: job, Answer: answer})
}

// stop asks the worker to stop the run; its room stays taken until the worker lists the end.
func (c *Cell) stop(run *Run, now time.Time, effects *Effects) {
	if run.stopping && now.Sub(run.stopped) < stopAgain {
		return
	}
	run.stopping = true
	run.stopped = now
	effects.Stops = append(effects.Stops, Stop{Worker: run.Worker, Task: run.Task.Name, Number: run.Number, Run: run})
}

// stopAgain is the delay before a stop is sent again whose end was not listed; a stop takes at most 50 ms.
const stopAgain = 150 * time.Millisecond

// retryOverdue moves runs that take far too long to another worker, and sends lost stops again.
func (c *Cell) retryOverdue(worker *Worker, now time.Time, effects *Effects) {
	for _, run := range worker.sortedRuns() {
		if run.stopping {
			c.stop(run, now, effects)
			continue
		}
		if !run.overdue(now) || worker.silent {
			continue
		}
		if !worker.health.paused(now) {
			worker.health.leaveOut(now)
			c.speeds.observe(run, now.Sub(run.sent))
		}
		if c.mayEndElsewhere(run, now) {
			run.Task.avoid = worker
			c.stop(run, now, effects)
		}
	}
}

// mayEndElsewhere reports whether the run's task could end in time when it starts anew at another worker.
func (c *Cell) mayEndElsewhere(run *Run, now time.Time) bool {
	again := c.speeds.usual(run.Task.Job.Queue, run.Task.Estimate)
	return run.Task.runs < maxRuns && now.Add(again).Before(run.Task.Job.Deadline)
}

// maxRuns bounds how often a task is moved away from workers that hang.
const maxRuns = 3

// note reports the end of a run and keeps it in its job's trace.
func (e *Effects) note(run *Run, how string, now time.Time) {
	ended := EndedRun{Task: run.Task.Name, Number: run.Number, Worker: run.Worker.ID, Result: how, Took: now.Sub(run.sent)}
	e.EndedRuns = append(e.EndedRuns, ended)
	if trace := &run.Task.Job.Diagnostics; len(trace.EndedRuns) < maxTraced {
		trace.EndedRuns = append(trace.EndedRuns, ended)
	}
}

func (c *Cell) sortedJobs() []*Job {
	jobs := make([]*Job, 0, len(c.jobs))
	for job := range c.jobs {
		jobs = append(jobs, job)
	}
	slices.SortFunc(jobs, func(a, b *Job) int { return int(a.seq - b.seq) })
	return jobs
}
