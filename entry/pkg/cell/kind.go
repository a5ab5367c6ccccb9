package cell

import "time"

// kind is what the waiting jobs of one group and one demand have in common. Its state is that of one pass of assign, in
// which room only becomes less.
type kind struct {
	kindKey
	jobs int // listed

	pass int64 // for which the following holds
	full bool  // no worker has room for a task
	at   int   // the workers before this one have no room

	lookedOut int64 // number of starts for which the outlook holds
	outlook   outlook
	seen      int     // waiting jobs that it has scheduled
	refusal   refusal // of the last job that was refused
	missed    int64   // number of starts after which a task found no worker
	compared  int64   // number of starts for which the following holds
	roomy     float64
	fastest   float64 // whether it has room or not
}

type kindKey struct {
	group  string
	demand Resources
}

// list counts the job, which is listed now, among those of its kind.
func (c *Cell) list(job *Job) {
	key := kindKey{job.Group, job.Tasks[0].Demand}
	if job.kind = c.kinds[key]; job.kind == nil {
		job.kind = &kind{kindKey: key}
		c.kinds[key] = job.kind
	}
	job.kind.jobs++
}

// delist no longer counts the job.
func (c *Cell) delist(job *Job) {
	job.listed = false
	if job.kind.jobs--; job.kind.jobs == 0 {
		delete(c.kinds, job.kind.kindKey)
	}
	job.kind = nil
}

// begin discards the state of an earlier pass.
func (k *kind) begin(pass int64) {
	if k.pass != pass {
		k.refusal = refusal{}
		k.pass, k.full, k.at, k.lookedOut, k.missed, k.compared = pass, false, 0, -1, -1, -1
	}
}

// isUsable reports whether new runs may start on the worker in this pass.
func (c *Cell) isUsable(worker *Worker, now time.Time) bool {
	if worker.lookedAt != c.pass {
		worker.lookedAt = c.pass
		worker.usableNow = worker.usable(now)
	}
	return worker.usableNow && !worker.hasLoneRun()
}

// isUsableFor reports whether a new run of the job may start on the worker in this pass.
func (c *Cell) isUsableFor(job *Job, worker *Worker, now time.Time) bool {
	return c.isUsable(worker, now) || worker.evacuated() && worker.usableFor(job, now)
}

// hasRoom reports whether a usable worker has room for a task of the kind.
func (c *Cell) hasRoom(k *kind, now time.Time) bool {
	for ; k.at < len(c.ordered); k.at++ {
		worker := c.ordered[k.at]
		if worker.Group == k.group && worker.free().Fits(k.demand) && c.isUsable(worker, now) {
			return true
		}
	}
	k.full = true
	return false
}

// noWorker is the slowness of a worker that does not exist.
const noWorker = 0

// mayFind reports whether selectWorker may find a worker for the task: one with room is fast enough, or none at all is.
func (c *Cell) mayFind(k *kind, task *Task, now time.Time) bool {
	if c.compareSpeeds(k, now); k.roomy == noWorker {
		return false
	}
	length := c.speeds.length(task)
	return endsInTime(task, time.Duration(length*k.roomy), now) || now.Add(time.Duration(length*k.fastest)).After(task.Job.Objective)
}

// compareSpeeds finds the slowness of the fastest worker, and of the fastest one with room.
func (c *Cell) compareSpeeds(k *kind, now time.Time) {
	if k.compared == c.started {
		return
	}
	k.compared, k.roomy, k.fastest = c.started, noWorker, noWorker
	for _, worker := range c.ordered {
		if worker.Group != k.group || !c.isUsable(worker, now) {
			continue
		}
		slowness := c.speeds.slowness(worker)
		if k.fastest == noWorker || slowness < k.fastest {
			k.fastest = slowness
		}
		if (k.roomy == noWorker || slowness < k.roomy) && worker.free().Fits(k.demand) {
			k.roomy = slowness
		}
	}
}
