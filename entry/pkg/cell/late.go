package cell

import (
	"math"
	"time"
)

// lateSlack is the safety factor on the expected run time of a late task against the job's deadline; run times are
// known only to within a fifth.
const lateSlack = 1.25

// StartLate starts all tasks of a job that cannot meet its objective on free workers. It reports false if they do not
// all fit or one would miss the job's deadline. Waiting jobs have been assigned before, so this takes no resources
// that one of them could use now. While the group is short, it takes only what jobs in time leave idle.
func (c *Cell) StartLate(job *Job, now time.Time) (Effects, bool) {
	var effects Effects
	if c.CrashesWorkers(job, now) {
		return c.Submit(job, now), true // which fails it
	}
	if _, known := c.byID[job.ID]; known {
		return effects, false // an earlier job of this identifier is undecided or still runs
	}
	if now.After(c.startDeadline(job)) || c.IsBlocked(job, now) {
		return effects, false
	}
	plan, ok := c.planLate(job, now)
	if !ok {
		return effects, false
	}
	c.open(job)
	job.Diagnostics.StartedLate = true
	c.byID[job.ID] = job
	c.takeIdle(job, plan)
	for i, task := range job.Tasks {
		effects.Starts = append(effects.Starts, c.start(task, plan[i], now))
	}
	return effects, true
}

// planLate returns for each task of the job the fastest worker with enough free resources.
func (c *Cell) planLate(job *Job, now time.Time) ([]*Worker, bool) {
	plan := make([]*Worker, 0, len(job.Tasks))
	used := map[*Worker]Resources{}
	alone := map[*Worker]bool{}
	fits := func(task *Task, worker *Worker) bool {
		taken, shared := used[worker]
		return !alone[worker] && (!shared || !task.mustRunAlone()) && worker.hasRoomFor(task) && worker.free().Minus(taken).Fits(task.Demand)
	}
	isSpared := c.isSpared(job)
	for _, task := range job.Tasks {
		var best choice
		for _, worker := range c.ordered {
			if worker.Group != job.Group || isSpared(worker) || !worker.usableFor(job, now) || !fits(task, worker) {
				continue
			}
			if !worker.leasesEndInTime(job) {
				continue
			}
			best.offer(worker, c.speeds.expected(task, worker).Seconds())
		}
		if best.worker == nil || now.Add(seconds(lateSlack*best.cost)).After(job.Deadline) {
			return nil, false
		}
		used[best.worker] = used[best.worker].Plus(task.Demand)
		alone[best.worker] = task.mustRunAlone()
		plan = append(plan, best.worker)
	}
	return plan, true
}

// seconds converts a count of seconds to a duration of at most unknownDelay.
func seconds(count float64) time.Duration {
	return time.Duration(math.Min(count, unknownDelay.Seconds()) * float64(time.Second))
}
