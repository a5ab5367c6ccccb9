package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/api"
)

// Predictive refuses jobs whose predicted delay and run time exceed their deadline,
// or that would keep a queue long while more work is offered than served.
type Predictive struct {
	random         *rand.Rand
	loads          map[string]*offeredLoad // by group name
	standingQueues map[queueKey]*standingQueue
}

// offeredLoad is the work offered to one group.
type offeredLoad struct {
	total    meter
	accounts map[string]*meter
	surging  bool // set by a surge, until no more work is offered than served
}

// queueKey identifies the part of a group's queue that one kind of submission waits in.
type queueKey struct {
	group   string
	account string
	urgent  bool
	long    bool
}

// standingQueue records since when a queue has refused work.
type standingQueue struct {
	firstRefusal time.Time
	lastRefusal  time.Time // time of the last refusal
}

// Bounds of a standing queue. A queue that drains may hold a burst;
// one that grows because more is offered than served adds delay and no throughput.
const (
	standingMinWait       = 500 * time.Millisecond // predicted delay from which a queue that refuses work can become standing
	standingMaxWait       = 100 * time.Millisecond // maximum predicted delay admitted to a standing queue
	standingDeadlineShare = 0.02                   // share of a job's remaining time, used if longer than standingMaxWait
	standingPeriod        = time.Second
)

// Bounds of the retry-after time of refused jobs.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	retryJitter   = 0.5 // maximum random addition, as a share of the time
)

// runSpreads is how many mean deviations above its mean a run is expected to take at most.
const runSpreads = 2.5

// NewPredictive returns a Predictive policy; random spreads the retry-after times.
func NewPredictive(random *rand.Rand) *Predictive {
	return &Predictive{random: random, loads: map[string]*offeredLoad{}, standingQueues: map[queueKey]*standingQueue{}}
}

// Admit refuses the job if one of its groups cannot serve it in time.
func (p *Predictive) Admit(job *blackboard.Job, groups map[string]*blackboard.Group, now time.Time) *dispatch.Refusal {
	for name, demand := range demandByGroup(job) {
		group, ok := groups[name]
		if !ok || group.Capacity.Rate <= 0 {
			continue
		}
		p.recordOffered(job, group, demand, now)
		if refusal := p.admit(job, group, demand, now); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (p *Predictive) admit(job *blackboard.Job, group *blackboard.Group, demand demand, now time.Time) *dispatch.Refusal {
	wait := predictWait(job, group, demand)
	run := time.Duration(float64(demand.run) * max(1, group.Capacity.SlownessBound))
	allowed := job.Deadline.Sub(now) - run
	key := queueKey{group: group.Name, account: job.Account, urgent: job.Urgent, long: demand.long}
	if time.Duration(waitMargin*float64(wait.last)) > max(allowed, negligibleWait) {
		p.recordDeadlineMiss(key, wait.first, now)
		return p.refuse("the last task would start in %s, and has %s", wait.last, allowed)
	}
	standing := max(standingMaxWait, time.Duration(standingDeadlineShare*float64(job.Deadline.Sub(now))))
	if wait.first > standing && p.overloaded(job, group) && p.isStanding(key, now) {
		return p.refuse("more work is offered than served; the first task would start in %s, and has %s", wait.first, standing)
	}
	return nil
}

func (p *Predictive) refuse(format string, wait, allowed time.Duration) *dispatch.Refusal {
	allowed = max(0, allowed)
	return &dispatch.Refusal{
		Code:       api.CodeOverload,
		Reason:     fmt.Sprintf(format, wait.Round(time.Millisecond), allowed.Round(time.Millisecond)),
		RetryAfter: p.retryAfter(wait - min(allowed, standingMaxWait)),
	}
}

// waitMargin scales predicted delays, because actual ones turn out longer.
const waitMargin = 1.15

// negligibleWait is a predicted delay that never causes a refusal.
const negligibleWait = 10 * time.Millisecond

// recordOffered adds the job's work to the group's offered load.
func (p *Predictive) recordOffered(job *blackboard.Job, group *blackboard.Group, demand demand, now time.Time) {
	load, ok := p.loads[group.Name]
	if !ok {
		load = &offeredLoad{accounts: map[string]*meter{}}
		p.loads[group.Name] = load
	}
	own, ok := load.accounts[job.Account]
	if !ok {
		own = &meter{}
		load.accounts[job.Account] = own
	}
	own.add(demand.work, now)
	load.total.add(demand.work, now)
	load.surging = load.total.surges(group.Capacity.Rate) || (load.surging && load.total.exceeds(group.Capacity.Rate))
}

// overloaded reports whether the group is offered more than it serves,
// and this client account offers more than its fair share.
func (p *Predictive) overloaded(job *blackboard.Job, group *blackboard.Group) bool {
	load := p.loads[group.Name]
	return load.total.exceeds(group.Capacity.Rate) && load.accounts[job.Account].exceeds(fairRate(job, group))
}

// recordDeadlineMiss records that the queue is too long for a job's deadline.
func (p *Predictive) recordDeadlineMiss(key queueKey, wait time.Duration, now time.Time) {
	queue, ok := p.standingQueues[key]
	if ok && now.Sub(queue.lastRefusal) < standingPeriod {
		queue.lastRefusal = now
		return
	}
	if wait >= standingMinWait {
		p.standingQueues[key] = &standingQueue{firstRefusal: now, lastRefusal: now}
	}
}

// isStanding reports whether the group's load surges or the queue has refused work for standingPeriod.
// If so, the caller refuses the job.
func (p *Predictive) isStanding(key queueKey, now time.Time) bool {
	if p.loads[key.group].surging {
		return true
	}
	queue, ok := p.standingQueues[key]
	if !ok || now.Sub(queue.firstRefusal) < standingPeriod {
		return false
	}
	if now.Sub(queue.lastRefusal) >= standingPeriod {
		delete(p.standingQueues, key)
		return false
	}
	queue.lastRefusal = now
	return true
}

// retryAfter returns the given time with jitter, within its bounds.
func (p *Predictive) retryAfter(wait time.Duration) time.Duration {
	jitter := 1 + retryJitter*p.random.Float64()
	return min(max(time.Duration(float64(wait)*jitter), minRetryAfter), maxRetryAfter)
}
