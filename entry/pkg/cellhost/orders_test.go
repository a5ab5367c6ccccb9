package cellhost

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/cell"
)

func TestOneStopOfARunIsSentAtATime(t *testing.T) {
	orders := newOpenOrders()
	worker, run := &cell.Worker{ID: "w"}, &cell.Run{Task: &cell.Task{Job: &cell.Job{ID: "j"}}}
	first, other := &cell.Stop{Worker: worker, Task: "j.0", Number: 1, Run: run}, &cell.Stop{Worker: worker, Task: "j.0", Number: 2}
	orders.beginStart(run)
	require.True(t, orders.beginStop(first))
	require.False(t, orders.beginStop(first))
	require.True(t, orders.beginStop(other))
	require.Equal(t, 2, orders.ofJob("j"))
	orders.endStop(first)
	require.True(t, orders.beginStop(first))
	orders.endStop(first)
	orders.endStart(run)
	require.Zero(t, orders.ofJob("j"))
}

// countingWorker counts the polls that it has at a time.
type countingWorker struct {
	WorkerClient
	now, peak, calls atomic.Int64
}

func (w *countingWorker) Hold(context.Context, Target, HoldCall) (*cell.Report, error) {
	w.calls.Add(1)
	now := w.now.Add(1)
	defer w.now.Add(-1)
	for peak := w.peak.Load(); now > peak && !w.peak.CompareAndSwap(peak, now); peak = w.peak.Load() {
	}
	time.Sleep(5 * time.Millisecond)
	return nil, ErrFenced
}

// TestPollsOfAWorkerAreBounded guards against many answers in memory at once, each with all lists of the worker.
func TestPollsOfAWorkerAreBounded(t *testing.T) {
	const polls = 50
	k := newKeeperFixture(t)
	worker := &countingWorker{}
	k.keeper.workers = worker
	var polling sync.WaitGroup
	for range polls {
		polling.Go(k.loop.poll)
		time.Sleep(100 * time.Microsecond)
	}
	polling.Wait()
	require.LessOrEqual(t, worker.peak.Load(), int64(maxPolls))
	require.Positive(t, worker.calls.Load())
}
