package cell

import (
	"maps"
	"slices"
	"time"
)

// unsettledStart is a start whose call has no answer: until its end it may be carried out by each life of its worker that has
// not seen a later token or a stop. Only the answer of that call, or its run in the worker's lists, settles it before.
type unsettledStart struct {
	unsettledKey
	until     time.Time // it may be carried out until then; zero once it is settled
	blocks    bool      // the worker's present or next life would carry it out, so that the task must not start elsewhere
	own       bool      // this keeper has sent it
	changedAt time.Time // when this keeper last saw a change of which others are told
}

type unsettledKey struct {
	task   string
	worker string
	number int
	sent   int64 // on the clock of the keeper that sent it, as another keeper may have sent the same number
}

// LateStart tells other hosts of a start without an answer.
type LateStart struct {
	Task      string        `json:"t"`
	Worker    string        `json:"w"`
	Number    int           `json:"n"`
	Sent      int64         `json:"s,omitempty"`
	Remaining time.Duration `json:"r,omitempty"` // for which the task must not start elsewhere; zero if it may
	Known     time.Duration `json:"k,omitempty"` // for which it may be carried out if the worker starts anew; earlier versions do not tell
	Indirect  bool          `json:"i,omitempty"` // the reporting host has neither sent the start nor keeps its worker
}

// reasonLateStart is why a job is given up, in answers and logs.
const reasonLateStart = "a worker may carry out an earlier start of a task"

// maxUnsettled bounds the starts that other hosts may tell of; a cell that loses half of its answers sends fewer within the
// delay of a call.
const maxUnsettled = 4096

const (
	// maxReports bounds the late starts that take turns in the heartbeats of crashNews, of which some may be lost.
	maxReports = 8 * maxCrashNews
	// reportTurn is for how long the same late starts are in each heartbeat if there are more than fit.
	reportTurn = 100 * time.Millisecond
)

// answerDelay is the time for the answer to a start, which takes some milliseconds, until other hosts are told of it.
const answerDelay = 20 * time.Millisecond

// unsettledStarts is the one record of what may still be started by calls without an answer, of this keeper and others.
type unsettledStarts struct {
	byKey     map[unsettledKey]*unsettledStart
	byWorker  map[string]map[unsettledKey]*unsettledStart
	byTask    map[string]map[unsettledKey]*unsettledStart
	blocking  map[string]map[unsettledKey]*unsettledStart // by task
	news      []*unsettledStart                           // of the last crashNews, the oldest first
	witnessed map[Sender][]*unsettledStart                // of other keepers, which have not reported yet whether they are unsettled
	trimmedAt time.Time

	reportedUntil int64 // see Cell.StartsReportedUntil
}

func newUnsettledStarts() unsettledStarts {
	return unsettledStarts{
		byKey:    map[unsettledKey]*unsettledStart{},
		byWorker: map[string]map[unsettledKey]*unsettledStart{},
		byTask:   map[string]map[unsettledKey]*unsettledStart{},
		blocking: map[string]map[unsettledKey]*unsettledStart{},

		witnessed: map[Sender][]*unsettledStart{},
	}
}

// add records a start that is not known yet.
func (u *unsettledStarts) add(start *unsettledStart) {
	u.byKey[start.unsettledKey] = start
	put(u.byWorker, start.worker, start)
	put(u.byTask, start.task, start)
}

func (u *unsettledStarts) remove(start *unsettledStart) {
	u.setBlocks(start, false)
	start.until = time.Time{}
	delete(u.byKey, start.unsettledKey)
	drop(u.byWorker, start.worker, start)
	drop(u.byTask, start.task, start)
}

// setBlocks sets whether the start keeps its task from starting elsewhere, and reports whether that has changed.
func (u *unsettledStarts) setBlocks(start *unsettledStart, blocks bool) bool {
	if start.blocks == blocks {
		return false
	}
	start.blocks = blocks
	if blocks {
		put(u.blocking, start.task, start)
	} else {
		drop(u.blocking, start.task, start)
	}
	return true
}

// announce has other hosts told of the start's present state.
func (u *unsettledStarts) announce(start *unsettledStart, now time.Time) {
	start.changedAt = now
	u.news = append(u.news, start)
}

// trim drops the starts that cannot be carried out any more.
func (u *unsettledStarts) trim(now time.Time) {
	if now.Sub(u.trimmedAt) < time.Second {
		return
	}
	u.trimmedAt = now
	for _, start := range u.byKey {
		if !now.Before(start.until) {
			u.remove(start)
		}
	}
	for sender, starts := range u.witnessed {
		u.setWitnessed(sender, slices.DeleteFunc(starts, func(start *unsettledStart) bool { return !now.Before(start.until) }))
	}
	u.news = slices.DeleteFunc(u.news, func(start *unsettledStart) bool { return now.Sub(start.changedAt) > crashNews })
}

// until returns until when the task is blocked, or zero.
func (u *unsettledStarts) until(task string) time.Time {
	return latestEnd(u.blocking[task])
}

