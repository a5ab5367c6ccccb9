package cellhost

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// openJobs is a part of a host that has jobs open until they are cancelled.
type openJobs struct {
	mu    sync.Mutex
	open  map[string]bool
	asked int
}

func (o *openJobs) CancelJobs(ids map[string]bool) (found []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	for id := range ids {
		if o.open[id] {
			delete(o.open, id)
			found = append(found, id)
		}
	}
	return found
}

// cancelFixture returns the controller of host "a", which has the jobs open, beside host "b" at an address.
func cancelFixture(address string, open ...string) (*claimant, *CancelController) {
	c := newClaimant("a", north)
	c.addHost("a", north, 1)
	c.addHost("b", north, 1)
	host := c.view.Hosts["b"]
	host.Address = address
	host.LastSeen = c.clock.Now()
	c.view.Hosts["b"] = host
	c.board.view.Store(c.view)
	jobs := &openJobs{open: map[string]bool{}}
	for _, id := range open {
		jobs.open[id] = true
	}
	return c, NewCancelController(c.common, c.options, c.board, peer.NewClient(nil), peer.NewServer(), jobs)
}

// otherHost serves a host that has the jobs open, and returns its address.
func otherHost(t *testing.T, open ...string) (string, *openJobs) {
	t.Helper()
	c := newClaimant("b", north)
	jobs := &openJobs{open: map[string]bool{}}
	for _, id := range open {
		jobs.open[id] = true
	}
	server := peer.NewServer()
	NewCancelController(c.common, c.options, c.board, peer.NewClient(nil), server, jobs)
	return serveOn(t, server), jobs
}

// silentAddress returns an address that takes connections and never answers.
func silentAddress(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// TestJobIsCancelledAtTheHostThatHasItOpen guards against a cancellation that only ends jobs of the host that it reaches.
func TestJobIsCancelledAtTheHostThatHasItOpen(t *testing.T) {
	address, other := otherHost(t, "there", "both")
	c, cancels := cancelFixture(address, "here", "both")
	for _, test := range []struct {
		id       string
		expected CancelOutcome
	}{{"here", CancelDone}, {"there", CancelDone}, {"both", CancelDone}, {"nowhere", CancelNoSuchJob}, {"both", CancelNoSuchJob}} {
		outcome := make(chan CancelOutcome, 1)
		go func() { outcome <- cancels.Cancel(t.Context(), test.id) }()
		c.advanceUntil(t, func() bool { return len(outcome) == 1 })
		require.Equal(t, test.expected, <-outcome, test.id)
	}
	require.Empty(t, other.open)
	require.Equal(t, 5, other.asked)
}

// advanceUntil advances the clock until the condition holds.
func (c *claimant) advanceUntil(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		c.clock.Advance(time.Millisecond)
		return condition()
	}, 5*time.Second, time.Millisecond)
}

// TestJobIsNotSaidToBeGoneWhileAHostIsOutOfReach guards against "no such job" for a job that runs on at a host that was not
// asked, and against no answer at all because of a host that is gone.
func TestJobIsNotSaidToBeGoneWhileAHostIsOutOfReach(t *testing.T) {
	closed, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	heard := func(ago time.Duration) func(*claimant, *PeerState) {
		return func(c *claimant, host *PeerState) {
			host.Alive, host.HeartbeatPeer = false, true
			host.LastSeen = c.clock.Now().Add(-ago)
		}
	}
	for name, test := range map[string]struct {
		address  string
		change   func(*claimant, *PeerState)
		open     string
		expected CancelOutcome
	}{
		"silent":                      {silentAddress(t), nil, "", CancelNotReached},
		"suspected":                   {silentAddress(t), heard(cancelSilence - time.Millisecond), "", CancelNotReached},
		"silent for long":             {silentAddress(t), heard(cancelSilence), "", CancelNoSuchJob},
		"silent, and found here":      {silentAddress(t), nil, "j", CancelDone},
		"its process has ended":       {closed.Addr().String(), nil, "", CancelNoSuchJob},
		"an earlier build":            {serveOn(t, peer.NewServer()), nil, "", CancelNotReached},
		"this host may be cut off":    {silentAddress(t), func(c *claimant, host *PeerState) { heard(time.Minute/4)(c, host); c.view.Minority = true }, "", CancelNotReached},
		"no host is known":            {silentAddress(t), func(c *claimant, _ *PeerState) { c.board.view.Store(&View{}) }, "", CancelNotReached},
		"no host is known, but a job": {silentAddress(t), func(c *claimant, _ *PeerState) { c.board.view.Store(&View{}) }, "j", CancelDone},
	} {
		t.Run(name, func(t *testing.T) {
			c, cancels := cancelFixture(test.address, test.open)
			if test.change != nil {
				host := c.view.Hosts["b"]
				test.change(c, &host)
				c.view.Hosts["b"] = host
			}
			began := time.Now()
			require.Equal(t, test.expected, cancels.Cancel(t.Context(), "j"))
			require.Less(t, time.Since(began), 2*c.options.SuspectTimeout)
		})
	}
}

