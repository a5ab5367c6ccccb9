package cellhost

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/queues"
)

// twoKeepers returns the controllers of a host that owns a cell without a worker, beside a host that owns another cell.
func twoKeepers(t *testing.T, other string) (home *HomeController, own *KeeperController) {
	t.Helper()
	c := newClaimant("a", north)
	northClaim := peer.Claim{Cell: northCell, CellCount: 1, Epoch: 1}
	southClaim := peer.Claim{Cell: peer.CellKey{FailureDomain: south}, CellCount: 1, Epoch: 2}
	c.addHost("a", north, 1, northClaim)
	c.addHost("b", south, 1, southClaim)
	peerState := c.view.Hosts["b"]
	peerState.Address = other
	c.view.Hosts["b"] = peerState
	c.board.view.Store(c.view)
	client := peer.NewClient(nil)
	home = NewHomeController(c.common, c.options, c.board, client, c.keeper)
	c.keeper.SetForwarder(home)
	return home, c.keeper
}

// serveOn runs a peer server until the test ends, and returns its address.
func serveOn(t *testing.T, server *peer.Server) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	ctx, stop := context.WithCancel(context.Background())
	go func() { served <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		<-served
	})
	return listener.Addr().String()
}

func submissionOf(clock interface{ Now() time.Time }) *Submission {
	now := clock.Now()
	return &Submission{
		ID:       "job",
		Queue:    &queues.Queue{Name: "q", Group: "g", Objective: time.Second, Stretch: 1},
		Tasks:    []SubmittedTask{{Name: "t", Need: cell.Resources{Cores: 1}, Estimate: 50 * time.Millisecond}},
		Arrived:  now,
		Deadline: now.Add(2 * time.Second),
	}
}

func TestKeeperWithoutAWorkerForTheTaskDeclines(t *testing.T) {
	home, own := twoKeepers(t, "")
	request := home.newRequest(submissionOf(home.common.Clock))
	request.KeeperIncarnation = home.common.Incarnation
	response, err := own.Run(t.Context(), request)
	require.NoError(t, err)
	require.True(t, response.Declined, "another keeper may have a worker that is large enough")
}

// TestJobGoesToTheKeeperThatHasAWorker has a host own the cell of a failure domain that is cut off, so that it has no
// worker there.
func TestJobGoesToTheKeeperThatHasAWorker(t *testing.T) {
	asked := 0
	other := peer.NewServer()
	peer.Handle(other, peer.MethodRun, func(_ context.Context, request *peer.RunRequest) (*peer.RunResponse, error) {
		if request.Mode == peer.RunAnywhere {
			asked++
		}
		return &peer.RunResponse{Outcome: cell.Completed}, nil
	})
	home, _ := twoKeepers(t, serveOn(t, other))
	answer := home.Serve(t.Context(), submissionOf(home.common.Clock))
	require.Equal(t, cell.Completed, answer.Outcome, answer.Reason)
	require.Equal(t, 1, asked, "the home asks the next keeper itself, as one that has not been asked yet")
}

func TestRefusalReportsWhyKeepersDeclined(t *testing.T) {
	home, _ := twoKeepers(t, "")
	only := home.board.View()
	delete(only.Hosts, "b")
	answer := home.Serve(t.Context(), submissionOf(home.common.Clock))
	require.Equal(t, cell.Refused, answer.Outcome)
	require.Contains(t, answer.Reason, "no worker has room for a task of this size")
	require.Equal(t, noKeeperRetry, answer.RetryAfter)
}

// TestJobThatNobodyCanRunInTimeIsOfferedForALateStart has a keeper whose only worker leaves, beside one with free slots
// at a slow worker: after all offers to end in time, the job is started late in place of a refusal.
func TestJobThatNobodyCanRunInTimeIsOfferedForALateStart(t *testing.T) {
	var modes []peer.RunMode
	other := peer.NewServer()
	peer.Handle(other, peer.MethodRun, func(_ context.Context, request *peer.RunRequest) (*peer.RunResponse, error) {
		modes = append(modes, request.Mode)
		if request.Mode == peer.RunLate {
			return &peer.RunResponse{Outcome: cell.Completed}, nil
		}
		return &peer.RunResponse{Declined: true}, nil
	})
	home, own := twoKeepers(t, serveOn(t, other))
	view := home.board.View()
	peerState := view.Hosts["b"]
	peerState.Loads = []cell.Load{{Group: "g", FreeSlots: 4}}
	view.Hosts["b"] = peerState
	addLeavingWorker(own)
	request := home.newRequest(submissionOf(home.common.Clock))
	request.KeeperIncarnation = home.common.Incarnation
	response, err := own.Run(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, cell.Completed, response.Outcome)
	require.Equal(t, []peer.RunMode{peer.RunNow, peer.RunHere, peer.RunLate}, modes)
}