func latestEnd(starts map[unsettledKey]*unsettledStart) time.Time {
	var latest time.Time
	for _, start := range starts {
		if start.until.After(latest) {
			latest = start.until
		}
	}
	return latest
}

func put(index map[string]map[unsettledKey]*unsettledStart, name string, start *unsettledStart) {
	if index[name] == nil {
		index[name] = map[unsettledKey]*unsettledStart{}
	}
	index[name][start.unsettledKey] = start
}

func drop(index map[string]map[unsettledKey]*unsettledStart, name string, start *unsettledStart) {
	delete(index[name], start.unsettledKey)
	if len(index[name]) == 0 {
		delete(index, name)
	}
}

// keyOf returns the key of the run's start.
func keyOf(run *Run) unsettledKey {
	return unsettledKey{task: run.Task.Name, worker: run.Worker.ID, number: run.Number, sent: run.sentAt.UnixNano()}
}

// addUnsettled records the start of a run if its call has no answer.
func (c *Cell) addUnsettled(run *Run, now time.Time) {
	if !run.acceptedAt.IsZero() {
		return
	}
	key, until := keyOf(run), run.sentAt.Add(c.limits.CallDelay)
	if c.unsettled.byKey[key] != nil || !now.Before(until) {
		return
	}
	start := &unsettledStart{unsettledKey: key, until: until, own: true}
	c.unsettled.add(start)
	c.unsettled.setBlocks(start, run.Worker.gone)
	c.unsettled.announce(start, now)
}

// blockUnsettled handles that the worker is gone: it keeps the tasks of its unsettled starts from starting elsewhere, as its
// next life may carry these out, and gives up the jobs that run them elsewhere.
func (c *Cell) blockUnsettled(worker *Worker, now time.Time, effects *Effects) {
	worker.gone = true
	blocked := map[string]bool{}
	for _, start := range c.unsettled.byWorker[worker.ID] {
		if c.unsettled.setBlocks(start, true) {
			c.unsettled.announce(start, now)
			blocked[start.task] = true
		}
	}
	c.abandonBlocked(blocked, worker, now, effects)
}

// abandonBlocked gives up the jobs of which one of the tasks runs, unless it does at the worker that is gone.
func (c *Cell) abandonBlocked(tasks map[string]bool, gone *Worker, now time.Time, effects *Effects) {
	if len(tasks) == 0 {
		return
	}
	for _, job := range c.sortedJobs() {
		if slices.ContainsFunc(job.Tasks, func(task *Task) bool {
			return tasks[task.Name] && task.run != nil && task.run.Worker != gone
		}) {
			c.answer(job, &Answer{Outcome: Abandoned, Reason: reasonLateStart}, effects, now)
		}
	}
}

// settleAnswered handles that the call of a start was answered, or that the worker lists its run or its end.
func (c *Cell) settleAnswered(run *Run, now time.Time) {
	if len(c.unsettled.byKey) == 0 {
		return
	}
	if start := c.unsettled.byKey[keyOf(run)]; start != nil {
		c.unsettled.remove(start)
		c.unsettled.announce(start, now)
	}
}

// freeUnsettled handles a report whose call was sent at the given time: the worker's present life has seen this keeper's token,
// so that it rejects the unsettled starts, but its next life does not. What it lists goes on until it is stopped.
func (c *Cell) freeUnsettled(worker *Worker, sent, now time.Time) {
	if sent.Before(worker.goneAt) {
		return
	}
	worker.gone = false
	starts := c.unsettled.byWorker[worker.ID]
	if len(starts) == 0 {
		return
	}
	running := make(map[string]bool, len(worker.unknownRuns))
	for key := range worker.unknownRuns {
		running[key.task] = true
	}
	for _, start := range starts {
		if !running[start.task] && c.unsettled.setBlocks(start, false) {
			c.unsettled.announce(start, now)
		}
	}
}

// freeFenced handles that the worker has seen a higher token, so that its present life rejects all earlier starts.
func (c *Cell) freeFenced(worker *Worker, now time.Time) {
	worker.gone = false
	for _, start := range c.unsettled.byWorker[worker.ID] {
		if c.unsettled.setBlocks(start, false) {
			c.unsettled.announce(start, now)
		}
	}
}

// MayStartLate reports whether a worker may carry out an earlier start of one of the job's tasks, now or in its next life, so
// that nobody may say that the job has not run.
func (c *Cell) MayStartLate(job *Job, now time.Time) bool {
	if len(c.unsettled.byKey) == 0 {
		return false
	}
	return slices.ContainsFunc(job.Tasks, func(task *Task) bool { return c.MayStartTaskLate(task.Name, now) })
}

// MayStartTaskLate reports whether a worker may carry out an earlier start of a task, now or in its next life.
func (c *Cell) MayStartTaskLate(name string, now time.Time) bool {
	return latestEnd(c.unsettled.byTask[name]).After(now)
}

