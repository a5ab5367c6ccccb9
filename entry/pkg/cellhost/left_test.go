package cellhost

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/callerconn"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// TestNothingStartsForACallerThatHasLeft guards against a start that is sent and stopped at once, when the connection of a
// call, or of the caller, ends before the keeper decides about the job.
func TestNothingStartsForACallerThatHasLeft(t *testing.T) {
	for _, mode := range []peer.RunMode{peer.RunAnywhere, peer.RunNow, peer.RunHere, peer.RunLate} {
		k, request := leftFixture(t, mode)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := k.keeper.Run(ctx, request)
		require.ErrorIs(t, err, context.Canceled)
		require.Never(t, func() bool { return len(k.worker.started()) > 0 }, 50*time.Millisecond, time.Millisecond, mode)
	}
}

// TestNothingStartsForAClosedConnection guards against a start for a call that was read after its home had closed the
// connection, which ends the context only later.
func TestNothingStartsForAClosedConnection(t *testing.T) {
	ctx, leave := connectedCaller(t)
	leave()
	k, request := leftFixture(t, peer.RunAnywhere)
	done, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	_, err := k.keeper.Run(done, request)
	require.ErrorIs(t, err, context.Canceled)
	require.Empty(t, k.worker.started())
}

// TestNothingStartsForACallerThatLeftWhileItsJobWasOfferedElsewhere guards against a start for a job whose connection ended while
// other keepers were asked: its caller may have sent it to another host.
func TestNothingStartsForACallerThatLeftWhileItsJobWasOfferedElsewhere(t *testing.T) {
	for name, ends := range map[string]bool{"connection closed": false, "context ended": true} {
		t.Run(name, func(t *testing.T) {
			connected, leave := connectedCaller(t)
			ctx, cancel := context.WithTimeout(connected, 5*time.Second)
			defer cancel()
			k, request := leftFixture(t, peer.RunAnywhere)
			worker, now := k.loop.worker, k.clock.Now()
			k.keeper.cell.MarkUnresponsive(worker) // no room at once
			k.keeper.SetForwarder(forwarderFunc(func() {
				leave()
				if ends {
					cancel()
				}
				k.keeper.mu.Lock()
				defer k.keeper.mu.Unlock()
				k.keeper.cell.HandleReport(worker, k.report(), now, now) // room since
			}))
			_, err := k.keeper.Run(ctx, request)
			require.ErrorIs(t, err, context.Canceled)
			require.Never(t, func() bool { return len(k.worker.started()) > 0 }, 100*time.Millisecond, time.Millisecond)
		})
	}
}

// forwarderFunc is a Forwarder that no other keeper answers; it is called for each offer.
type forwarderFunc func()

func (f forwarderFunc) Forward(context.Context, string, *peer.RunRequest, peer.RunMode) (*peer.RunResponse, bool) {
	f()
	return nil, false
}

// leftFixture returns a keeper with a free worker and a request that it can start at once.
func leftFixture(t *testing.T, mode peer.RunMode) (*keeperFixture, *peer.RunRequest) {
	t.Helper()
	k := newKeeperFixture(t)
	now := k.clock.Now()
	k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
	self := PeerState{Member: blackboard.Member{Name: "a", Incarnation: "life", Alive: true}, ClockKnown: true}
	k.keeper.board.view.Store(&View{Hosts: map[string]PeerState{"a": self}})
	return k, &peer.RunRequest{
		ID: "j", Home: "a", HomeIncarnation: "life", KeeperIncarnation: "life", Group: "desk", Attempts: 1, Mode: mode,
		Arrived: now.UnixNano(), Objective: now.Add(20 * time.Second).UnixNano(), Deadline: now.Add(time.Minute).UnixNano(),
		Tasks: []peer.RunTask{{Name: "j.0", Need: cell.Resources{Cores: 1000, Memory: 1}, Estimate: int64(time.Second)}},
	}
}

// connectedCaller returns the context of a request on a TCP connection, and a function that closes its other end and waits until
// that is known here.
func connectedCaller(t *testing.T) (request context.Context, leave func()) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	caller, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	request = callerconn.WithConn(t.Context(), accepted)
	return request, func() {
		require.NoError(t, caller.Close())
		require.Eventually(t, func() bool { return callerconn.IsClosed(request) }, time.Second, time.Millisecond)
	}
}

func (forwarderFunc) RoomElsewhere(string, string) int { return 0 }
