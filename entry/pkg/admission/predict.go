package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/api"
)

// Predictive refuses work whose predicted wait and run pass its deadline, or that would keep a queue long while more is offered than served.
type Predictive struct {
	random *rand.Rand
	loads  map[string]*load // by group
	queues map[queueKey]*standing
}

// load is what was offered to one group.
type load struct {
	all     meter
	owners  map[string]*meter
	surging bool // more is offered than the group serves, since it surged
}

// queueKey names the part of a group's queue that one kind of submission waits in.
type queueKey struct {
	group  string
	owner  string
	urgent bool
	long   bool
}

// standing tells for how long a queue has refused work.
type standing struct {
	since time.Time
	last  time.Time // when it refused work last
}

// Bounds of a standing queue. A queue that drains takes in a burst; one that grows because more is offered than served adds nothing to what is served, and only makes everybody wait.
const (
	standingFrom  = 500 * time.Millisecond // a queue this long that refuses work is standing
	standingWait  = 100 * time.Millisecond // a standing queue is kept this short
	standingShare = 0.02                   // of a job's deadline, where that is longer than standingWait
	standingTime  = time.Second
)

// Bounds of the time after which a refused caller should come back.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	retryJitter   = 0.5 // share of the time that is added at random
)

// spreads is how many mean distances from the mean a run is expected to take at most.
const spreads = 2.5

// NewPredictive returns the policy; random spreads the times at which refused callers come back.
func NewPredictive(random *rand.Rand) *Predictive {
	return &Predictive{random: random, loads: map[string]*load{}, queues: map[queueKey]*standing{}}
}

// Admit refuses the job when one of its groups cannot serve it in time.
func (p *Predictive) Admit(job *blackboard.Job, groups map[string]*blackboard.Group, now time.Time) *dispatch.Refusal {
	for name, demand := range demands(job) {
		group, ok := groups[name]
		if !ok || group.Capacity.Rate <= 0 {
			continue
		}
		p.offer(job, group, demand, now)
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
	key := queueKey{group: group.Name, owner: job.Account, urgent: job.Urgent, long: demand.long}
	if time.Duration(waitMargin*float64(wait.last)) > max(allowed, negligibleWait) {
		p.overrun(key, wait.first, now)
		return p.refuse("the last task would start in %s, and has %s", wait.last, allowed)
	}
	standing := max(standingWait, time.Duration(standingShare*float64(job.Deadline.Sub(now))))
	if wait.first > standing && p.overloaded(job, group) && p.stands(key, now) {
		return p.refuse("more work is offered than served; the first task would start in %s, and has %s", wait.first, standing)
	}
	return nil
}

func (p *Predictive) refuse(format string, wait, allowed time.Duration) *dispatch.Refusal {
	allowed = max(0, allowed)
	return &dispatch.Refusal{
		Code:       api.CodeOverload,
		Reason:     fmt.Sprintf(format, wait.Round(time.Millisecond), allowed.Round(time.Millisecond)),
		RetryAfter: p.retryAfter(wait - min(allowed, standingWait)),
	}
}

// waitMargin makes up for waits that turn out longer than predicted.
const waitMargin = 1.15

// negligibleWait is never a reason to refuse.
const negligibleWait = 10 * time.Millisecond

// offer takes in what the job asks of the group.
func (p *Predictive) offer(job *blackboard.Job, group *blackboard.Group, demand demand, now time.Time) {
	found, ok := p.loads[group.Name]
	if !ok {
		found = &load{owners: map[string]*meter{}}
		p.loads[group.Name] = found
	}
	own, ok := found.owners[job.Account]
	if !ok {
		own = &meter{}
		found.owners[job.Account] = own
	}
	own.add(demand.work, now)
	found.all.add(demand.work, now)
	found.surging = found.all.surges(group.Capacity.Rate) || (found.surging && found.all.exceeds(group.Capacity.Rate))
}

// overloaded reports whether more is offered than served, by the group's owners together and by this one.
func (p *Predictive) overloaded(job *blackboard.Job, group *blackboard.Group) bool {
	found := p.loads[group.Name]
	return found.all.exceeds(group.Capacity.Rate) && found.owners[job.Account].exceeds(fairRate(job, group))
}

// overrun takes in that the queue is too long for a deadline.
func (p *Predictive) overrun(key queueKey, wait time.Duration, now time.Time) {
	found, ok := p.queues[key]
	if ok && now.Sub(found.last) < standingTime {
		found.last = now
		return
	}
	if wait >= standingFrom {
		p.queues[key] = &standing{since: now, last: now}
	}
}

// stands reports whether the group's load surges or the queue has refused work for some time; then it refuses again.
func (p *Predictive) stands(key queueKey, now time.Time) bool {
	if p.loads[key.group].surging {
		return true
	}
	found, ok := p.queues[key]
	if !ok || now.Sub(found.since) < standingTime {
		return false
	}
	if now.Sub(found.last) >= standingTime {
		delete(p.queues, key)
		return false
	}
	found.last = now
	return true
}

// retryAfter returns the given time with jitter, within bounds.
func (p *Predictive) retryAfter(drained time.Duration) time.Duration {
	jitter := 1 + retryJitter*p.random.Float64()
	return min(max(time.Duration(float64(drained)*jitter), minRetryAfter), maxRetryAfter)
}