// TestRefusedBesideFreeWorkers is the load in which jobs reach their keeper too late for their objective while workers
// stand free at another one: it is asked for a late start alone, since a place in a queue is of no use any more.
func TestRefusedBesideFreeWorkers(t *testing.T) {
	var modes []peer.RunMode
	other := peer.NewServer()
	peer.Handle(other, peer.MethodRun, func(_ context.Context, request *peer.RunRequest) (*peer.RunResponse, error) {
		modes = append(modes, request.Mode)
		return &peer.RunResponse{Outcome: cell.Completed}, nil
	})
	home, own := twoKeepers(t, serveOn(t, other))
	view := home.board.View()
	peerState := view.Hosts["b"]
	peerState.Loads = []cell.Load{{Group: "g", FreeSlots: 4}}
	view.Hosts["b"] = peerState
	addLeavingWorker(own)
	submission := submissionOf(home.common.Clock)
	submission.Arrived = submission.Arrived.Add(-1500 * time.Millisecond)
	request := home.newRequest(submission)
	request.KeeperIncarnation = home.common.Incarnation
	response, err := own.Run(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, cell.Completed, response.Outcome)
	require.Equal(t, []peer.RunMode{peer.RunLate}, modes)

	request.Mode = peer.RunHere
	response, err = own.Run(t.Context(), request)
	require.NoError(t, err)
	require.True(t, response.Declined, "it may still start late elsewhere")
}

// TestRefusalStandsWhereNoWorkerIsFree checks that the first refusal, with its retry time, is the answer if no keeper
// accepts the job.
func TestRefusalStandsWhereNoWorkerIsFree(t *testing.T) {
	other := peer.NewServer()
	peer.Handle(other, peer.MethodRun, func(context.Context, *peer.RunRequest) (*peer.RunResponse, error) {
		return &peer.RunResponse{Declined: true}, nil
	})
	home, own := twoKeepers(t, serveOn(t, other))
	addLeavingWorker(own)
	request := home.newRequest(submissionOf(home.common.Clock))
	request.KeeperIncarnation = home.common.Incarnation
	response, err := own.Run(t.Context(), request)
	require.NoError(t, err)
	require.False(t, response.Declined)
	require.Equal(t, cell.Refused, response.Outcome)
	require.Positive(t, response.RetryAfter)
}

// addLeavingWorker adds a worker that is large enough for any job of these tests and gets no new work.
func addLeavingWorker(keeper *KeeperController) {
	worker := &cell.Worker{ID: "w", Group: "g", Capacity: cell.Resources{Cores: 16_000, Memory: 1 << 20}, Leaving: true}
	now := keeper.common.Clock.Now()
	keeper.cell.Add(worker)
	keeper.cell.HandleReport(worker, &cell.Report{Incarnation: 1, Clock: time.Second}, now, now)
}

// TestUnexpectedErrorInADecisionLeavesTheKeeperUsable guards against a panic in a decision that leaves the keeper
// locked.
func TestUnexpectedErrorInADecisionLeavesTheKeeperUsable(t *testing.T) {
	_, own := twoKeepers(t, "")
	require.Panics(t, func() { own.apply(func(time.Time) cell.Effects { panic("unexpected") }) })
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		own.Loads()
	}()
	select {
	case <-answered:
	case <-time.After(5 * time.Second):
		require.FailNow(t, "the keeper is locked")
	}
}

// TestLostCancellationAtAForwarderEndsTheForwardedJob guards against a forwarded job that runs on after its home has reported that
// it waits no longer, because the cancellation of its call to the forwarding keeper was lost.
func TestLostCancellationAtAForwarderEndsTheForwardedJob(t *testing.T) {
	cancelled, asked := make(chan struct{}), make(chan struct{})
	other := peer.NewServer()
	peer.Handle(other, peer.MethodRun, func(ctx context.Context, _ *peer.RunRequest) (*peer.RunResponse, error) {
		close(asked)
		<-ctx.Done()
		close(cancelled)
		return nil, ctx.Err()
	})
	home, own := twoKeepers(t, serveOn(t, other))
	view := home.board.View()
	state := view.Hosts["b"]
	state.Loads = []cell.Load{{Group: "g", FreeSlots: 9}}
	view.Hosts["b"] = state
	view.Hosts["c"] = PeerState{Member: blackboard.Member{Name: "c", Alive: true, Incarnation: "c"}, ClockKnown: true, LastHeartbeat: home.common.Clock.Now()}
	own.cell.Add(&cell.Worker{ID: "w", Group: "g", Capacity: cell.Resources{Cores: 1}})
	request := home.newRequest(submissionOf(home.common.Clock))
	request.Home, request.HomeIncarnation, request.KeeperIncarnation = "c", "c", home.common.Incarnation
	request.Call, request.Sent, request.WantedAt = 7, request.Arrived, request.Arrived
	ctx, stop := context.WithCancel(t.Context()) // the home's cancellation, which is lost
	served := make(chan struct{})
	go func() {
		defer close(served)
		_, _ = own.Run(ctx, request)
	}()
	<-asked
	own.HandleOpenCalls(&peer.Heartbeat{Name: "c", Incarnation: "c", Clock: request.Sent + int64(DefaultHeartbeatInterval), Calls: &peer.OpenCalls{}})
	select {
	case <-cancelled:
	case <-time.After(time.Second):
		t.Error("the forwarded job runs on")
	}
	stop()
	<-served
	<-cancelled
}
