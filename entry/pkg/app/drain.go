package app

import (
	"context"
	"sync"
	"time"

	"chervilusher.dev/entry/pkg/common"
)

const (
	// drainTimeout bounds how long a planned stop waits for work in progress.
	drainTimeout = 2 * time.Minute
	// drainPoll is how often a planned stop looks whether the work has ended.
	drainPoll = 10 * time.Millisecond
	// handOverTimeout bounds how long a planned stop looks for a host that takes the kept answers.
	handOverTimeout = 5 * time.Second
	// goodbyeTimeout bounds each of the other things that a planned stop does after the work has ended.
	goodbyeTimeout = 5 * time.Second
)

// drain refuses new work, finishes what is in progress, hands the kept answers on and gives the leases back.
func (d *Daemon) drain() {
	d.common.Log.Info("draining")
	d.board.Draining.Store(true)
	d.callers.SetKeepAlivesEnabled(false)
	d.finishWork()
	within(goodbyeTimeout, d.leases.ReleaseAll)
	within(handOverTimeout, func(ctx context.Context) { d.handovers.HandOver(ctx, d.submissions.Export()) })
	within(goodbyeTimeout, d.closeServers)
	d.common.Log.Info("stopped")
}

// closeServers ends the connections of callers, other hosts and operators once their calls have ended.
func (d *Daemon) closeServers(ctx context.Context) {
	if err := d.callers.Shutdown(ctx); err != nil {
		d.common.Log.WithError(err).Error("some callers were cut off")
	}
	if !common.WaitUntil(ctx, drainPoll, func() bool { return d.peers.Running() == 0 }) {
		d.common.Log.Error("some calls of other hosts were cut off")
	}
	if err := d.operators.Shutdown(ctx); err != nil {
		d.common.Log.WithError(err).Warn("some operators were cut off")
	}
	if err := d.peerClient.Close(); err != nil {
		d.common.Log.WithError(err).Debug("closing connections to peers")
	}
}

// within gives each step of a planned stop its own time, so that a slow one does not cut the next short.
func within(timeout time.Duration, step func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	step(ctx)
}

// finishWork waits until every submission has its answer and every start has ended.
func (d *Daemon) finishWork() {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	idle := func() bool { return d.submissions.Open() == 0 && d.dispatcher.Running() == 0 }
	if !common.WaitUntil(ctx, drainPoll, idle) {
		d.common.Log.WithField("submissions", d.submissions.Open()).Error("work was cut off")
	}
}

// openCounter counts the submissions that have no answer yet.
type openCounter interface {
	Open() int
}

// drainRequest lets an operator start the planned stop that a signal starts too.
type drainRequest struct {
	submissions openCounter
	once        sync.Once
	asked       chan struct{}
}

func newDrainRequest(submissions openCounter) *drainRequest {
	return &drainRequest{submissions: submissions, asked: make(chan struct{})}
}

// RequestDrain starts the planned stop, once, and returns how many submissions are still finished.
func (r *drainRequest) RequestDrain() int {
	r.once.Do(func() { close(r.asked) })
	return r.submissions.Open()
}
