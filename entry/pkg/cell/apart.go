package cell

import (
	"time"

	"chervilusher.dev/entry/pkg/interference"
)

// sharing counts the runs of each queue on a worker over time.
type sharing struct {
	counts  [interference.MaxQueues]int
	seconds interference.Neighbours // run time so far, summed over the runs
	at      time.Time
}

// advance adds the time since the last change.
func (s *sharing) advance(now time.Time) {
	elapsed := now.Sub(s.at).Seconds()
	s.at = now
	for queue, count := range s.counts {
		if count > 0 {
			s.seconds[queue] += elapsed * float64(count)
		}
	}
}

// sharedRun is what the learner of the group needs to know of a run.
type sharedRun struct {
	observed   bool // the learner has a place for its queue
	queue      int
	before     interference.Neighbours // seconds of the worker's sharing when it started
	neighbours interference.Neighbours // mean number, once it has ended
}

// learner returns what is known of the interference between the group's queues, or nil if tasks are not kept apart.
func (c *Cell) learner(group string) *interference.Learner {
	if !c.limits.KeepApart {
		return nil
	}
	found, ok := c.learners[group]
	if !ok {
		found = interference.New()
		c.learners[group] = found
	}
	return found
}

// beginSharing counts a run that starts.
func (c *Cell) beginSharing(run *Run, now time.Time) {
	learner := c.learner(run.Worker.Group)
	if learner == nil {
		return
	}
	queue, ok := learner.Index(run.Task.Job.Queue, now)
	if !ok {
		return
	}
	shared := &run.Worker.sharing
	shared.advance(now)
	run.shared = sharedRun{observed: true, queue: queue, before: shared.seconds}
	shared.counts[queue]++
}

// endSharing computes the mean number of neighbours of a run that ends.
func (c *Cell) endSharing(run *Run, now time.Time) {
	if !run.shared.observed {
		return
	}
	shared := &run.Worker.sharing
	shared.advance(now)
	shared.counts[run.shared.queue]--
	took := now.Sub(run.sentAt).Seconds()
	if took <= 0 {
		return
	}
	for queue, seconds := range shared.seconds {
		run.shared.neighbours[queue] = (seconds - run.shared.before[queue]) / took
	}
	run.shared.neighbours[run.shared.queue]-- // itself
}

// observeSharing records the run time of a task that is done, and returns it as it would have been without the neighbours that
// are known to slow it down, so that these are not taken for a slow worker.
func (c *Cell) observeSharing(run *Run, took time.Duration) time.Duration {
	learner := c.learner(run.Worker.Group)
	if learner == nil || !run.shared.observed || run.expected <= 0 {
		return took
	}
	job := run.Task.Job
	job.sharedRuns = append(job.sharedRuns, interference.Run{
		Worker:     run.Worker.ID,
		Ratio:      float64(took) / float64(run.expected),
		Neighbours: run.shared.neighbours,
	})
	return time.Duration(float64(took) / learner.Factor(run.shared.queue, &run.shared.neighbours))
}

// observeJob passes the runs of a completed job to the learner of its group.
func (c *Cell) observeJob(job *Job, now time.Time) {
	learner := c.learner(job.Group)
	if learner == nil || len(job.sharedRuns) == 0 {
		return
	}
	if queue, ok := learner.Index(job.Queue, now); ok {
		learner.Observe(queue, job.sharedRuns, now)
	}
}

// interferenceCost returns by which fractions of a run time the task and the runs on the worker would slow each other down.
func (c *Cell) interferenceCost(task *Task, worker *Worker, now time.Time) float64 {
	learner := c.learner(worker.Group)
	if learner == nil || learner.KnowsNone() || len(worker.runs) == 0 {
		return 0
	}
	queue, ok := learner.Index(task.Job.Queue, now)
	if !ok {
		return 0
	}
	cost := 0.0
	for other, count := range worker.sharing.counts {
		if count > 0 {
			cost += float64(count) * (learner.Slowdown(queue, other) + learner.Slowdown(other, queue))
		}
	}
	return cost
}

// TakeInterference returns the pairs of queues that have begun or ended to slow each other down since the last call.
func (c *Cell) TakeInterference() []interference.Pair {
	var changes []interference.Pair
	for _, learner := range c.learners {
		changes = append(changes, learner.TakeChanges()...)
	}
	return changes
}
