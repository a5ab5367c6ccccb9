package cell

import (
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/interference"
	"chervilusher.dev/entry/pkg/invariant"
	"chervilusher.dev/entry/pkg/share"
)

// Limits holds the limits that workers and callers set.
type Limits struct {
	Lease    time.Duration // maximum lease of a run, on the worker's clock
	Resubmit time.Duration // after it a caller may resubmit a job that was abandoned or whose connection broke
	Unheard  time.Duration // a job of a home that reports its calls, but for this long not this one, is abandoned; zero for never
	// CallDelay is how long after it was sent a call without an answer may still be carried out; zero for never.
	CallDelay time.Duration
	// LeaveNotice is how long before its end a worker that leaves has announced it in the directory; zero if the directory is
	// always up to date.
	LeaveNotice time.Duration
	// KeepApart is whether tasks that slow each other down start on different workers where there is room.
	KeepApart bool
	// Shares divides a group's workers among its queues while they cannot serve all that is offered.
	Shares bool
}

// Cell is the dispatch state of one keeper. Its caller must serialize all calls.
type Cell struct {
	limits          Limits
	workers         map[string]*Worker
	ordered         []*Worker         // sorted by ID
	jobs            map[*Job]struct{} // undecided jobs
	byHome          map[string]map[*Job]struct{}
	waiting         []*Job          // jobs with tasks that wait for a start
	widths          []width         // of the waiting jobs that have not moved
	byID            map[string]*Job // latest job of each identifier that is undecided or still runs
	speeds          speeds
	demands         map[string]*meanDemand // by group
	homes           Homes
	evacuatedSince  map[string]time.Time // by evacuated failure domain
	nextSeq         int64
	crashTable      crashTable
	unsettled       unsettledStarts
	directoryReadAt time.Time
	tickedAt        time.Time
	tickingSince    time.Time            // since when there was no pause between ticks
	returns         map[string]time.Time // by group: when the workers have served all callers told to come back
	factors         factors
	moved           []*Job // listed in waiting, but not in their places
	sortedAt        int64  // version of the factors by which waiting was sorted
	runEnds         runEnds
	due             dueJobs
	outlook         outlook // of the latest forecast
	started         int64   // starts
	kinds           map[kindKey]*kind
	pass            int64                            // of assign
	servableUntil   time.Time                        // before it no waiting job has to be given up
	learners        map[string]*interference.Learner // by group
	shares          map[string]*groupShares          // by group
	sharesAt        time.Time                        // when they were last advanced
}

// Start requests the start of a task on a worker.
type Start struct {
	Run   *Run
	Lease time.Duration // end of the lease on the worker's clock
}

// Stop requests that a run be stopped, or rejected if it has not started yet.
type Stop struct {
	Worker *Worker
	Task   string
	Number int
	Run    *Run // nil for a run that this keeper did not start
}

// AnsweredJob is a job with its final answer.
type AnsweredJob struct {
	Job    *Job
	Answer *Answer
}

// EndedRun describes an ended run for the log.
type EndedRun struct {
	Task     string
	Number   int
	Worker   string
	Result   string
	Took     time.Duration
	Outlived time.Duration // time since its job was answered; zero if the job was open
}

// Effects lists the actions that the caller must carry out.
type Effects struct {
	Starts    []Start
	Stops     []Stop
	Answers   []AnsweredJob
	EndedRuns []EndedRun
	Polls     []*Worker // workers to poll at once, in addition to the pending long poll
	Crashes   []CrashedWorker
}

// Add appends the actions of a later decision.
func (e *Effects) Add(later *Effects) {
	e.Starts = append(e.Starts, later.Starts...)
	e.Stops = append(e.Stops, later.Stops...)
	e.Answers = append(e.Answers, later.Answers...)
	e.EndedRuns = append(e.EndedRuns, later.EndedRuns...)
	e.Polls = append(e.Polls, later.Polls...)
	e.Crashes = append(e.Crashes, later.Crashes...)
}

