package cell

import (
	"math"
	"time"
)

// lateSlack is the factor on its expected run time by which a late task must end before its caller leaves; run times are
// known to a fifth at best.
const lateSlack = 1.25

// StartLate starts all tasks of a job that cannot make its objective, at workers that stand free, or reports false when
// they have no room for all of them or one would not end before the job's deadline. Jobs that wait have had their turn by
// then, so this takes no room that one of them could use now.
func (c *Cell) StartLate(job *Job, now time.Time) (Effects, bool) {
	var effects Effects
	if _, known := c.byID[job.ID]; known {
		return effects, false // an earlier one has no answer or still runs
	}
	plan, ok := c.planLate(job, now)
	if !ok {
		return effects, false
	}
	c.nextSeq++
	job.seq = c.nextSeq
	job.Diagnostics.StartedLate = true
	c.jobs[job] = struct{}{}
	c.byID[job.ID] = job
	for i, task := range job.Tasks {
		effects.Starts = append(effects.Starts, c.start(task, plan[i], now))
	}
	return effects, true
}

// planLate returns a worker for each task of the job, the fastest with room for it.
func (c *Cell) planLate(job *Job, now time.Time) ([]*Worker, bool) {
	plan := make([]*Worker, 0, len(job.Tasks))
	taken := map[*Worker]Resources{}
	for _, task := range job.Tasks {
		var best choice
		for _, worker := range c.ordered {
			if worker.Group != job.Group || !worker.usable(now) || !worker.free().Minus(taken[worker]).Fits(task.Demand) {
				continue
			}
			best.offer(worker, c.speeds.expected(task, worker).Seconds())
		}
		if best.worker == nil || now.Add(seconds(lateSlack*best.cost)).After(job.Deadline) {
			return nil, false
		}
		taken[best.worker] = taken[best.worker].Plus(task.Demand)
		plan = append(plan, best.worker)
	}
	return plan, true
}

// seconds returns a duration, at most farOff.
func seconds(count float64) time.Duration {
	return time.Duration(math.Min(count, farOff.Seconds()) * float64(time.Second))
}
