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
		sum.run = max(sum.run, task.Expected+spreads*task.Spread)
		sum.long = task.Long && (sum.long || !ok)
		found[task.Target.Group] = sum
	}
	return found
}

// predictWait returns when the job's last task is expected to start, if the owners go on sharing by weight.
func predictWait(job *blackboard.Job, group *blackboard.Group, demand demand) time.Duration {
	own := group.Backlogs[job.Owner]
	if own == nil {
		own = &blackboard.Backlog{Weight: 1}
	}
	ahead := ahead(job, own, demand)
	total := ahead
	waiting := own.Tasks
	for name, other := range group.Backlogs {
		if name == job.Owner {
			continue
		}
		waiting += other.Tasks
		fair := time.Duration(float64(ahead) * float64(max(1, other.Weight)) / float64(max(1, own.Weight)))
		total += min(classWork(other, demand.long), fair)
	}
	if waiting == 0 {
		total = unplaced(group, demand)
	}
	rate := group.Capacity.Rate * classShare(group, demand.long)
	wait := time.Duration(float64(total) / rate)
	if own.MaxRun > 0 {
		wait = max(wait, ahead/time.Duration(own.MaxRun))
	}
	return wait
}

// ahead returns the slot time of the owner's work up to the start of the job's last task.
func ahead(job *blackboard.Job, own *blackboard.Backlog, demand demand) time.Duration {
	before := demand.work - demand.work/time.Duration(demand.tasks)
	switch {
	case demand.long:
		return before + own.Long
	case job.Urgent:
		return before + own.Urgent
	default:
		return before + own.Urgent + own.Short
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

// classShare returns the share of the slots that the class may count on.
func classShare(group *blackboard.Group, long bool) float64 {
	slots := float64(max(1, group.Capacity.Slots))
	held, most := 0.0, 0.0
	for place, limit := range group.Capacity.Long {
		held += float64(group.Long[place])
		most += float64(limit)
	}
	if long {
		return most / slots
	}
	return max(1-held/slots, 1-most/slots, minShortShare)
}

// minShortShare keeps the prediction finite where long work may hold every slot.
const minShortShare = 0.05
