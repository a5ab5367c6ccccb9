package cell

import (
	"maps"
	"slices"
	"time"
)

// unsettledStart is a start without an answer that was not carried out as far as its worker has told. The worker rejects
// it by its lease, a stop or the fencing token, but no longer knows these once it has started anew.
type unsettledStart struct {
	unsettledKey
	until       time.Time // the call may be carried out until then
	incarnation int64     // of the worker that it was sent to
	blocks      bool      // the worker is gone and may be back, so the task must not start elsewhere
	told        bool      // by another host, whose worker it is
	changedAt   time.Time // when blocks changed
}

type unsettledKey struct {
	task   string
	worker string
	number int
}

// LateStart tells other hosts that a worker may carry out an earlier start of a task in its next life.
type LateStart struct {
	Task      string        `json:"t"`
	Worker    string        `json:"w"`
	Number    int           `json:"n"`
	Remaining time.Duration `json:"r"` // for which it may be carried out; zero once it cannot any more
}

// reasonLateStart is why a job is given up, in answers and logs.
const reasonLateStart = "a worker may carry out an earlier start of a task"

// maxUnsettled bounds the starts that are remembered; a cell that loses half of its answers sends fewer within the delay
// of a call.
const maxUnsettled = 4096

// unsettledStarts holds the starts that a worker may carry out in its next life.
type unsettledStarts struct {
	byKey     map[unsettledKey]*unsettledStart
	byWorker  map[string]map[unsettledKey]*unsettledStart
	blocking  map[string]map[unsettledKey]*unsettledStart // by task
	news      []*unsettledStart                           // of the last crashNews, the oldest first
	trimmedAt time.Time
}

func newUnsettledStarts() unsettledStarts {
	return unsettledStarts{
		byKey:    map[unsettledKey]*unsettledStart{},
		byWorker: map[string]map[unsettledKey]*unsettledStart{},
		blocking: map[string]map[unsettledKey]*unsettledStart{},
	}
}

// add records a start; if it is known already, the later end is in force. It returns nil if there is no room.
func (u *unsettledStarts) add(key unsettledKey, until, now time.Time) *unsettledStart {
	u.trim(now)
	start := u.byKey[key]
	if start == nil {
		if len(u.byKey) >= maxUnsettled {
			return nil
		}
		start = &unsettledStart{unsettledKey: key}
		u.byKey[key] = start
		put(u.byWorker, key.worker, start)
	}
	if until.After(start.until) {
		start.until = until
	}
	return start
}

func (u *unsettledStarts) remove(start *unsettledStart, now time.Time) {
	u.setBlocks(start, false, now)
	delete(u.byKey, start.unsettledKey)
	drop(u.byWorker, start.worker, start)
}

// setBlocks sets whether the start keeps its task from starting elsewhere, and reports whether that has changed.
func (u *unsettledStarts) setBlocks(start *unsettledStart, blocks bool, now time.Time) bool {
	if start.blocks == blocks {
		return false
	}
	start.blocks = blocks
	start.changedAt = now
	if blocks {
		put(u.blocking, start.task, start)
	} else {
		drop(u.blocking, start.task, start)
	}
	if !start.told {
		u.news = append(u.news, start)
	}
	return true
}

// trim drops the starts that cannot be carried out any more.
func (u *unsettledStarts) trim(now time.Time) {
	if now.Sub(u.trimmedAt) < time.Second {
		return
	}
	u.trimmedAt = now
	for _, start := range u.byKey {
		if !now.Before(start.until) {
			u.remove(start, now)
		}
	}
	u.news = slices.DeleteFunc(u.news, func(start *unsettledStart) bool { return now.Sub(start.changedAt) > crashNews })
}

