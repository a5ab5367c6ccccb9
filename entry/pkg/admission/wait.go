package admission

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// demand is the work that a job submits to one group.
type demand struct {
	tasks int
	work  time.Duration // expected slot time
	run   time.Duration // longest expected run time of one task
	long  bool          // all of its tasks are long
}

func demandByGroup(job *blackboard.Job) map[string]demand {
	found := make(map[string]demand, 1)
	for _, task := range job.Tasks {
		sum, ok := found[task.Target.Group]
		sum.tasks++
		sum.work += task.Cost
		sum.run = max(sum.run, task.Expected+time.Duration(runSpreads*float64(task.Deviation)))
		sum.long = task.Long && (sum.long || !ok)
		found[task.Target.Group] = sum
	}
	return found
}

// predictedWaits are the predicted delays until the first and the last task of a job start.
type predictedWaits struct {
	first time.Duration
	last  time.Duration
}

// predictWait predicts when the job's tasks start, if the client accounts continue to share by weight.
func predictWait(job *blackboard.Job, group *blackboard.Group, demand demand) predictedWaits {
	rate := group.Capacity.Rate * classShare(group, demand.long)
	if group.Backlogs.Tasks == 0 {
		return predictedWaits{last: drainTime(workWithoutSlot(group, demand), rate)}
	}
	own := group.Backlogs.ByAccount[job.Account]
	if own == nil {
		own = &blackboard.Backlog{Weight: 1}
	}
	first := workAhead(job, own, demand.long)
	last := first + demand.work - demand.work/time.Duration(demand.tasks)
	waits := predictedWaits{
		first: drainTime(first+otherWork(group, own, first, demand.long), rate),
		last:  drainTime(last+otherWork(group, own, last, demand.long), rate),
	}
	if own.MaxRun > 0 {
		waits.last = max(waits.last, last/time.Duration(own.MaxRun))
	}
	return waits
}

func drainTime(work time.Duration, rate float64) time.Duration {
	return time.Duration(float64(work) / rate)
}

// otherWork returns how much work of the other accounts starts, by weight, while the given work of one does.
func otherWork(group *blackboard.Group, own *blackboard.Backlog, work time.Duration, long bool) time.Duration {
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

// fairRate returns the weighted share of the group's rate that the job's account has
// against the accounts with queued work.
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

// workAhead returns the slot time of the account's queued work that starts before the job.
func workAhead(job *blackboard.Job, own *blackboard.Backlog, long bool) time.Duration {
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

// workWithoutSlot returns the part of the job's work that finds no free slot at once, if the queue is empty.
func workWithoutSlot(group *blackboard.Group, demand demand) time.Duration {
	left := demand.tasks - max(0, group.Capacity.Slots-group.Busy)
	if left <= 0 {
		return 0
	}
	return demand.work / time.Duration(demand.tasks) * time.Duration(left)
}

// classShare returns the share of the group's rate that the class can rely on.
func classShare(group *blackboard.Group, long bool) float64 {
	held, most := 0.0, 0.0
	for domain, limit := range group.Capacity.LongRate {
		held += group.LongLoad[domain]
		most += limit
	}
	rate := group.Capacity.Rate
	if long {
		return max(most/rate, minClassShare)
	}
	return max(1-held/rate, 1-most/rate, minClassShare)
}

// minClassShare keeps the prediction finite if one class may take all slots.
const minClassShare = 0.05
