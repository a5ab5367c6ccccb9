package cellhost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// reborn returns the report of the worker after it has started anew.
func (k *keeperFixture) reborn() *cell.Report {
	return &cell.Report{Incarnation: 2, Clock: time.Millisecond}
}

// TestRestartedWorkerIsHeldUnderARaisedToken guards against starts of before that a worker carries out after it has started anew
// under its ID, when it knows no token. What this keeper's own raised token fences is no sign of another keeper.
func TestRestartedWorkerIsHeldUnderARaisedToken(t *testing.T) {
	k := newKeeperFixture(t)
	go k.loop.serve()
	k.worker.next(t).answer <- heldAnswer{report: k.report()}
	waiting := k.worker.next(t)
	require.True(t, k.isHeld())
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		k.loop.poll()
	}()
	k.worker.next(t).answer <- heldAnswer{report: k.reborn()}
	raised := k.worker.next(t)
	require.False(t, k.isHeld())
	require.Equal(t, HoldCall{Token: nextToken(waiting.call.Token)}, raised.call, "it waits for nothing and renews nothing")
	waiting.answer <- heldAnswer{err: ErrFenced}
	next := k.worker.next(t)
	require.Equal(t, raised.call, next.call)
	require.False(t, k.isHeld())
	raised.answer <- heldAnswer{report: k.reborn()}
	<-polled
	require.True(t, k.isHeld())
	next.answer <- heldAnswer{report: k.reborn()}
	require.Equal(t, raised.call.Token, k.worker.next(t).call.Token)
	require.True(t, k.isHeld())
}

// TestStartFromBeforeARestartIsNotSent guards against a start with the raised token whose lease is a time on the earlier clock.
func TestStartFromBeforeARestartIsNotSent(t *testing.T) {
	k := newKeeperFixture(t)
	now := k.clock.Now()
	k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
	effects := k.keeper.cell.Submit(k.job(), now)
	require.Len(t, effects.Starts, 1)
	k.keeper.cell.HandleRestart(k.loop.worker, k.reborn(), now)
	k.keeper.sendStart(effects.Starts[0])
	require.Empty(t, k.worker.started())
}

// TestWorkerThatComesBackIsHeldUnderARaisedToken guards against starts of before at a worker that the directory had dropped, and
// that has started anew when it is listed again.
func TestWorkerThatComesBackIsHeldUnderARaisedToken(t *testing.T) {
	k := newKeeperFixture(t)
	k.keeper.dropWorker("w")
	k.keeper.holdWorker(peer.WorkerInfo{ID: "w"}, k.loop.epoch)
	require.Equal(t, nextToken(k.loop.epoch), k.worker.next(t).call.Token)
	k.keeper.dropWorker("w")
	k.clock.Advance(maxCallDelay + time.Second)
	k.keeper.holdWorker(peer.WorkerInfo{ID: "v"}, k.loop.epoch)
	require.Equal(t, k.loop.epoch, k.worker.next(t).call.Token)
	k.keeper.dropWorker("v")
	require.Len(t, k.keeper.droppedTokens, 1)
}

// TestNothingIsAcknowledgedToALaterLife guards against ends of a worker's next life that it forgets unread, for it was told the number
// of the last end of the life before.
func TestNothingIsAcknowledgedToALaterLife(t *testing.T) {
	k := newKeeperFixture(t)
	go k.loop.serve()
	report := k.report()
	report.Ended = []cell.EndedRunEntry{{Sequence: 3, Task: "a", Run: 1, Result: cell.RunDone}}
	k.worker.next(t).answer <- heldAnswer{report: report}
	waiting := k.worker.next(t)
	require.EqualValues(t, 3, waiting.call.Ack)
	waiting.answer <- heldAnswer{err: context.DeadlineExceeded}
	again := k.worker.next(t)
	require.Zero(t, again.call.Ack, "it may have started anew")
	again.answer <- heldAnswer{report: report}
	waiting = k.worker.next(t)
	require.EqualValues(t, 3, waiting.call.Ack)
	waiting.answer <- heldAnswer{report: k.reborn()}
	require.Zero(t, k.worker.next(t).call.Ack)
}
