package queue

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// quantum is the slot time credited in each round to a client account of weight 1.
const quantum = 500 * time.Millisecond

// minCost is the smallest slot time charged for a task.
const minCost = time.Millisecond

// Fair shares slot time between client accounts by weight with deficit round robin.
// Within an account urgent work goes first, and short work before long.
type Fair struct {
	accounts  map[string]*blackboard.Account
	shares    map[string]*share
	ring      []*share // accounts with queued tasks
	next      int      // index in the ring of the account to serve next
	taskCount int
	popCall   int // number of the present call of Pop
}

// share is a client account's part of the queue.
type share struct {
	name      string
	deficit   time.Duration // slot time that may start before the next round
	classes   [classCount]class
	taskCount int
	ringIndex int // index in the ring, or -1
	triedIn   int // last call of Pop in which none of its tasks fitted
}

// NewFair returns an empty queue that reads weights and quotas from the accounts.
func NewFair(accounts map[string]*blackboard.Account) *Fair {
	return &Fair{accounts: accounts, shares: map[string]*share{}}
}

// Push adds a task to its account's class.
func (f *Fair) Push(task *blackboard.Task) {
	account := f.shareOf(task.Job.Account)
	account.classes[classOf(task)].push(task)
	account.taskCount++
	f.taskCount++
	if account.ringIndex < 0 {
		account.ringIndex = len(f.ring)
		f.ring = append(f.ring, account)
	}
}

// Remove removes a task and reports whether it was queued.
func (f *Fair) Remove(task *blackboard.Task) bool {
	waiting, ok := task.Node.(*node)
	if !ok {
		return false
	}
	waiting.lane.remove(waiting)
	f.taskRemoved(f.shares[task.Job.Account])
	return true
}

// Len returns the number of queued tasks.
func (f *Fair) Len() int {
	return f.taskCount
}

// Pop removes and returns the next task that fits, or nil.
// It tries at most one task of each account, class and lane.
func (f *Fair) Pop(fits func(task *blackboard.Task) bool) *blackboard.Task {
	f.popCall++
	for {
		if task := f.popWithDeficit(fits); task != nil {
			return task
		}
		if !f.replenish() {
			return nil
		}
	}
}

// popWithDeficit serves the accounts that have deficit left, in turn.
func (f *Fair) popWithDeficit(fits func(task *blackboard.Task) bool) *blackboard.Task {
	for range len(f.ring) {
		account := f.ring[f.next%len(f.ring)]
		if account.deficit <= 0 || account.triedIn == f.popCall {
			f.next = (f.next + 1) % len(f.ring)
			continue
		}
		task := f.popAccount(account, fits)
		if task == nil {
			account.triedIn = f.popCall
			f.next = (f.next + 1) % len(f.ring)
			continue
		}
		account.deficit -= max(task.Cost, minCost)
		f.taskRemoved(account)
		return task
	}
	return nil
}

// replenish credits accounts without deficit with the fewest rounds that give one of them a positive deficit;
// it reports whether there was such an account.
func (f *Fair) replenish() bool {
	rounds := time.Duration(0)
	for _, account := range f.ring {
		if account.triedIn == f.popCall || account.deficit > 0 {
			continue
		}
		needed := -account.deficit/f.roundQuantum(account) + 1
		if rounds == 0 || needed < rounds {
			rounds = needed
		}
	}
	if rounds == 0 {
		return false
	}
	for _, account := range f.ring {
		account.deficit = min(account.deficit+rounds*f.roundQuantum(account), max(account.deficit, f.roundQuantum(account)))
	}
	return true
}

// roundQuantum returns the slot time credited to an account in one round.
func (f *Fair) roundQuantum(account *share) time.Duration {
	weight := 1
	if known, ok := f.accounts[account.name]; ok {
		weight = max(1, known.Weight)
	}
	return quantum * time.Duration(weight)
}

func (f *Fair) popAccount(account *share, fits func(task *blackboard.Task) bool) *blackboard.Task {
	if known, ok := f.accounts[account.name]; ok && known.MaxRun > 0 && known.Running >= known.MaxRun {
		return nil
	}
	if task := account.popShortAndLong(urgentShort, urgentLong, fits); task != nil {
		return task
	}
	return account.popShortAndLong(normalShort, normalLong, fits)
}

func (f *Fair) shareOf(name string) *share {
	account, ok := f.shares[name]
	if !ok {
		account = &share{name: name, ringIndex: -1}
		f.shares[name] = account
	}
	return account
}

// taskRemoved updates the counts for a removed task, and drops an account without tasks from the ring.
func (f *Fair) taskRemoved(account *share) {
	f.taskCount--
	account.taskCount--
	if account.taskCount > 0 {
		return
	}
	account.deficit = min(account.deficit, 0)
	last := len(f.ring) - 1
	f.ring[account.ringIndex] = f.ring[last]
	f.ring[account.ringIndex].ringIndex = account.ringIndex
	f.ring[last] = nil
	f.ring = f.ring[:last]
	account.ringIndex = -1
}

// Each visits every queued task, those of one account and class in order.
func (f *Fair) Each(visit func(task *blackboard.Task)) {
	for _, account := range f.ring {
		for i := range account.classes {
			account.classes[i].each(visit)
		}
	}
}