// Homes reports when the homes of jobs were last known to run.
type Homes interface {
	// SeenAt returns the time, or zero if that incarnation of the host is not known.
	SeenAt(host, incarnation string) time.Time
}

// New returns a cell without workers.
func New(limits Limits, homes Homes) *Cell {
	return &Cell{
		limits:         limits,
		workers:        map[string]*Worker{},
		jobs:           map[*Job]struct{}{},
		byHome:         map[string]map[*Job]struct{}{},
		speeds:         newSpeeds(),
		byID:           map[string]*Job{},
		demands:        map[string]*meanDemand{},
		homes:          homes,
		evacuatedSince: map[string]time.Time{},
		crashTable:     newCrashTable(),
		unsettled:      newUnsettledStarts(),
		learners:       map[string]*interference.Learner{},
		returns:        map[string]time.Time{},
		kinds:          map[kindKey]*kind{},
		factors:        factors{version: 1, mean: 1, queues: map[string]*queueFactor{}},
		shares:         map[string]*groupShares{},
	}
}

// Submit admits a job and starts what it can, or refuses the job if it would miss its objective.
func (c *Cell) Submit(job *Job, now time.Time) Effects {
	var effects Effects
	c.open(job)
	if c.isStale(job) {
		c.answer(job, &Answer{Outcome: Abandoned, Reason: "the caller has sent the job anew since"}, &effects, now)
		return effects
	}
	c.observeDemand(job)
	c.offerWork(job, now)
	c.replace(job, now, &effects)
	c.takeCrashes(job, now)
	if c.failCrashing(job, now, &effects) {
		return effects
	}
	if c.IsBlocked(job, now) {
		job.began = true // by an earlier submission
		job.changed()
	}
	if !c.CanEverRun(job) {
		c.giveUp(job, c.UnfitReason(job), now, &effects)
		return effects
	}
	c.extendObjective(job)
	c.enqueue(job)
	c.sortWaiting()
	limit := c.latestStart(job).Sub(now)
	wait := c.forecastWithin(job, nil, max(limit, maxRetryDelay), now)
	job.Diagnostics.PredictedDelay = wait
	if wait > limit {
		c.giveUpWith(job, "it would miss its objective", func() refusal { return refusal{c.shortage(job, now), wait} }, now, &effects)
		return effects
	}
	if job.rank == share.Beyond && !job.Started() && wait > 0 {
		c.giveUp(job, "its queue has used up its share", now, &effects)
		return effects
	}
	c.assign(now, &effects)
	return effects
}

// replace abandons an undecided earlier job of the same identifier, which the caller has resubmitted. The new job
// waits until no run of the earlier one is left.
func (c *Cell) replace(job *Job, now time.Time, effects *Effects) {
	if earlier, ok := c.byID[job.ID]; ok {
		job.supersede(earlier)
		if !earlier.Decided() {
			c.answer(earlier, &Answer{Outcome: Abandoned, Reason: "the caller sent the job anew"}, effects, now)
		}
	}
	c.byID[job.ID] = job
}

// isStale reports whether an undecided job of the same identifier arrived later: the call of an earlier copy can be read long
// after it was sent.
func (c *Cell) isStale(job *Job) bool {
	other, ok := c.byID[job.ID]
	return ok && !other.Decided() && job.Arrived.Before(other.Arrived)
}

// forget drops the identifier of a job that is decided and has no runs left.
func (c *Cell) forget(id string) {
	if last, ok := c.byID[id]; ok && last.Decided() && !last.running() {
		delete(c.byID, id)
	}
}

// HasJob reports whether a job of the identifier is undecided, or tasks of it still run.
func (c *Cell) HasJob(id string) bool {
	_, known := c.byID[id]
	return known
}

