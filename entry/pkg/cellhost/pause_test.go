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

// TestJobWhoseCallerLeftDuringAPauseIsNotStarted guards against a host that was suspended, and starts a queued job on its own
// word that the caller waits, before it has noticed that the connection was reset meanwhile.
func TestJobWhoseCallerLeftDuringAPauseIsNotStarted(t *testing.T) {
	k := newKeeperFixture(t)
	begin := k.clock.Now()
	report := func() *cell.Report {
		return &cell.Report{Incarnation: 1, Clock: time.Second + k.clock.Since(begin)}
	}
	k.keeper.cell.HandleReport(k.loop.worker, report(), begin, begin)
	self := PeerState{Member: blackboard.Member{Name: "a", Incarnation: "life", Alive: true}, ClockKnown: true}
	k.keeper.board.view.Store(&View{Hosts: map[string]PeerState{"a": self}})
	request := func(id string, cores int64) *peer.RunRequest {
		return &peer.RunRequest{
			ID: id, Home: "a", HomeIncarnation: "life", KeeperIncarnation: "life", Group: "desk", Attempts: 1, Mode: peer.RunHere,
			Arrived: begin.UnixNano(), Objective: begin.Add(20 * time.Second).UnixNano(), Deadline: begin.Add(time.Minute).UnixNano(),
			Tasks: []peer.RunTask{{Name: id + ".0", Need: cell.Resources{Cores: cores, Memory: 1}, Estimate: int64(time.Second)}},
		}
	}
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	caller, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	waiting, stop := context.WithCancel(t.Context())
	ended := make(chan struct{}, 2)
	go func() { _, _ = k.keeper.Run(waiting, request("first", 16_000)); ended <- struct{}{} }()
	require.Eventually(t, func() bool { return len(k.worker.started()) == 1 }, 5*time.Second, time.Millisecond)
	go func() {
		_, _ = k.keeper.Run(callerconn.WithConn(waiting, accepted), request("second", 16_000))
		ended <- struct{}{}
	}()
	require.Eventually(t, func() bool { return k.keeper.PendingJobs() == 2 }, 5*time.Second, time.Millisecond)
	k.keeper.tick()

	k.clock.Advance(2 * time.Second) // suspended
	require.NoError(t, caller.(*net.TCPConn).SetLinger(0))
	require.NoError(t, caller.Close())
	time.Sleep(50 * time.Millisecond)
	k.keeper.tick()
	k.keeper.apply(func(now time.Time) cell.Effects {
		lapsed := report()
		lapsed.Ended = []cell.EndedRunEntry{{Sequence: 1, Task: "first.0", Run: 1, Result: cell.RunDone}}
		return k.keeper.cell.HandleReport(k.loop.worker, lapsed, now, now)
	})
	time.Sleep(50 * time.Millisecond)
	starts := len(k.worker.started())
	stop()
	<-ended
	<-ended
	require.Equal(t, 1, starts, "the second job was started")
}