// IsBlocked reports whether a task of the job must not start yet, as a worker may carry out an earlier start.
func (c *Cell) IsBlocked(job *Job, now time.Time) bool {
	if len(c.unsettled.blocking) == 0 {
		return false
	}
	return slices.ContainsFunc(job.Tasks, func(task *Task) bool {
		return task.state == Waiting && c.unsettled.until(task.Name).After(now)
	})
}

// RecentLateStarts returns the late starts that became possible or impossible lately, for the heartbeats to other hosts, the
// latest first. If there are more than fit, half of a heartbeat is for the latest, and the others take turns in the other half.
func (c *Cell) RecentLateStarts(now time.Time) []LateStart {
	changed := c.unsettled.changed(now)
	if len(changed) > maxCrashNews {
		const half = maxCrashNews / 2
		older := changed[half:]
		pages := (len(older) + half - 1) / half
		turn := int(now.UnixNano()/int64(reportTurn)) % pages
		changed = slices.Concat(changed[:half], older[turn*half:min((turn+1)*half, len(older))])
	}
	return c.reports(changed, now)
}

func (c *Cell) reports(starts []*unsettledStart, now time.Time) []LateStart {
	reports := make([]LateStart, 0, len(starts))
	for _, start := range starts {
		reports = append(reports, c.report(start, now))
	}
	return reports
}

// changed returns the starts that have changed within crashNews, the latest first, up to maxReports.
func (u *unsettledStarts) changed(now time.Time) []*unsettledStart {
	var starts []*unsettledStart
	seen := map[unsettledKey]bool{} // a start may have been settled, and another one of the same run number sent
	for _, start := range slices.Backward(u.news) {
		if len(starts) == maxReports || now.Sub(start.changedAt) > crashNews {
			break
		}
		if !seen[start.unsettledKey] {
			seen[start.unsettledKey] = true
			starts = append(starts, start)
		}
	}
	return starts
}

// KnownLateStarts returns all starts without an answer, as far as they fit into a heartbeat, those that block first, for a host
// that has just started.
func (c *Cell) KnownLateStarts(now time.Time) []LateStart {
	known := slices.SortedFunc(maps.Values(c.unsettled.byKey), func(a, b *unsettledStart) int {
		if a.blocks != b.blocks && a.blocks {
			return -1
		} else if a.blocks != b.blocks {
			return 1
		}
		return b.until.Compare(a.until)
	})
	return c.reports(known[:min(len(known), maxCrashNews)], now)
}

func (c *Cell) report(s *unsettledStart, now time.Time) LateStart {
	report := LateStart{Task: s.task, Worker: s.worker, Number: s.number, Sent: s.sent, Known: max(0, s.until.Sub(now))}
	report.Indirect = !s.own && !c.decidesFor(s.worker)
	if s.blocks {
		report.Remaining = report.Known
	}
	return report
}

// MergeLateStarts takes over what another host tells. A job whose task runs here meanwhile and must not is given up.
func (c *Cell) MergeLateStarts(starts []LateStart, now time.Time) Effects {
	var effects Effects
	blocked := map[string]bool{}
	for i := range starts {
		if task, blocks := c.mergeLateStart(&starts[i], now); blocks {
			blocked[task] = true
		}
	}
	c.abandonBlocked(blocked, nil, now, &effects)
	c.assign(now, &effects)
	return effects
}

// mergeLateStart returns the task that is blocked from now on. The keeper that holds the worker knows best whether it is gone, and
// the one that has sent the start whether it is settled.
func (c *Cell) mergeLateStart(report *LateStart, now time.Time) (task string, blocks bool) {
	key, valid := report.key()
	if !valid {
		return "", false
	}
	start := c.unsettled.byKey[key]
	remaining := min(max(report.Known, report.Remaining), c.limits.CallDelay)
	if remaining <= 0 {
		if start != nil && !start.own {
			c.unsettled.remove(start)
		}
		return "", false
	}
	if start == nil {
		if len(c.unsettled.byKey) >= maxUnsettled {
			return "", false
		}
		start = &unsettledStart{unsettledKey: key, until: now.Add(remaining)}
		c.unsettled.add(start)
	}
	blocks = report.Remaining > 0
	switch {
	case c.decidesFor(report.Worker):
		blocks = c.workers[report.Worker].gone
	case report.Indirect:
		blocks = blocks || start.blocks // an older state must not override that of the worker's keeper
	}
	if !c.unsettled.setBlocks(start, blocks) {
		return report.Task, false
	}
	if blocks != (report.Remaining > 0) {
		c.unsettled.announce(start, now) // no other host can decide this
	}
	return report.Task, blocks
}

// decidesFor reports whether this keeper decides if the worker has crashed.
func (c *Cell) decidesFor(id string) bool {
	worker := c.workers[id]
	return worker != nil && (worker.held || worker.gone)
}

// key returns the key of a start that another host reports, and false if its names are empty or too long.
func (l *LateStart) key() (unsettledKey, bool) {
	valid := l.Task != "" && len(l.Task) <= maxTaskName && len(l.Worker) <= maxTaskName
	return unsettledKey{task: l.Task, worker: l.Worker, number: l.Number, sent: l.Sent}, valid
}
