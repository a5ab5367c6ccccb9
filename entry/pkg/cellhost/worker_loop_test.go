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

// scriptedWorker is a worker whose answers to hold calls are given by the test.
type scriptedWorker struct {
	holds chan heldCall

	mu       sync.Mutex
	starts   []StartCall
	startErr error // of starts, which then are unconfirmed
	stops    []StopCall
}

// heldCall is a hold call that waits for its answer.
type heldCall struct {
	call   HoldCall
	answer chan<- heldAnswer
}

type heldAnswer struct {
	report *cell.Report
	err    error
}

func (s *scriptedWorker) Hold(ctx context.Context, _ Target, call HoldCall) (*cell.Report, error) {
	answer := make(chan heldAnswer, 1)
	s.holds <- heldCall{call, answer}
	select {
	case given := <-answer:
		return given.report, given.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *scriptedWorker) Start(_ context.Context, _ Target, call StartCall) (cell.StartResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = append(s.starts, call)
	if s.startErr != nil {
		return cell.StartUnconfirmed, s.startErr
	}
	return cell.StartAccepted, nil
}

func (s *scriptedWorker) Stop(_ context.Context, _ Target, call StopCall) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops = append(s.stops, call)
	return nil
}

func (s *scriptedWorker) stopped() []StopCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stops
}

// next returns the next hold call that the keeper sends.
func (s *scriptedWorker) next(t *testing.T) heldCall {
	t.Helper()
	select {
	case call := <-s.holds:
		return call
	case <-time.After(5 * time.Second):
		require.FailNow(t, "no hold was sent")
		return heldCall{}
	}
}

func (s *scriptedWorker) started() []StartCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts
}

// keeperFixture is a keeper with one worker, whose loop has not been started.
type keeperFixture struct {
	keeper *KeeperController
	loop   *workerLoop
	worker *scriptedWorker
	clock  *clockwork.FakeClock
}

func newKeeperFixture(t *testing.T) *keeperFixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	c := &common.Common{Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, Clock: clock, Incarnation: "life"}
	options := Options{Name: "a", FailureDomain: north, MaxLease: time.Second, ResubmitDelay: DefaultResubmitDelay, HeartbeatInterval: DefaultHeartbeatInterval, SuspectTimeout: DefaultSuspectTimeout}
	worker := &scriptedWorker{holds: make(chan heldCall)}
	keeper := NewKeeperController(c, options, NewBoard(), &fixedShedder{}, worker, noNotices{}, peer.NewServer())
	state := &cell.Worker{ID: "w", Group: "desk", Capacity: cell.Resources{Cores: 16_000, Memory: 1 << 20}}
	loop := newWorkerLoop(keeper, state, 1000)
	t.Cleanup(loop.cancel)
	keeper.cell.Add(state)
	keeper.loops["w"] = loop
	return &keeperFixture{keeper: keeper, loop: loop, worker: worker, clock: clock}
}

func (k *keeperFixture) report() *cell.Report {
	return &cell.Report{Incarnation: 1, Clock: time.Second}
}

func (k *keeperFixture) isHeld() bool {
	k.keeper.mu.Lock()
	defer k.keeper.mu.Unlock()
	return k.loop.worker.Held()
}

// job returns a job of one task that can start at once.
func (k *keeperFixture) job() *cell.Job {
	now := k.clock.Now()
	job := &cell.Job{ID: "j", Home: "a", Group: "desk", Attempts: 1, Arrived: now, Objective: now.Add(20 * time.Second), Deadline: now.Add(time.Minute)}
	job.Tasks = []*cell.Task{{Job: job, Name: "j.0", Demand: cell.Resources{Cores: 1000, Memory: 1}, Estimate: 10 * time.Second}}
	return job
}

// TestReportFromBeforeAFenceIsLeftOut guards against an outdated report: a poll is answered before another keeper takes
// the worker over, and processed afterwards. It must not make the worker usable under its new token.
func TestReportFromBeforeAFenceIsLeftOut(t *testing.T) {
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
	poll := k.worker.next(t)
	waiting.answer <- heldAnswer{err: ErrFenced}
	require.NoError(t, k.clock.BlockUntilContext(t.Context(), 1))
	require.False(t, k.isHeld())
	poll.answer <- heldAnswer{report: k.report()}
	<-polled
	require.False(t, k.isHeld(), "what runs there is not known")
	k.clock.Advance(conflictDelay)
	again := k.worker.next(t)
	require.Greater(t, again.call.Token, waiting.call.Token)
	require.Zero(t, again.call.Lease, "nothing may be renewed before the lists are known")
	again.answer <- heldAnswer{report: k.report()}
	k.worker.next(t)
	require.True(t, k.isHeld())
}

// TestStartFromBeforeAFenceIsNotSent guards against a start that is executed only after the worker was lost and
// reclaimed.
func TestStartFromBeforeAFenceIsNotSent(t *testing.T) {
	k := newKeeperFixture(t)
	now := k.clock.Now()
	k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
	effects := k.keeper.cell.Submit(k.job(), now)
	require.Len(t, effects.Starts, 1)
	k.keeper.cell.HandleFenced(k.loop.worker, now)
	k.loop.token.Store(2000)
	k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
	k.keeper.sendStart(effects.Starts[0])
	require.Empty(t, k.worker.started())
}

