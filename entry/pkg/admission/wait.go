package admission

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// demand is what a job asks of one group.
type demand struct {
	tasks int
	work  time.Duration // slot time
	run   time.Duration // longest expected run of one task
	long  bool          // all of it is long
}

func demands(job *blackboard.Job) map[string]demand {
	found := make(map[string]demand, 1)
	for _, task := range job.Tasks {
		sum, ok := found[task.Target.Group]
		sum.tasks++
		sum.work += task.Cost
		sum.run = max(sum.run, task.Expected+time.Duration(spreads*float64(task.Deviation)))
		sum.long = task.Long && (sum.long || !ok)
		found[task.Target.Group] = sum
	}
	return found
}

// waits are the predicted times until the first and the last task of a job start.
type waits struct {
	first time.Duration
	last  time.Duration
}

// predictWait returns when the job's tasks are expected to start, if the owners go on sharing by weight.
func predictWait(job *blackboard.Job, group *blackboard.Group, demand demand) waits {
	rate := group.Capacity.Rate * classShare(group, demand.long)
	if group.Backlogs.Tasks == 0 {
		return waits{last: timeFor(unplaced(group, demand), rate)}
	}
	own := group.Backlogs.ByAccount[job.Account]
	if own == nil {
		own = &blackboard.Backlog{Weight: 1}
	}
	first := ahead(job, own, demand.long)
	last := first + demand.work - demand.work/time.Duration(demand.tasks)
	found := waits{
		first: timeFor(first+others(group, own, first, demand.long), rate),
		last:  timeFor(last+others(group, own, last, demand.long), rate),
	}
	if own.MaxRun > 0 {
		found.last = max(found.last, last/time.Duration(own.MaxRun))
	}
	return found
}

func timeFor(work time.Duration, rate float64) time.Duration {
	return time.Duration(float64(work) / rate)
}

// others returns how much work of the other owners starts while the given work of one owner does, by weight.
func others(group *blackboard.Group, own *blackboard.Backlog, work time.Duration, long bool) time.Duration {
	total := time.Duration(0)
	for _, other := range group.Backlogs.List {
		if other == own {
			continue
		}
		fair := time.Duration(float64(work) * float64(other.Weight) / float64(own.Weight))
		total += min(classWork(other, long), fair)
	}
	return total
}

// fairRate returns the share of the group's rate that the job's owner has by weight against the owners whose work waits.
func fairRate(job *blackboard.Job, group *blackboard.Group) float64 {
	own := group.Backlogs.ByAccount[job.Account]
	if own == nil {
		return group.Capacity.Rate
	}
	weights := own.Weight
	for _, other := range group.Backlogs.List {
		if other != own && other.Tasks > 0 {
			weights += other.Weight
		}
	}
	return group.Capacity.Rate * float64(own.Weight) / float64(weights)
}

// ahead returns the slot time of the owner's waiting work that starts before the job.
func ahead(job *blackboard.Job, own *blackboard.Backlog, long bool) time.Duration {
	switch {
	case long:
		return own.Long
	case job.Urgent:
		return own.Urgent
	default:
		return own.Urgent + own.Short
	}
}

func classWork(backlog *blackboard.Backlog, long bool) time.Duration {
	if long {
		return backlog.Long
	}
	return backlog.Urgent + backlog.Short
}

// unplaced returns the part of the job's work that finds no free slot at once, when nothing else waits.
func unplaced(group *blackboard.Group, demand demand) time.Duration {
	left := demand.tasks - max(0, group.Capacity.Slots-group.Busy)
	if left <= 0 {
		return 0
	}
	return demand.work / time.Duration(demand.tasks) * time.Duration(left)
}

// classShare returns the share of the group's rate that the class may count on.
func classShare(group *blackboard.Group, long bool) float64 {
	held, most := 0.0, 0.0
	for place, limit := range group.Capacity.LongRate {
		held += group.LongLoad[place]
		most += limit
	}
	rate := group.Capacity.Rate
	if long {
		return max(most/rate, minClassShare)
	}
	return max(1-held/rate, 1-most/rate, minClassShare)
}

// minClassShare keeps the prediction finite where one class may take everything.
const minClassShare = 0.05