// CanStartNow reports whether all tasks of the job could start now on workers where they would meet the objective.
func (c *Cell) CanStartNow(job *Job, now time.Time) bool {
	c.takeCrashes(job, now)
	if now.After(c.startDeadline(job)) || c.IsBlocked(job, now) {
		return false
	}
	c.placeInOrder(job, now)
	longest := job.longestTask()
	inTime := func(worker *Worker) bool { return c.isInTime(longest, worker, now) }
	c.sortWaiting()
	return c.forecastWithin(job, inTime, 0, now) <= 0
}

// Cancel abandons a job whose caller has left and stops its runs.
func (c *Cell) Cancel(job *Job, reason string, now time.Time) Effects {
	return c.CancelAll([]*Job{job}, reason, now)
}

// CancelAll abandons jobs whose callers have left, before any other job is started in their place.
func (c *Cell) CancelAll(jobs []*Job, reason string, now time.Time) Effects {
	var effects Effects
	cancelled := false
	for _, job := range jobs {
		if job.Decided() {
			continue
		}
		c.answer(job, &Answer{Outcome: Abandoned, Reason: reason}, &effects, now)
		cancelled = true
	}
	if cancelled {
		c.assign(now, &effects)
	}
	return effects
}

// HandleHomeFailure abandons the jobs of a failed home, except those of the given incarnation unless it is empty.
func (c *Cell) HandleHomeFailure(home, exceptIncarnation string, now time.Time) Effects {
	var effects Effects
	for _, job := range c.sortedJobs() {
		if job.Home == home && (exceptIncarnation == "" || job.HomeIncarnation != exceptIncarnation) {
			c.answer(job, &Answer{Outcome: Abandoned, Reason: "the home is gone"}, &effects, now)
		}
	}
	c.assign(now, &effects)
	return effects
}

// Tick applies deadlines and lease expiry.
func (c *Cell) Tick(now time.Time) Effects {
	var effects Effects
	if now.Sub(c.tickedAt) > c.limits.Unheard/2 {
		c.tickingSince = now
	}
	c.tickedAt = now
	c.unsettled.trim(now)
	c.refreshInTurn()
	for _, worker := range c.ordered {
		if now.After(worker.startsUntil) {
			worker.updateStartsUntil()
		}
		if worker.unresponsive && worker.clock.lapsed(now) {
			c.expireRuns(worker, now, &effects)
		}
		c.retryOverdue(worker, now, &effects)
		if worker.isReportMissing(now) {
			worker.polledAt = now
			effects.Polls = append(effects.Polls, worker)
		}
	}
	c.unsettled.advanceReported(now)
	c.answerDue(now, &effects)
	c.giveUpEvacuated(now, &effects)
	c.advanceShares(now)
	c.assign(now, &effects)
	return effects
}

const (
	// reportSlack is how long after the expected end of a run its worker's report may arrive; half of the runs take
	// longer than expected, by at most 40 %.
	reportSlack = 40 * time.Millisecond
	// pollInterval is the minimum time between extra polls of a worker, which cost a call each.
	pollInterval = 150 * time.Millisecond
)

// isReportMissing reports whether a run should have ended but the worker has not reported, so that the pending long
// poll may be lost.
func (w *Worker) isReportMissing(now time.Time) bool {
	if !w.held || w.unresponsive || now.Sub(w.reportedAt) < pollInterval || now.Sub(w.polledAt) < pollInterval {
		return false
	}
	for _, run := range w.listed {
		if now.Sub(run.sentAt) > run.expected+reportSlack {
			return true
		}
	}
	return false
}

// giveUp answers a job that cannot be served: refused if nothing of it may have run, abandoned otherwise.
func (c *Cell) giveUp(job *Job, reason string, now time.Time, effects *Effects) {
	c.giveUpWith(job, reason, func() refusal { return c.refusalOf(job, now) }, now, effects)
}

