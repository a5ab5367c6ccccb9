package cellhost

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

// scripted is a worker whose answers to holds the test gives.
type scripted struct {
	holds chan heldCall

	mu     sync.Mutex
	starts []StartCall
}

// heldCall is a hold that waits for its answer.
type heldCall struct {
	call   HoldCall
	answer chan<- heldAnswer
}

type heldAnswer struct {
	report *cell.Report
	err    error
}

func (s *scripted) Hold(ctx context.Context, _ Target, call HoldCall) (*cell.Report, error) {
	answer := make(chan heldAnswer, 1)
	s.holds <- heldCall{call, answer}
	select {
	case given := <-answer:
		return given.report, given.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *scripted) Start(_ context.Context, _ Target, call StartCall) (cell.StartResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = append(s.starts, call)
	return cell.StartAccepted, nil
}

func (s *scripted) Stop(context.Context, Target, StopCall) error { return nil }

// next returns the next hold that the keeper sends.
func (s *scripted) next(t *testing.T) heldCall {
	t.Helper()
	select {
	case call := <-s.holds:
		return call
	case <-time.After(5 * time.Second):
		require.FailNow(t, "no hold was sent")
		return heldCall{}
	}
}

func (s *scripted) started() []StartCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts
}

// keeping is a keeper with one worker, whose loop has not begun.
type keeping struct {
	keeper *KeeperController
	loop   *workerLoop
	worker *scripted
	clock  *clockwork.FakeClock
}

func newKeeping(t *testing.T) *keeping {
	t.Helper()
	clock := clockwork.NewFakeClock()
	c := &common.Common{Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, Clock: clock, Incarnation: "life"}
	options := Options{Name: "a", FailureDomain: north, MaxLease: time.Second, HeartbeatInterval: DefaultHeartbeatInterval, SuspectTimeout: DefaultSuspectTimeout}
	worker := &scripted{holds: make(chan heldCall)}
	keeper := NewKeeperController(c, options, NewBoard(), &fixedShedder{}, worker, peer.NewServer())
	known := &cell.Worker{ID: "w", Group: "desk", Capacity: cell.Resources{Cores: 16_000, Memory: 1 << 20}}
	loop := newWorkerLoop(keeper, known, 1000)
	t.Cleanup(loop.cancel)
	keeper.cell.Add(known)
	keeper.loops["w"] = loop
	return &keeping{keeper: keeper, loop: loop, worker: worker, clock: clock}
}

func (k *keeping) report() *cell.Report {
	return &cell.Report{Incarnation: 1, Clock: time.Second}
}

func (k *keeping) isHeld() bool {
	k.keeper.mu.Lock()
	defer k.keeper.mu.Unlock()
	return k.loop.worker.Held()
}

// job makes a job of one task that is served at once.
func (k *keeping) job() *cell.Job {
	now := k.clock.Now()
	job := &cell.Job{ID: "j", Home: "a", Group: "desk", Attempts: 1, Arrived: now, Objective: now.Add(20 * time.Second), Deadline: now.Add(time.Minute)}
	job.Tasks = []*cell.Task{{Job: job, Name: "j.0", Demand: cell.Resources{Cores: 1000, Memory: 1}, Estimate: 10 * time.Second}}
	return job
}

// TestReportFromBeforeAFenceIsLeftOut has a look answered before another keeper took the worker over, whose report is
// taken in afterwards: it must not make the worker usable under the token with which it is taken back.
func TestReportFromBeforeAFenceIsLeftOut(t *testing.T) {
	k := newKeeping(t)
	go k.loop.serve()
	k.worker.next(t).answer <- heldAnswer{report: k.report()}
	waiting := k.worker.next(t)
	require.True(t, k.isHeld())
	looked := make(chan struct{})
	go func() {
		defer close(looked)
		k.loop.look()
	}()
	look := k.worker.next(t)
	waiting.answer <- heldAnswer{err: ErrFenced}
	require.NoError(t, k.clock.BlockUntilContext(t.Context(), 1))
	require.False(t, k.isHeld())
	look.answer <- heldAnswer{report: k.report()}
	<-looked
	require.False(t, k.isHeld(), "what runs there is not known")
	k.clock.Advance(conflictDelay)
	again := k.worker.next(t)
	require.Greater(t, again.call.Token, waiting.call.Token)
	require.Zero(t, again.call.Lease, "nothing may be renewed before the lists are known")
	again.answer <- heldAnswer{report: k.report()}
	k.worker.next(t)
	require.True(t, k.isHeld())
}