// TestLeaseEndsBeforeTheCallersOfASilentHomeResubmit guards against leases that count from when a heartbeat of the home
// was read, and from the time at which the home is suspected.
func TestLeaseEndsBeforeTheCallersOfASilentHomeResubmit(t *testing.T) {
	k := newKeeperFixture(t)
	sent := k.clock.Now()
	workerClock := func() time.Duration { return time.Second + k.clock.Since(sent) }
	k.keeper.cell.HandleReport(k.loop.worker, &cell.Report{Incarnation: 1, Clock: workerClock()}, sent, sent)
	job := k.job()
	job.Home, job.HomeIncarnation = "b", "1"
	effects := k.keeper.cell.Submit(job, sent)
	k.keeper.sendStart(effects.Starts[0])
	home := PeerState{Member: blackboard.Member{Name: "b", Incarnation: "1", Alive: true}, LastHeartbeat: sent}
	k.keeper.board.view.Store(&View{Hosts: map[string]PeerState{"b": home}})
	leaseOfNext := func() time.Duration {
		k.keeper.tick()
		polled := make(chan struct{})
		go func() {
			defer close(polled)
			k.loop.poll()
		}()
		call := k.worker.next(t)
		call.answer <- heldAnswer{report: &cell.Report{Incarnation: 1, Clock: workerClock(), Running: []cell.RunEntry{{Task: "j.0", Run: 1}}}}
		<-polled
		return call.call.Lease
	}
	require.Equal(t, workerClock()+time.Second, leaseOfNext())
	latest := time.Second + DefaultResubmitDelay
	renewed := false
	for range 100 {
		k.clock.Advance(20 * time.Millisecond)
		lease := leaseOfNext()
		require.Less(t, lease, latest)
		renewed = renewed || lease > 2*time.Second
	}
	require.True(t, renewed)
	home.LastHeartbeat = k.clock.Now()
	k.keeper.board.view.Store(&View{Hosts: map[string]PeerState{"b": home}})
	require.Equal(t, workerClock()+time.Second, leaseOfNext())
}

// TestLateStartOfAJobThatHasWaitedGetsAWholeLease guards against leases that count from when a request was sent, though its
// home has told since that the caller still waits.
func TestLateStartOfAJobThatHasWaitedGetsAWholeLease(t *testing.T) {
	k := newKeeperFixture(t)
	now := k.clock.Now()
	k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
	home := PeerState{Member: blackboard.Member{Name: "b", Incarnation: "1", Alive: true}, ClockKnown: true}
	k.keeper.board.view.Store(&View{Hosts: map[string]PeerState{"b": home}})
	request := &peer.RunRequest{
		ID: "j", Home: "b", HomeIncarnation: "1", KeeperIncarnation: "life", Group: "desk", Call: 7,
		Sent: now.UnixNano(), WantedAt: now.UnixNano(), Arrived: now.UnixNano(),
		Objective: now.Add(time.Second).UnixNano(), Deadline: now.Add(time.Minute).UnixNano(),
		Tasks: []peer.RunTask{{Name: "j.0", Need: cell.Resources{Cores: 1000, Memory: 1}, Estimate: int64(time.Second)}},
	}
	refused, reason := k.keeper.newJob(request)
	require.Empty(t, reason)
	k.clock.Advance(1100 * time.Millisecond)
	refused.WantedAt = k.clock.Now()
	ctx, cancel := context.WithCancel(t.Context())
	answered := make(chan error)
	go func() {
		_, err := k.keeper.runLateAnywhere(ctx, request, refused, &peer.RunResponse{})
		answered <- err
	}()
	require.Eventually(t, func() bool { return len(k.worker.started()) == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, k.report().Clock+k.clock.Since(now)+time.Second, k.worker.started()[0].Lease)
	cancel()
	require.ErrorIs(t, <-answered, context.Canceled)
}

// TestWorkerIsUsedAgainAtOnceAfterALostAnswer has a worker leave a call unanswered: the next call must neither be
// delayed nor wait for the end of a run, since nothing starts there until the worker answers.
func TestWorkerIsUsedAgainAtOnceAfterALostAnswer(t *testing.T) {
	k := newKeeperFixture(t)
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

// TestCallsToAnUnresponsiveWorkerBackOff checks the delays between calls to a worker that does not answer.
func TestCallsToAnUnresponsiveWorkerBackOff(t *testing.T) {
	k := newKeeperFixture(t)
	go k.loop.serve()
	k.worker.next(t).answer <- heldAnswer{report: k.report()}
	k.worker.next(t).answer <- heldAnswer{err: context.DeadlineExceeded}
	for delay := firstBackoff; delay <= lastBackoff; delay *= 2 {
		hold := k.worker.next(t)
		require.Zero(t, hold.call.Wait)
		hold.answer <- heldAnswer{err: context.DeadlineExceeded}
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

// TestLostPollIsRetriedOnce has a poll unanswered that is needed to learn the result of a start.
func TestLostPollIsRetriedOnce(t *testing.T) {
	k := newKeeperFixture(t)
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		k.loop.poll()
	}()
	k.worker.next(t).answer <- heldAnswer{err: context.DeadlineExceeded}
	k.worker.next(t).answer <- heldAnswer{report: k.report()}
	<-polled
	require.True(t, k.isHeld())
}
