package cellhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/cell"
)

// maxPolls bounds the polls of one worker in progress, each of which has the worker's lists in memory; others may be without an
// answer.
const maxPolls = 4

// workerLoop holds one worker: it renews the worker's lease and reads its lists.
type workerLoop struct {
	keeper      *KeeperController
	worker      *cell.Worker
	target      Target
	epoch       int64        // of the claim under which the worker is held
	token       atomic.Int64 // epoch, or higher after conflicting claims
	ctx         context.Context
	cancel      context.CancelFunc
	raises      int
	heldByOther atomic.Bool // another keeper holds the worker
	pollPending atomic.Bool // a poll waits until it may begin
	polls       chan struct{}

	releasingSince time.Time // since when the worker is being released; guarded by the keeper's lock
}

func newWorkerLoop(k *KeeperController, worker *cell.Worker, epoch int64) *workerLoop {
	ctx, cancel := context.WithCancel(context.Background())
	loop := &workerLoop{
		keeper: k,
		worker: worker,
		target: Target{ID: worker.ID, Address: worker.Address},
		epoch:  epoch,
		ctx:    ctx,
		cancel: cancel,
		polls:  make(chan struct{}, maxPolls),
	}
	loop.token.Store(epoch)
	return loop
}

// serve holds the worker until the loop is cancelled.
func (l *workerLoop) serve() {
	backoff := time.Duration(0) // a single failed call is repeated at once
	for l.ctx.Err() == nil {
		err := l.hold(l.nextWait())
		switch {
		case err == nil:
			backoff = 0
			l.raises = 0
		case l.ctx.Err() != nil:
		case errors.Is(err, ErrFenced):
			l.handleFenced()
		default:
			l.handleUnanswered(err)
			l.sleep(backoff)
			backoff = min(max(firstBackoff, 2*backoff), lastBackoff)
		}
	}
}

// nextWait returns how long the worker may delay its next answer. A worker that gets no work until it answers is asked
// to answer at once.
func (l *workerLoop) nextWait() time.Duration {
	l.keeper.mu.Lock()
	defer l.keeper.mu.Unlock()
	switch {
	case !l.worker.Held(), l.worker.Unresponsive():
		return 0
	case l.worker.HasUnknownRuns():
		return foreignRunWait
	default:
		return holdWait
	}
}

// hold makes one call and applies the worker's report.
func (l *workerLoop) hold(wait time.Duration) error {
	k := l.keeper
	k.mu.Lock()
	if l.heldByOther.Load() { // the token is raised already
		k.mu.Unlock()
		return errors.WithStack(ErrFenced)
	}
	sent := k.common.Clock.Now()
	call := HoldCall{Token: l.token.Load(), Ack: l.worker.AckedSequence(), Wait: wait}
	if l.worker.Held() {
		call.Lease, _ = l.worker.Lease(sent, k.options.MaxLease)
	}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, wait+callTimeout)
	defer cancel()
	report, err := k.workers.Hold(ctx, l.target, call)
	if errors.Is(err, ErrFenced) && call.Token != l.token.Load() {
		return nil // by this keeper's own later token
	}
	if err != nil {
		return err
	}
	if l.ctx.Err() != nil {
		return errors.WithStack(l.ctx.Err())
	}
	regained, restarted := false, false
	k.apply(func(now time.Time) cell.Effects {
		if l.ctx.Err() != nil || call.Token != l.token.Load() {
			return cell.Effects{}
		}
		if restarted = l.worker.HasRestarted(report); restarted {
			l.token.Store(nextToken(call.Token))
			return k.cell.HandleRestart(l.worker, report, now)
		}
		regained = l.worker.Unresponsive()
		return k.cell.HandleReport(l.worker, report, sent, now)
	})
	if regained {
		k.common.Log.WithField("worker", l.target.ID).Info("worker answers again")
	}
	if restarted {
		k.common.Log.WithField("worker", l.target.ID).WithField("token", call.Token).Info("worker has restarted, raising its token")
		return l.hold(0)
	}
	return nil
}

// poll reads the lists at once, beside the waiting call; a call whose answer is lost is repeated once. It does nothing while an
// earlier poll has not begun, whose answer will do.
func (l *workerLoop) poll() {
	if !l.pollPending.CompareAndSwap(false, true) {
		return
	}
	l.polls <- struct{}{}
	defer func() { <-l.polls }()
	l.pollPending.Store(false)
	for range pollAttempts {
		if l.heldByOther.Load() || l.ctx.Err() != nil {
			return
		}
		err := l.hold(0)
		if err == nil {
			return
		}
		l.keeper.common.Log.WithField("worker", l.target.ID).WithError(err).Debug("cannot poll the worker")
	}
}

// handleFenced gives up the runs at the worker and reclaims it with a higher token if no other keeper shows up.
func (l *workerLoop) handleFenced() {
	k := l.keeper
	cellFences.Inc()
	before := l.token.Load()
	l.heldByOther.Store(true)
	defer l.heldByOther.Store(false)
	k.apply(func(now time.Time) cell.Effects {
		// Reports from before the worker was lost are recognised by their token.
		l.token.Store(raiseToken(before, l.raises, now))
		return k.cell.HandleFenced(l.worker, now)
	})
	l.raises++
	delay := conflictDelay
	if k.board.View().Isolated {
		delay = isolatedDelay
	}
	k.common.Log.WithField("worker", l.target.ID).WithField("token", before).WithField("delay", delay.String()).Warn("fenced by another keeper")
	l.sleep(delay)
}

func (l *workerLoop) handleUnanswered(err error) {
	k := l.keeper
	wasResponsive := false
	k.apply(func(now time.Time) cell.Effects {
		wasResponsive = !l.worker.Unresponsive()
		k.cell.MarkUnresponsive(l.worker)
		if evidence, ended := crashEvidence(err); ended {
			return k.cell.HandleCrash(l.worker, evidence, now)
		}
		return cell.Effects{}
	})
	if wasResponsive {
		k.common.Log.WithField("worker", l.target.ID).WithError(err).Warn("worker does not answer")
	}
}

func (l *workerLoop) sleep(delay time.Duration) {
	select {
	case <-l.ctx.Done():
	case <-l.keeper.common.Clock.After(delay):
	}
}
