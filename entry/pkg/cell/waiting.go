package cell

import (
	"slices"
	"sort"
	"time"
)

// maxMoved is the number of jobs that are put in their places one by one; more are sorted with all others.
const maxMoved = 8

// enqueue adds a job with waiting tasks; sortWaiting puts it in its place.
func (c *Cell) enqueue(job *Job) {
	if !job.listed {
		job.listed = true
		c.waiting = append(c.waiting, job)
		c.widths = append(c.widths, width{})
		c.list(job)
	}
	c.move(job)
}

// move notes that the place of the job among the waiting ones may have changed, or that it waits no more. It follows each
// change of a listed job that compareOrder depends on; changes that concern all jobs take effect at the next tick.
func (c *Cell) move(job *Job) {
	job.changed()
	if job.listed && !job.moved {
		job.moved = true
		c.moved = append(c.moved, job)
	}
}

// waits reports whether the job has tasks that wait for a start.
func (j *Job) waits() bool {
	return !j.Decided() && j.waiting() > 0
}

// sortWaiting brings the waiting jobs into their order and drops those that wait no more.
func (c *Cell) sortWaiting() {
	if c.sortedAt != c.factors.version || len(c.moved) > maxMoved {
		c.sortAll()
	}
	for _, job := range c.moved {
		at := slices.Index(c.waiting, job)
		c.waiting = slices.Delete(c.waiting, at, at+1)
		c.widths = slices.Delete(c.widths, at, at+1)
	}
	for _, job := range c.moved {
		job.moved = false
		if !job.waits() {
			c.delist(job)
		} else {
			c.noteServable(job)
			at, _ := slices.BinarySearchFunc(c.waiting, job, c.compareOrder)
			c.waiting = slices.Insert(c.waiting, at, job)
			c.widths = slices.Insert(c.widths, at, c.width(job))
		}
	}
	c.forgetMoved()
}

// sortAll sorts all waiting jobs, which are nearly in order already.
func (c *Cell) sortAll() {
	c.sortedAt = c.factors.version
	for _, job := range c.moved {
		job.moved = false
	}
	c.forgetMoved()
	c.waiting = slices.DeleteFunc(c.waiting, func(job *Job) bool {
		if job.waits() {
			return false
		}
		c.delist(job)
		return true
	})
	c.servableUntil = time.Time{}
	sortNearly(c.waiting, c.compareOrder)
	c.widths = c.widths[:0]
	for _, job := range c.waiting {
		c.widths = append(c.widths, c.width(job))
	}
}

// width is the number and the length of the tasks of a waiting job.
type width struct {
	tasks  int
	length time.Duration
}

func (c *Cell) width(job *Job) width {
	return width{job.waiting(), c.typical(job)}
}

// loadAhead returns the load of the waiting jobs that start before the job.
func (c *Cell) loadAhead(job *Job, now time.Time) load {
	var sum load
	if len(c.moved) > 0 || len(c.unsettled.blocking) > 0 {
		for other := range c.ahead(job, now) {
			sum.add(other.waiting(), c.typical(other))
		}
		return sum
	}
	end := sort.Search(len(c.waiting), func(i int) bool { return c.waiting[i] != job && !c.isAhead(c.waiting[i], job) })
	for _, width := range c.widths[:end] {
		sum.add(width.tasks, width.length)
	}
	if at, listed := slices.BinarySearchFunc(c.waiting, job, c.compareOrder); listed && at < end {
		sum.add(-job.waiting(), c.typical(job))
	}
	return sum
}

// sortNearly sorts jobs of which few are far from their places.
func sortNearly(jobs []*Job, compare func(a, b *Job) int) {
	swaps := 4 * len(jobs) // about the cost of a sort
	for i := range jobs {
		for j := i; j > 0 && compare(jobs[j], jobs[j-1]) < 0; j-- {
			if swaps--; swaps < 0 {
				slices.SortFunc(jobs, compare)
				return
			}
			jobs[j], jobs[j-1] = jobs[j-1], jobs[j]
		}
	}
}

func (c *Cell) forgetMoved() {
	clear(c.moved)
	c.moved = c.moved[:0]
}