// until returns until when the task is blocked, or zero.
func (u *unsettledStarts) until(task string) time.Time {
	var latest time.Time
	for _, start := range u.blocking[task] {
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
	return unsettledKey{task: run.Task.Name, worker: run.Worker.ID, number: run.Number}
}

// addUnsettled records the start of a run that the keeper gives up, if it may still be carried out.
func (c *Cell) addUnsettled(run *Run, now time.Time) {
	if !run.acceptedAt.IsZero() || run.fenced {
		return
	}
	until := run.sentAt.Add(c.limits.CallDelay)
	run.Task.startableUntil = until
	if start := c.unsettled.add(keyOf(run), until, now); start != nil {
		start.incarnation = run.Worker.incarnation
	}
}

// blockUnsettled handles that the worker is gone: it keeps the tasks of its unsettled starts from starting elsewhere, as its
// next life may carry these out, and gives up the jobs that run them elsewhere.
func (c *Cell) blockUnsettled(worker *Worker, now time.Time, effects *Effects) {
	blocked := map[string]bool{}
	for _, start := range c.unsettled.byWorker[worker.ID] {
		if c.unsettled.setBlocks(start, true, now) {
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
	if start := c.unsettled.byKey[keyOf(run)]; start != nil && !start.told {
		c.unsettled.remove(start, now)
	}
}

// settleStarts handles a report whose call was sent at the given time: a worker that has not started anew rejects the
// unsettled starts, and one that has rejects those with an earlier token. What it lists goes on until it is stopped.
func (c *Cell) settleStarts(worker *Worker, sent, now time.Time) {
	starts := c.unsettled.byWorker[worker.ID]
	if len(starts) == 0 || sent.Before(worker.goneAt) {
		return
	}
	running := make(map[string]bool, len(worker.unknownRuns))
	for key := range worker.unknownRuns {
		running[key.task] = true
	}
	for _, start := range starts {
		switch {
		case start.told, running[start.task]:
		case start.incarnation == worker.incarnation:
			c.unsettled.setBlocks(start, false, now)
		default:
			c.unsettled.remove(start, now)
		}
	}
}

// settleFenced handles that the worker has seen a higher token, so that its present life rejects all earlier starts.
func (c *Cell) settleFenced(worker *Worker, now time.Time) {
	for _, start := range c.unsettled.byWorker[worker.ID] {
		if !start.told {
			c.unsettled.setBlocks(start, false, now)
		}
	}
}

// mayStartLate reports whether a worker may carry out an earlier start of one of the job's tasks in its next life.
func (c *Cell) mayStartLate(job *Job, now time.Time) bool {
	return c.IsBlocked(job, now) || slices.ContainsFunc(job.Tasks, func(task *Task) bool { return now.Before(task.startableUntil) })
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

// isHopelesslyBlocked reports whether a task of the job must not start in time, whatever the workers of this keeper report.
func (c *Cell) isHopelesslyBlocked(job *Job) bool {
	if len(c.unsettled.blocking) == 0 {
		return false
	}
	latestStart := job.Deadline.Add(-c.typical(job))
	return slices.ContainsFunc(job.Tasks, func(task *Task) bool {
		for _, start := range c.unsettled.blocking[task.Name] {
			_, listed := c.workers[start.worker]
			if (start.told || !listed) && task.state == Waiting && start.until.After(latestStart) {
				return true
			}
		}
		return false
	})
}

// RecentLateStarts returns the late starts that became possible or impossible lately, for the heartbeats to other hosts, the
// latest first.
func (c *Cell) RecentLateStarts(now time.Time) []LateStart {
	var starts []LateStart
	seen := map[unsettledKey]bool{} // a start may have been settled, and another one of the same run number sent
	for _, start := range slices.Backward(c.unsettled.news) {
		if len(starts) == maxCrashNews || now.Sub(start.changedAt) > crashNews {
			break
		}
		if !seen[start.unsettledKey] {
			seen[start.unsettledKey] = true
			starts = append(starts, start.lateStart(now))
		}
	}
	return starts
}

// KnownLateStarts returns all possible late starts at workers of this keeper, as far as they fit into a heartbeat, for a
// host that has just started.
func (c *Cell) KnownLateStarts(now time.Time) []LateStart {
	var starts []LateStart
	for _, task := range slices.Sorted(maps.Keys(c.unsettled.blocking)) {
		for _, start := range c.unsettled.blocking[task] {
			if !start.told && len(starts) < maxCrashNews {
				starts = append(starts, start.lateStart(now))
			}
		}
	}
	return starts
}

func (s *unsettledStart) lateStart(now time.Time) LateStart {
	told := LateStart{Task: s.task, Worker: s.worker, Number: s.number}
	if s.blocks {
		told.Remaining = max(0, s.until.Sub(now))
	}
	return told
}

// MergeLateStarts takes the late starts at another keeper's workers over. A job whose task runs here meanwhile is given up.
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

// mergeLateStart returns the task that is blocked from now on.
func (c *Cell) mergeLateStart(told *LateStart, now time.Time) (task string, blocks bool) {
	if told.Task == "" || len(told.Task) > maxTaskName || len(told.Worker) > maxTaskName {
		return "", false
	}
	key := unsettledKey{task: told.Task, worker: told.Worker, number: told.Number}
	start := c.unsettled.byKey[key]
	if start != nil && !start.told {
		return "", false // this keeper has sent it as well, and knows its worker
	}
	remaining := min(told.Remaining, c.limits.CallDelay)
	if remaining <= 0 {
		if start != nil {
			c.unsettled.remove(start, now)
		}
		return "", false
	}
	if start == nil {
		if start = c.unsettled.add(key, now.Add(remaining), now); start == nil {
			return "", false
		}
		start.told = true
	}
	return told.Task, c.unsettled.setBlocks(start, true, now)
}