// TestStartFromBeforeAFenceIsNotSent has a start that is carried out only after the worker was lost and taken back.
func TestStartFromBeforeAFenceIsNotSent(t *testing.T) {
	k := newKeeping(t)
	now := k.clock.Now()
	k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
	effects := k.keeper.cell.Submit(k.job(), now)
	require.Len(t, effects.Starts, 1)
	k.keeper.cell.HandleFenced(k.loop.worker, now)
	k.loop.token.Store(2000)
	k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
	k.keeper.start(effects.Starts[0])
	require.Empty(t, k.worker.started())
}

// TestNoLeaseIsRenewedForASilentHome checks that what runs for a home that was not heard lately lapses by itself.
func TestNoLeaseIsRenewedForASilentHome(t *testing.T) {
	k := newKeeping(t)
	now := k.clock.Now()
	k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
	job := k.job()
	job.Home = "b"
	effects := k.keeper.cell.Submit(job, now)
	k.keeper.start(effects.Starts[0])
	k.keeper.board.view.Store(&View{Hosts: map[string]PeerState{"b": {Member: blackboard.Member{Name: "b", Alive: true}, LastHeartbeat: now, HeartbeatPeer: true}}})
	leaseOfNext := func() time.Duration {
		k.keeper.tick()
		go k.loop.look()
		call := k.worker.next(t)
		call.answer <- heldAnswer{report: &cell.Report{Incarnation: 1, Clock: time.Second, Running: []cell.RunEntry{{Task: "j.0", Run: 1}}}}
		return call.call.Lease
	}
	require.Positive(t, leaseOfNext())
	k.clock.Advance(homeHeartbeatTimeout)
	require.Positive(t, leaseOfNext())
	k.clock.Advance(time.Millisecond)
	require.Zero(t, leaseOfNext())
}

// TestWorkerIsUsedAgainAtOnceAfterALostAnswer has a worker that leaves calls unanswered now and then: the next call must
// neither be delayed nor wait for a run's end, since nothing runs there until the worker answers.
func TestWorkerIsUsedAgainAtOnceAfterALostAnswer(t *testing.T) {
	k := newKeeping(t)
	go k.loop.serve()
	k.worker.next(t).answer <- heldAnswer{report: k.report()}
	waiting := k.worker.next(t)
	require.Equal(t, holdWait, waiting.call.Wait)
	waiting.answer <- heldAnswer{err: context.DeadlineExceeded}
	again := k.worker.next(t) // the clock stands still
	require.Zero(t, again.call.Wait)
	again.answer <- heldAnswer{report: k.report()}
	require.Equal(t, holdWait, k.worker.next(t).call.Wait)
}

// TestWorkerThatDoesNotAnswerIsAskedLessAndLess has a worker that is gone.
func TestWorkerThatDoesNotAnswerIsAskedLessAndLess(t *testing.T) {
	k := newKeeping(t)
	go k.loop.serve()
	k.worker.next(t).answer <- heldAnswer{report: k.report()}
	k.worker.next(t).answer <- heldAnswer{err: context.DeadlineExceeded}
	for delay := firstBackoff; delay <= lastBackoff; delay *= 2 {
		call := k.worker.next(t)
		require.Zero(t, call.call.Wait)
		call.answer <- heldAnswer{err: context.DeadlineExceeded}
		require.NoError(t, k.clock.BlockUntilContext(t.Context(), 1))
		k.clock.Advance(delay - time.Millisecond)
		select {
		case <-k.worker.holds:
			require.FailNow(t, "called too soon")
		case <-time.After(5 * time.Millisecond):
		}
		k.clock.Advance(time.Millisecond)
	}
}

// TestLostLookIsMadeOnceMore has a look unanswered that is to tell what became of a start.
func TestLostLookIsMadeOnceMore(t *testing.T) {
	k := newKeeping(t)
	looked := make(chan struct{})
	go func() {
		defer close(looked)
		k.loop.look()
	}()
	k.worker.next(t).answer <- heldAnswer{err: context.DeadlineExceeded}
	k.worker.next(t).answer <- heldAnswer{report: k.report()}
	<-looked
	require.True(t, k.isHeld())
}