// TestSilentHostOfALargeFleetStopsNoCancellations has a host that is heard too rarely to be suspected leave calls unanswered.
func TestSilentHostOfALargeFleetStopsNoCancellations(t *testing.T) {
	c, cancels := cancelFixture(silentAddress(t))
	c.clock.Advance(time.Millisecond)
	require.Equal(t, CancelNotReached, cancels.Cancel(t.Context(), "j"))
	c.clock.Advance(cancelSilence)
	require.Equal(t, CancelNotReached, cancels.Cancel(t.Context(), "j"), "two calls far apart may both miss a live host")
	c.clock.Advance(time.Second) // rounds are spaced
	require.Equal(t, CancelNoSuchJob, cancels.Cancel(t.Context(), "j"))
	host := c.view.Hosts["b"]
	host.LastSeen = c.clock.Now()
	c.view.Hosts["b"] = host
	c.clock.Advance(time.Second)
	require.Equal(t, CancelNotReached, cancels.Cancel(t.Context(), "j"), "it was heard since")
}

// TestFloodOfCancellationsCostsFewCalls guards against callers who keep all hosts busy by cancelling jobs that do not exist.
func TestFloodOfCancellationsCostsFewCalls(t *testing.T) {
	const flood = 1000
	release := make(chan struct{})
	calls := make(chan int, flood)
	server := peer.NewServer()
	peer.Handle(server, peer.MethodCancelJobs, func(_ context.Context, request *peer.CancelJobsRequest) (*peer.CancelJobsResponse, error) {
		calls <- len(request.IDs)
		<-release
		return &peer.CancelJobsResponse{}, nil
	})
	c, cancels := cancelFixture(serveOn(t, server))
	c.options.SuspectTimeout = time.Minute
	cancels.options.SuspectTimeout = time.Minute
	outcomes := make(chan CancelOutcome, flood)
	send := func(i int) { outcomes <- cancels.Cancel(t.Context(), fmt.Sprint(i)) }
	go send(0)
	require.Equal(t, 1, <-calls)
	for i := 1; i < flood; i++ {
		go send(i)
	}
	busy := flood - 1 - maxCancelledJobs
	require.Eventually(t, func() bool { return len(outcomes) == busy }, 5*time.Second, time.Millisecond, "beyond one round they are refused at once")
	for range busy {
		require.Equal(t, CancelBusy, <-outcomes)
	}
	require.Empty(t, calls, "one round at a time")
	close(release)
	c.advanceUntil(t, func() bool { return len(outcomes) == 1+maxCancelledJobs })
	require.Equal(t, maxCancelledJobs, <-calls)
	require.Empty(t, calls)
}