// giveUpWith does so with the reasons that are looked for if the job is refused.
func (c *Cell) giveUpWith(job *Job, reason string, explain func() refusal, now time.Time, effects *Effects) {
	if job.Started() || c.MayStartLate(job, now) {
		c.answer(job, &Answer{Outcome: Abandoned, Reason: reason}, effects, now)
		return
	}
	why := explain()
	job.Diagnostics.Shortage = why.shortage
	c.answer(job, &Answer{Outcome: Refused, Reason: reason, RetryAfter: c.retryDelay(job, why.delay, now)}, effects, now)
}

// answer records the job's final answer, drops its waiting tasks and stops its runs.
func (c *Cell) answer(job *Job, answer *Answer, effects *Effects, now time.Time) {
	invariant.Check(!job.Decided(), "one_answer", "job %s", job.ID)
	invariant.Check(answer.Outcome != Refused || !job.Started() && !c.MayStartLate(job, now), "refused_has_not_run", "job %s", job.ID)
	job.WantedAt = minTime(c.wantedAt(job), now)
	job.answer = answer
	job.answeredAt = now
	c.close(job)
	for _, task := range job.Tasks {
		switch task.state {
		case Waiting:
			task.state = Dropped
		case Started:
			c.stop(task.run, now, effects)
		case Done, Dropped:
		}
	}
	c.move(job)
	c.forget(job.ID)
	effects.Answers = append(effects.Answers, AnsweredJob{Job: job, Answer: answer})
}

// stop requests that the worker stop the run, whose resources stay allocated until the worker reports the end.
func (c *Cell) stop(run *Run, now time.Time, effects *Effects) {
	if run.stopping && now.Sub(run.stoppedAt) < stopRetryDelay {
		return
	}
	if !run.stopping {
		c.runEnds.stop(run)
	}
	run.stopping = true
	run.stoppedAt = now
	effects.Stops = append(effects.Stops, Stop{Worker: run.Worker, Task: run.Task.Name, Number: run.Number, Run: run})
}

// stopRetryDelay is the delay before an unconfirmed stop is sent again; a stop takes at most 50 ms.
const stopRetryDelay = 150 * time.Millisecond

// retryOverdue ejects a worker with overdue runs, moves these runs if they can end in time elsewhere, and resends
// unconfirmed stops.
func (c *Cell) retryOverdue(worker *Worker, now time.Time, effects *Effects) {
	for _, run := range worker.listed {
		if now.Sub(run.sentAt) > answerDelay {
			c.addUnsettled(run, now)
		}
		if run.stopping {
			c.stop(run, now, effects)
			continue
		}
		if !run.overdue(now) || worker.unresponsive {
			continue
		}
		if !worker.health.ejected(now) {
			worker.health.eject(now)
			c.speeds.observe(run, now.Sub(run.sentAt))
		}
		if c.canEndElsewhere(run, now) {
			run.Task.avoid = worker
			c.stop(run, now, effects)
		}
	}
}

// canEndElsewhere reports whether the run's task would meet its deadline if restarted on another worker.
func (c *Cell) canEndElsewhere(run *Run, now time.Time) bool {
	duration := c.speeds.typical(run.Task.Job.Queue, run.Task.Estimate)
	return run.Task.runs < maxRuns && now.Add(duration).Before(run.Task.Job.Deadline)
}

// maxRuns bounds the starts of a task that is moved away from hanging workers.
const maxRuns = 3

// recordEnd reports the end of a run and adds it to its job's diagnostics.
func (e *Effects) recordEnd(run *Run, result string, now time.Time) {
	ended := EndedRun{Task: run.Task.Name, Number: run.Number, Worker: run.Worker.ID, Result: result, Took: now.Sub(run.sentAt)}
	if run.Task.Job.Decided() {
		ended.Outlived = now.Sub(run.Task.Job.answeredAt)
	}
	e.EndedRuns = append(e.EndedRuns, ended)
	if diagnostics := &run.Task.Job.Diagnostics; len(diagnostics.EndedRuns) < maxEndedRuns {
		diagnostics.EndedRuns = append(diagnostics.EndedRuns, ended)
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
