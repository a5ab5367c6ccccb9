package cellhost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// TestNothingStartsForACallerThatHasLeft guards against a start that is sent and stopped at once, when the connection of a
// call, or of the caller, ends before the keeper decides about the job.
func TestNothingStartsForACallerThatHasLeft(t *testing.T) {
	for _, mode := range []peer.RunMode{peer.RunAnywhere, peer.RunNow, peer.RunHere, peer.RunLate} {
		k := newKeeperFixture(t)
		now := k.clock.Now()
		k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
		self := PeerState{Member: blackboard.Member{Name: "a", Incarnation: "life", Alive: true}, ClockKnown: true}
		k.keeper.board.view.Store(&View{Hosts: map[string]PeerState{"a": self}})
		request := &peer.RunRequest{
			ID: "j", Home: "a", HomeIncarnation: "life", KeeperIncarnation: "life", Group: "desk", Attempts: 1, Mode: mode,
			Arrived: now.UnixNano(), Objective: now.Add(20 * time.Second).UnixNano(), Deadline: now.Add(time.Minute).UnixNano(),
			Tasks: []peer.RunTask{{Name: "j.0", Need: cell.Resources{Cores: 1000, Memory: 1}, Estimate: int64(time.Second)}},
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := k.keeper.Run(ctx, request)
		require.ErrorIs(t, err, context.Canceled)
		require.Never(t, func() bool { return len(k.worker.started()) > 0 }, 50*time.Millisecond, time.Millisecond, mode)
	}
}
