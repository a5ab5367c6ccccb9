package blackboard

import "time"

// Capacity is the capacity of a group's back ends for this host, summed periodically.
type Capacity struct {
	Summed        time.Time
	Backends      int                // number of back ends in the sum
	Slots         int                // slots that this host may use now
	Rate          float64            // expected run time per second with every slot busy, in seconds
	SlownessBound float64            // slowness below which nearly all starts stay when every slot is busy
	LongRate      map[string]float64 // limit of the part of Rate for long tasks, by failure domain
	Shapes        []*Backend         // one back end of each shape, representing all of that shape
}

// Backlogs is the waiting work of one group, by client account.
type Backlogs struct {
	ByAccount map[string]*Backlog
	List      []*Backlog
	Tasks     int // of all accounts
}

// Of returns the account's backlog and creates it if needed.
func (b *Backlogs) Of(account *Account) *Backlog {
	backlog, ok := b.ByAccount[account.Name]
	if !ok {
		backlog = &Backlog{}
		if b.ByAccount == nil {
			b.ByAccount = map[string]*Backlog{}
		}
		b.ByAccount[account.Name] = backlog
		b.List = append(b.List, backlog)
	}
	backlog.Weight = max(1, account.Weight)
	backlog.MaxRun = account.MaxRun
	return backlog
}

// Backlog is the expected slot time of one account's waiting tasks in one group.
type Backlog struct {
	Weight int
	MaxRun int // limit of running tasks; zero means unbounded
	Tasks  int
	Urgent time.Duration // short urgent tasks
	Short  time.Duration // other short tasks
	Long   time.Duration // long tasks, urgent or not
}

// Add adds the task's expected slot time.
func (b *Backlog) Add(task *Task) {
	b.Tasks++
	*b.class(task) += task.Cost
}

// Subtract removes the task's expected slot time.
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
