package blackboard

import "time"

// Capacity is what a group's back ends can do for this host, summed at intervals.
type Capacity struct {
	Summed        time.Time
	Backends      int                // that it was summed from
	Slots         int                // that this host may use now
	Rate          float64            // expected run time done in a second, in seconds, with every slot busy
	SlownessBound float64            // slowness that nearly all starts stay below when every slot is busy
	LongRate      map[string]float64 // most of Rate that long work may take, by place
	Shapes        []*Backend         // one of each size in each place; it stands for all that equal it
}

// Backlogs is the waiting work of one group, by owner.
type Backlogs struct {
	ByAccount map[string]*Backlog
	List      []*Backlog
	Tasks     int // of all owners
}

// Of returns the owner's backlog, and makes it when it is new.
func (b *Backlogs) Of(owner *Account) *Backlog {
	found, ok := b.ByAccount[owner.Name]
	if !ok {
		found = &Backlog{}
		if b.ByAccount == nil {
			b.ByAccount = map[string]*Backlog{}
		}
		b.ByAccount[owner.Name] = found
		b.List = append(b.List, found)
	}
	found.Weight = max(1, owner.Weight)
	found.MaxRun = owner.MaxRun
	return found
}

// Backlog is the expected slot time of one owner's waiting work in one group.
type Backlog struct {
	Weight int
	MaxRun int // most tasks running; zero means no bound
	Tasks  int
	Urgent time.Duration // short urgent work
	Short  time.Duration // other short work
	Long   time.Duration // urgent or not
}

// Add counts the task's expected slot time.
func (b *Backlog) Add(task *Task) {
	b.Tasks++
	*b.class(task) += task.Cost
}

// Subtract takes the task's expected slot time out again.
func (b *Backlog) Subtract(task *Task) {
	b.Tasks--
	*b.class(task) -= task.Cost
}

func (b *Backlog) class(task *Task) *time.Duration {
	switch {
	case task.Long:
		return &b.Long
	case task.Job.Urgent:
		return &b.Urgent
	default:
		return &b.Short
	}
}
