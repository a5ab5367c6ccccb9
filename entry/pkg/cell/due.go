package cell

import (
	"container/heap"
	"slices"
	"time"
)

// dueJobs is a min-heap of the undecided jobs by when a tick may have to answer them. Decided ones are dropped later.
type dueJobs []dueJob

type dueJob struct {
	at  time.Time
	job *Job
}

// Len implements heap.Interface.
func (d *dueJobs) Len() int { return len(*d) }

// Less implements heap.Interface.
func (d *dueJobs) Less(i, j int) bool { return (*d)[i].at.Before((*d)[j].at) }

// Swap implements heap.Interface.
func (d *dueJobs) Swap(i, j int) { (*d)[i], (*d)[j] = (*d)[j], (*d)[i] }

// Push implements heap.Interface.
func (d *dueJobs) Push(value any) { *d = append(*d, value.(dueJob)) }

// Pop implements heap.Interface.
func (d *dueJobs) Pop() any {
	last := len(*d) - 1
	popped := (*d)[last]
	(*d)[last] = dueJob{}
	*d = (*d)[:last]
	return popped
}

// open adds an undecided job.
func (c *Cell) open(job *Job) {
	c.nextSeq++
	job.seq = c.nextSeq
	c.jobs[job] = struct{}{}
	if c.byHome[job.Home] == nil {
		c.byHome[job.Home] = map[*Job]struct{}{}
	}
	c.byHome[job.Home][job] = struct{}{}
	heap.Push(&c.due, dueJob{c.dueAt(job), job})
	if len(c.due) > 2*len(c.jobs)+maxMoved {
		c.resetDue()
	}
}

// close drops a job that is decided.
func (c *Cell) close(job *Job) {
	delete(c.jobs, job)
	delete(c.byHome[job.Home], job)
	if len(c.byHome[job.Home]) == 0 {
		delete(c.byHome, job.Home)
	}
}

// dueAt returns a time before which no tick has to answer the job, unless its deadline is brought forward.
func (c *Cell) dueAt(job *Job) time.Time {
	if until, may := c.heardUntil(job); may {
		return minTime(until, job.Deadline)
	}
	return job.Deadline
}

// resetDue drops the decided jobs and notes anew when the others are due.
func (c *Cell) resetDue() {
	c.due = slices.DeleteFunc(c.due, func(due dueJob) bool { return due.job.Decided() })
	for i := range c.due {
		c.due[i].at = c.dueAt(c.due[i].job)
	}
	heap.Init(&c.due)
}

// answerDue answers the jobs whose deadline has passed or whose home was not heard.
func (c *Cell) answerDue(now time.Time, effects *Effects) {
	var due []*Job
	for len(c.due) > 0 && !now.Before(c.due[0].at) {
		if job := heap.Pop(&c.due).(dueJob).job; !job.Decided() {
			due = append(due, job)
		}
	}
	slices.SortFunc(due, func(a, b *Job) int { return int(a.seq - b.seq) })
	for _, job := range due {
		switch {
		case job.Decided():
		case !now.Before(job.Deadline):
			c.giveUp(job, "the deadline passed", now, effects)
		case c.isUnheard(job, now): // its runs would end the leases of others on their workers
			c.answer(job, &Answer{Outcome: Abandoned, Reason: "the caller's host was not heard"}, effects, now)
		default:
			heap.Push(&c.due, dueJob{c.dueAt(job), job})
		}
	}
}