// TestRoundsOfCancellationsAreSpaced guards against a host that calls all others each time that it gets a cancellation.
func TestRoundsOfCancellationsAreSpaced(t *testing.T) {
	address, other := otherHost(t)
	c, cancels := cancelFixture(address)
	require.Equal(t, CancelNoSuchJob, cancels.Cancel(t.Context(), "first"))
	outcome := make(chan CancelOutcome, 1)
	go func() { outcome <- cancels.Cancel(t.Context(), "second") }()
	require.Never(t, func() bool { return len(outcome) > 0 }, 50*time.Millisecond, time.Millisecond)
	require.Equal(t, 1, other.asked)
	c.clock.Advance(2 * cancelCallSpacing)
	require.Equal(t, CancelNoSuchJob, <-outcome)
}

func TestCallToCancelTooManyJobsIsRefused(t *testing.T) {
	_, cancels := cancelFixture("", "j")
	_, err := cancels.serve(t.Context(), &peer.CancelJobsRequest{IDs: make([]string, maxCancelledJobs+1)})
	require.ErrorIs(t, err, errTooManyJobs)
	response, err := cancels.serve(t.Context(), &peer.CancelJobsRequest{IDs: []string{"j", "j", "", "\xff"}})
	require.NoError(t, err)
	require.Equal(t, []string{"j"}, response.Cancelled)
}

// TestKeeperStopsACancelledJob guards against a job that runs on at its keeper, because its home was not reached, and against
// one that is refused when it is sent again.
func TestKeeperStopsACancelledJob(t *testing.T) {
	k, request := leftFixture(t, peer.RunAnywhere)
	for sent := 1; sent <= 2; sent++ {
		response := make(chan *peer.RunResponse, 1)
		go func() {
			got, err := k.keeper.Run(t.Context(), request)
			if err == nil {
				response <- got
			}
		}()
		if sent == 1 {
			require.Eventually(t, func() bool { return len(k.worker.started()) == 1 }, time.Second, time.Millisecond)
		}
		require.Empty(t, k.keeper.CancelJobs(map[string]bool{"other": true}))
		require.Eventually(t, func() bool { return len(k.keeper.CancelJobs(map[string]bool{"j": true})) == 1 }, time.Second, time.Millisecond)
		got := <-response
		require.Equal(t, cell.Abandoned, got.Outcome)
		require.Equal(t, "the caller cancelled the job", got.Reason)
		require.Empty(t, k.keeper.CancelJobs(map[string]bool{"j": true}))
	}
}

// TestKeeperEndsTheCallOfACancelledJob guards against a job that goes on to another keeper because it was between two decisions.
func TestKeeperEndsTheCallOfACancelledJob(t *testing.T) {
	k, request := leftFixture(t, peer.RunAnywhere)
	request.Call = 1
	ctx, done := k.keeper.serveCall(t.Context(), request)
	defer done()
	require.Equal(t, []string{"j"}, k.keeper.CancelJobs(map[string]bool{"j": true, "k": true}))
	require.ErrorIs(t, ctx.Err(), context.Canceled)
}

func TestHomeCancelsOnlyTheNamedJob(t *testing.T) {
	home, _ := twoKeepers(t, "")
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	_, added := home.addJob(submissionOf(home.common.Clock), cancel)
	require.True(t, added)
	require.Empty(t, home.CancelJobs(map[string]bool{"other": true}))
	require.NoError(t, ctx.Err())
	require.Equal(t, []string{"job"}, home.CancelJobs(map[string]bool{"job": true, "other": true}))
	require.Error(t, ctx.Err())
}

// TestHostThatIsHeardRarelyIsAsked guards against "no such job" for a job of a live host that missed one heartbeat, or one call to
// cancel jobs, long after it was heard last.
func TestHostThatIsHeardRarelyIsAsked(t *testing.T) {
	c, cancels := cancelFixture(silentAddress(t))
	c.clock.Advance(time.Millisecond)
	require.Equal(t, CancelNotReached, cancels.Cancel(t.Context(), "x"))
	address, other := otherHost(t, "j")
	host := c.view.Hosts["b"]
	host.Address, host.Alive = address, false
	c.view.Hosts["b"] = host
	c.clock.Advance(forgetPeerAfter)
	require.Equal(t, CancelDone, cancels.Cancel(t.Context(), "j"))
	require.Equal(t, 1, other.asked)
}
