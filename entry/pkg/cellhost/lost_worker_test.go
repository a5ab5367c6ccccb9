package cellhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/cell"
)

// pairJob returns a job of two tasks that can start at once.
func (k *keeperFixture) pairJob() *cell.Job {
	job := k.job()
	second := *job.Tasks[0]
	second.Name = "j.1"
	job.Tasks = append(job.Tasks, &second)
	return job
}

// TestKeeperThatHasLostAWorkerSendsNoStopsThere guards against stops for the other tasks of a job that carry the raised token: they
// fence the rightful keeper, whose runs are then lost. Once the worker is held again, what it lists is stopped.
func TestKeeperThatHasLostAWorkerSendsNoStopsThere(t *testing.T) {
	k := newKeeperFixture(t)
	go k.loop.serve()
	k.worker.next(t).answer <- heldAnswer{report: k.report()}
	waiting := k.worker.next(t)
	k.keeper.apply(func(now time.Time) cell.Effects { return k.keeper.cell.Submit(k.pairJob(), now) })
	require.Eventually(t, func() bool { return len(k.worker.started()) == 2 }, 5*time.Second, time.Millisecond)
	waiting.answer <- heldAnswer{err: ErrFenced}
	require.NoError(t, k.clock.BlockUntilContext(t.Context(), 1))
	require.Never(t, func() bool { return len(k.worker.stopped()) > 0 }, 50*time.Millisecond, time.Millisecond)
	k.clock.Advance(conflictDelay)
	again := k.worker.next(t)
	require.Greater(t, again.call.Token, waiting.call.Token)
	require.Empty(t, k.worker.stopped())
	report := k.report()
	report.Running = []cell.RunEntry{{Task: "j.1", Run: 1}}
	again.answer <- heldAnswer{report: report}
	require.Eventually(t, func() bool { return len(k.worker.stopped()) == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, StopCall{Token: again.call.Token, Task: "j.1", Run: 1}, k.worker.stopped()[0])
}

// TestStopDecidedBeforeTheWorkerWasLostIsNotSent guards against a stop that is sent, or sent again, only after the worker was lost,
// or dropped and taken anew: it would carry a token under which the lists were not read yet.
func TestStopDecidedBeforeTheWorkerWasLostIsNotSent(t *testing.T) {
	for name, lose := range map[string]func(k *keeperFixture){
		"fenced": func(k *keeperFixture) {
			k.keeper.cell.HandleFenced(k.loop.worker, k.clock.Now())
			k.loop.token.Store(2000)
		},
		"dropped and taken anew": func(k *keeperFixture) {
			k.keeper.dropWorker("w")
			worker := &cell.Worker{ID: "w", Group: "desk", Capacity: k.loop.worker.Capacity}
			k.keeper.cell.Add(worker)
			k.keeper.loops["w"] = newWorkerLoop(k.keeper, worker, 2000)
			now := k.clock.Now()
			k.keeper.cell.HandleReport(worker, k.report(), now, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			k := newKeeperFixture(t)
			now := k.clock.Now()
			k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
			job := k.job()
			run := k.keeper.cell.Submit(job, now).Starts[0].Run
			lose(k)
			k.keeper.sendStop(cell.Stop{Worker: run.Worker, Task: run.Task.Name, Number: run.Number, Run: run})
			require.Empty(t, k.worker.stopped())
		})
	}
}

// TestPollThatBeganBeforeTheWorkerWasLostIsNotSent guards against a poll that carries the raised token, while another keeper holds
// the worker.
func TestPollThatBeganBeforeTheWorkerWasLostIsNotSent(t *testing.T) {
	k := newKeeperFixture(t)
	k.loop.heldByOther.Store(true)
	require.ErrorIs(t, k.loop.hold(0), ErrFenced)
}
