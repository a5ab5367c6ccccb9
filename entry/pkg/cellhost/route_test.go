package cellhost

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/queues"
)

// twoKeepers returns the home of a host that keeps a cell without a worker, beside a host that keeps another cell.
func twoKeepers(t *testing.T, other string) (home *HomeController, own *KeeperController) {
	t.Helper()
	c := newClaimant("a", north)
	near := peer.Claim{Cell: northCell, CellCount: 1, Epoch: 1}
	far := peer.Claim{Cell: peer.CellKey{FailureDomain: south}, CellCount: 1, Epoch: 2}
	c.addHost("a", north, 1, near)
	c.addHost("b", south, 1, far)
	neighbour := c.view.Hosts["b"]
	neighbour.Address = other
	c.view.Hosts["b"] = neighbour
	c.board.view.Store(c.view)
	client := peer.NewClient(nil)
	home = NewHomeController(c.common, c.options, c.board, client, c.keeper)
	c.keeper.SetForwarder(home)
	return home, c.keeper
}

// serveOn serves a peer until the test ends, and returns its address.
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
	request := home.request(submissionOf(home.common.Clock))
	request.KeeperIncarnation = home.common.Incarnation
	response, err := own.Run(t.Context(), request)
	require.NoError(t, err)
	require.True(t, response.Declined, "another keeper may have a worker with room")
}

// TestJobGoesToTheKeeperThatHasAWorker has a host keep the cell of a place that is cut off, so that it has no worker there.
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

func TestRefusalTellsWhyKeepersDeclined(t *testing.T) {
	home, _ := twoKeepers(t, "")
	only := home.board.View()
	delete(only.Hosts, "b")
	answer := home.Serve(t.Context(), submissionOf(home.common.Clock))
	require.Equal(t, cell.Refused, answer.Outcome)
	require.Contains(t, answer.Reason, "no worker has room for a task of this size")
	require.Equal(t, noKeeperRetry, answer.RetryAfter)
}

// TestJobThatNobodyCanRunInTimeIsOfferedForALateStart has a keeper whose only worker leaves, beside one that has room at a
// slow worker: the caller gets a late answer in place of a refusal, after all offers to end in time were made.
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
	neighbour := view.Hosts["b"]
	neighbour.Loads = []cell.Load{{Group: "g", FreeSlots: 4}}
	view.Hosts["b"] = neighbour
	addLeavingWorker(own)
	request := home.request(submissionOf(home.common.Clock))
	request.KeeperIncarnation = home.common.Incarnation
	response, err := own.Run(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, cell.Completed, response.Outcome)
	require.Equal(t, []peer.RunMode{peer.RunNow, peer.RunHere, peer.RunLate}, modes)
}

// TestRefusalStandsWhereNoWorkerIsFree has nobody take the job: the first refusal is the answer, with when to come back.
func TestRefusalStandsWhereNoWorkerIsFree(t *testing.T) {
	other := peer.NewServer()
	peer.Handle(other, peer.MethodRun, func(context.Context, *peer.RunRequest) (*peer.RunResponse, error) {
		return &peer.RunResponse{Declined: true}, nil
	})
	home, own := twoKeepers(t, serveOn(t, other))
	addLeavingWorker(own)
	request := home.request(submissionOf(home.common.Clock))
	request.KeeperIncarnation = home.common.Incarnation
	response, err := own.Run(t.Context(), request)
	require.NoError(t, err)
	require.False(t, response.Declined)
	require.Equal(t, cell.Refused, response.Outcome)
	require.Positive(t, response.RetryAfter)
}

// addLeavingWorker gives the keeper a worker that is large enough for any job of these tests, and gets no new work.
func addLeavingWorker(keeper *KeeperController) {
	worker := &cell.Worker{ID: "w", Group: "g", Capacity: cell.Resources{Cores: 16_000, Memory: 1 << 20}, Leaving: true}
	now := keeper.common.Clock.Now()
	keeper.cell.Add(worker)
	keeper.cell.HandleReport(worker, &cell.Report{Incarnation: 1, Clock: time.Second}, now, now)
}

// TestUnexpectedErrorInADecisionLeavesTheKeeperUsable has a decision panic, as a broken assumption would make it.
func TestUnexpectedErrorInADecisionLeavesTheKeeperUsable(t *testing.T) {
	_, own := twoKeepers(t, "")
	require.Panics(t, func() { own.do(func(time.Time) cell.Effects { panic("unexpected") }) })
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
