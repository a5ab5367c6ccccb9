package cellhost

import (
	"context"
	"time"

	"chervilusher.dev/entry/pkg/callerconn"
	"chervilusher.dev/entry/pkg/cell"
)

// pauseLimit is the time between two decisions from which on this process is taken to have stood still; it ticks ten times as
// often.
const pauseLimit = 10 * tickInterval

// waiter is a caller that waits for a job's answer.
type waiter struct {
	answers chan *cell.Answer
	hasLeft func() bool
}

// addWaiter registers a caller that waits for the job and returns the channel of its answer; the caller of addWaiter
// must hold the lock.
func (k *KeeperController) addWaiter(ctx context.Context, job *cell.Job) chan *cell.Answer {
	added := &waiter{answers: make(chan *cell.Answer, 1), hasLeft: func() bool { return callerconn.IsClosed(ctx) }}
	k.waiters[job] = added
	return added.answers
}

// cancelLeft cancels, after a pause of this process, the jobs whose callers have left meanwhile: their contexts end only some
// time after the first decision, which would still start them. The caller holds the lock.
func (k *KeeperController) cancelLeft(now time.Time) cell.Effects {
	paused := now.Sub(k.decidedAt) > pauseLimit
	k.decidedAt = now
	if !paused {
		return cell.Effects{}
	}
	var left []*cell.Job
	for job, waiting := range k.waiters {
		if waiting.hasLeft() {
			left = append(left, job)
		}
	}
	return k.cell.CancelAll(left, "the caller left during a pause of its host", now)
}
