package cell

import "time"

// summary holds what follows from the states of a job's tasks, until one of them changes.
type summary struct {
	of      *Job // whose summary it is; nil once a task has changed
	started bool
	waiting int // tasks
	alone   int // of these, that have to run alone
	longest time.Duration

	typical   time.Duration // run time of the longest task
	learntAt  int64         // version of the factors of that run time
	latest    time.Time     // latest start for that run time
	objective time.Time     // for which that holds
	servable  time.Time     // the job need not be given up before
	deadline  time.Time     // for which that holds
}

// changed discards what is known of the job's tasks. It follows each change of a task's state, run or crashes.
func (j *Job) changed() {
	j.summary.of = nil
}

// summarize returns the summary of the job's tasks.
func (j *Job) summarize() *summary {
	if j.summary.of == j {
		return &j.summary
	}
	found := summary{of: j, started: j.began}
	for _, task := range j.Tasks {
		if task.began || task.run != nil {
			found.started = true
		}
		if task.state == Waiting {
			found.waiting++
			if task.mustRunAlone() {
				found.alone++
			}
		}
		if task.state == Waiting || task.state == Started {
			found.longest = max(found.longest, task.Estimate)
		}
	}
	j.summary = found
	return &j.summary
}

// Started reports whether a start was sent that may have been carried out.
func (j *Job) Started() bool {
	return j.summarize().started
}

// waiting returns the number of tasks that wait for a start.
func (j *Job) waiting() int {
	return j.summarize().waiting
}

// waitingAlone returns the number of waiting tasks that have to run alone.
func (j *Job) waitingAlone() int {
	return j.summarize().alone
}

// factors are the learnt factors of run times, as of a tick: so jobs that wait keep their order in between.
type factors struct {
	version int64
	ticks   int // since then
	mean    float64
	queues  map[string]*queueFactor
}

// queueFactor is the factor of a queue's run times.
type queueFactor struct {
	version int64
	value   float64
}

// refreshJobs is the number of waiting jobs that are put in order anew in one tick; with more, it is done in fewer ticks.
const refreshJobs = 1000

// refreshInTurn refreshes the factors in each tick, or in fewer if very many jobs wait.
func (c *Cell) refreshInTurn() {
	if c.factors.ticks++; c.factors.ticks > len(c.waiting)/refreshJobs {
		c.refreshFactors()
	}
}

// refreshFactors makes what was learnt since the last tick count for the order and the forecast of waiting jobs.
func (c *Cell) refreshFactors() {
	c.factors.version++
	c.factors.ticks = 0
	c.factors.mean = blendedValue(&c.speeds.meanSlowness)
}

// typical returns the expected run time of the job's longest task on a worker of mean slowness.
func (c *Cell) typical(job *Job) time.Duration {
	known := job.summarize()
	if known.learntAt == c.factors.version {
		return known.typical
	}
	known.typical = time.Duration(float64(known.longest) * c.queueFactor(job) * c.factors.mean)
	known.learntAt = c.factors.version
	known.objective = time.Time{}
	known.deadline = time.Time{}
	return known.typical
}

func (c *Cell) queueFactor(job *Job) float64 {
	if job.factor == nil {
		if job.factor = c.factors.queues[job.Queue]; job.factor == nil {
			job.factor = &queueFactor{}
			c.factors.queues[job.Queue] = job.factor
		}
	}
	if job.factor.version != c.factors.version {
		job.factor.version = c.factors.version
		job.factor.value = c.speeds.queue(job.Queue)
	}
	return job.factor.value
}

// latestStart returns the estimated time by which the job's last task must start to meet the objective.
func (c *Cell) latestStart(job *Job) time.Time {
	typical := c.typical(job)
	known := &job.summary
	if known.objective != job.Objective {
		tolerance := time.Duration(objectiveTolerance * float64(job.Objective.Sub(job.Arrived)))
		known.latest = job.Objective.Add(tolerance - typical)
		known.objective = job.Objective
	}
	return known.latest
}
