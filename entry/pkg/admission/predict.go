package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/api"
)

// Predict refuses work whose predicted wait and run pass its deadline, or that would keep a queue long that has refused work for some time.
type Predict struct {
	random *rand.Rand
	queues map[queueKey]*standing
}

// queueKey names the part of a group's queue that one kind of submission waits in.
type queueKey struct {
	group  string
	owner  string
	urgent bool
	long   bool
}

// standing tells since when a queue has been too long, but for breaks shorter than standingTime.
type standing struct {
	since time.Time
	short time.Time // since when the wait has been short again; zero while it is not
}

// Bounds of a standing queue. A queue that drains takes in a burst; one that has refused work for standingTime adds nothing to what is served, and only makes everybody wait.
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

// NewPredict returns the policy; random spreads the times at which refused callers come back.
func NewPredict(random *rand.Rand) *Predict {
	return &Predict{random: random, queues: map[queueKey]*standing{}}
}

// Admit refuses the job when one of its groups cannot serve it in time.
func (p *Predict) Admit(job *blackboard.Job, groups map[string]*blackboard.Group, now time.Time) *dispatch.Refusal {
	for name, demand := range demands(job) {
		group, ok := groups[name]
		if !ok || group.Capacity.Rate <= 0 {
			continue
		}
		if refusal := p.admit(job, group, demand, now); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (p *Predict) admit(job *blackboard.Job, group *blackboard.Group, demand demand, now time.Time) *dispatch.Refusal {
	wait := predictWait(job, group, demand)
	run := time.Duration(float64(demand.run) * max(1, group.Capacity.Slow))
	allowed := job.Deadline.Sub(now) - run
	key := queueKey{group: group.Name, owner: job.Owner, urgent: job.Urgent, long: demand.long}
	if time.Duration(waitMargin*float64(wait.last)) > max(allowed, negligibleWait) {
		p.overrun(key, wait.first, now)
		return p.refuse("the last task would start in %s, and has %s", wait.last, allowed)
	}
	standing := max(standingWait, time.Duration(standingShare*float64(job.Deadline.Sub(now))))
	if p.stands(key, wait.first, now) && wait.first > standing {
		return p.refuse("the queue has been too long for some time; the first task would start in %s, and has %s", wait.first, standing)
	}
	return nil
}

func (p *Predict) refuse(format string, wait, allowed time.Duration) *dispatch.Refusal {
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

// overrun takes in that the queue has become too long for a deadline.
func (p *Predict) overrun(key queueKey, wait time.Duration, now time.Time) {
	if _, ok := p.queues[key]; !ok && wait >= standingFrom {
		p.queues[key] = &standing{since: now}
	}
}

// stands takes in the predicted wait, and reports whether the queue has been too long for some time.
func (p *Predict) stands(key queueKey, wait time.Duration, now time.Time) bool {
	found, ok := p.queues[key]
	if !ok {
		return false
	}
	if wait <= standingWait {
		p.shorten(key, found, now)
		return false
	}
	found.short = time.Time{}
	return now.Sub(found.since) >= standingTime
}

// shorten forgets a standing queue once its wait has been short for long enough.
func (p *Predict) shorten(key queueKey, found *standing, now time.Time) {
	if found.short.IsZero() {
		found.short = now
	}
	if now.Sub(found.short) >= standingTime {
		delete(p.queues, key)
	}
}

// retryAfter returns the given time with jitter, within bounds.
func (p *Predict) retryAfter(drained time.Duration) time.Duration {
	jitter := 1 + retryJitter*p.random.Float64()
	return min(max(time.Duration(float64(drained)*jitter), minRetryAfter), maxRetryAfter)
}
