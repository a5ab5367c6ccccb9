package cellhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/cell"
)

// workerLoop keeps one worker: it renews its lease and reads its lists.
type workerLoop struct {
	keeper *KeeperController
	worker *cell.Worker
	target Target
	epoch  int64        // of the claim under which the worker is kept
	token  atomic.Int64 // epoch, or higher after a duel
	ctx    context.Context
	cancel context.CancelFunc
	raised int
	lost   atomic.Bool // another keeper has the worker

	released time.Time // since when the worker is to be given up; the keeper's lock guards it
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
	}
	loop.token.Store(epoch)
	return loop
}

// serve holds the worker until the loop is cancelled.
func (l *workerLoop) serve() {
	backoff := time.Duration(0) // a single lost call is made up for at once
	for l.ctx.Err() == nil {
		err := l.hold(l.wait())
		switch {
		case err == nil:
			backoff = 0
			l.raised = 0
		case l.ctx.Err() != nil:
		case errors.Is(err, ErrFenced):
			l.fenced()
		default:
			l.unanswered(err)
			l.sleep(backoff)
			backoff = min(max(firstBackoff, 2*backoff), lastBackoff)
		}
	}
}

// wait returns how long the worker may hold the next answer back; one that gets no work before it answers is asked to do so at once.
func (l *workerLoop) wait() time.Duration {
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

// hold makes one call and takes its answer in.
func (l *workerLoop) hold(wait time.Duration) error {
	k := l.keeper
	k.mu.Lock()
	sent := k.common.Clock.Now()
	call := HoldCall{Token: l.token.Load(), Ack: l.worker.AckedSequence(), Wait: wait}
	if l.worker.Held() {
		call.Lease, _ = l.worker.Lease(sent, k.options.MaxLease)
	}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, wait+callTimeout)
	defer cancel()
	report, err := k.workers.Hold(ctx, l.target, call)
	if err != nil {
		return err
	}
	if l.ctx.Err() != nil {
		return errors.WithStack(l.ctx.Err())
	}
	regained := false
	k.do(func(now time.Time) cell.Effects {
		if l.ctx.Err() != nil || call.Token != l.token.Load() {
			return cell.Effects{}
		}
		regained = l.worker.Unresponsive()
		return k.cell.HandleReport(l.worker, report, sent, now)
	})
	if regained {
		k.common.Log.WithField("worker", l.target.ID).Info("worker answers again")
	}
	return nil
}

// look reads the lists at once, beside a call that waits; a look whose answer is lost is made once more.
func (l *workerLoop) look() {
	for range lookTries {
		if l.lost.Load() || l.ctx.Err() != nil {
			return
		}
		err := l.hold(0)
		if err == nil {
			return
		}
		l.keeper.common.Log.WithField("worker", l.target.ID).WithError(err).Debug("look failed")
	}
}

// fenced gives up what runs at the worker, and takes it back with a higher token if no other keeper shows up.
func (l *workerLoop) fenced() {
	k := l.keeper
	cellFences.Inc()
	before := l.token.Load()
	l.lost.Store(true)
	defer l.lost.Store(false)
	k.do(func(now time.Time) cell.Effects {
		// Reports that the worker gave before it was lost are told by their token.
		l.token.Store(raiseToken(before, l.raised, now))
		return k.cell.HandleFenced(l.worker, now)
	})
	l.raised++
	delay := conflictDelay
	if k.board.View().Isolated {
		delay = isolatedDelay
	}
	k.common.Log.WithField("worker", l.target.ID).WithField("token", before).WithField("delay", delay.String()).Warn("fenced by another keeper")
	l.sleep(delay)
}

func (l *workerLoop) unanswered(err error) {
	k := l.keeper
	k.mu.Lock()
	lost := !l.worker.Unresponsive()
	k.cell.MarkUnresponsive(l.worker)
	k.mu.Unlock()
	if lost {
		k.common.Log.WithField("worker", l.target.ID).WithError(err).Warn("worker does not answer")
	}
}

func (l *workerLoop) sleep(delay time.Duration) {
	select {
	case <-l.ctx.Done():
	case <-l.keeper.common.Clock.After(delay):
	}
}
