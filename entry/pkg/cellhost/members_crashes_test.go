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
)

// TestCountsOfCrashesGoWithHeartbeats guards against a host, also one without a cell, that starts a task anew which was
// given up elsewhere; heartbeats of earlier versions carry no counts.
func TestCountsOfCrashesGoWithHeartbeats(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	require.Empty(t, members.ownHeartbeat("b").Crashes)
	told := heartbeatOf(c, "b", "1")
	told.Crashes = []cell.CrashCount{{Task: "j.0", Crashes: cell.Crashes{Confirmed: 2, Alone: 1, All: 3}}}
	members.handleHeartbeat(told)
	require.Equal(t, told.Crashes, members.ownHeartbeat("c").Crashes, "others are told on")
	now := c.clock.Now()
	response, err := c.keeper.Run(t.Context(), &peer.RunRequest{
		ID: "j", Home: "b", HomeIncarnation: "1", KeeperIncarnation: c.common.Incarnation, Group: "desk", Attempts: 1,
		Arrived: now.UnixNano(), Objective: now.Add(time.Minute).UnixNano(), Deadline: now.Add(time.Minute).UnixNano(),
		Tasks: []peer.RunTask{{Name: "j.0", Need: cell.Resources{Cores: 1000, Memory: 1}, Estimate: int64(time.Second)}},
	})
	require.NoError(t, err)
	require.False(t, response.Declined, "although this host has no workers")
	require.Equal(t, cell.Failed, response.Outcome)
	c.clock.Advance(time.Minute)
	require.Empty(t, members.ownHeartbeat("b").Crashes)
	members.handleHeartbeat(heartbeatOf(c, "b", "2"))
	require.Equal(t, told.Crashes, members.ownHeartbeat("b").Crashes, "a host that has just started is told everything")
	c.clock.Advance(firstHeartbeats)
	require.Empty(t, members.ownHeartbeat("b").Crashes)
}

// TestCrashIsToldAtOnce guards against a count that is lost with its keeper before the next heartbeat is due.
func TestCrashIsToldAtOnce(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	select {
	case <-members.wake: // of the directory
	default:
	}
	c.keeper.execute(&cell.Effects{})
	require.Empty(t, members.wake)
	c.keeper.execute(&cell.Effects{Crashes: []cell.CrashedWorker{{Worker: "w", Tasks: []string{"j.0"}}}})
	require.Len(t, members.wake, 1)
}

// TestHeartbeatWithCountsIsReadByEarlierVersions guards against hosts of two versions that cannot talk to each other.
func TestHeartbeatWithCountsIsReadByEarlierVersions(t *testing.T) {
	type earlier struct {
		Name  string `json:"n"`
		Clock int64  `json:"t"`
	}
	served := make(chan []cell.CrashCount, 1)
	old, current := peer.NewServer(), peer.NewServer()
	peer.Handle(old, peer.MethodHeartbeat, func(_ context.Context, heartbeat *earlier) (*earlier, error) {
		return &earlier{Name: "answer to " + heartbeat.Name, Clock: heartbeat.Clock}, nil
	})
	peer.Handle(current, peer.MethodHeartbeat, func(_ context.Context, heartbeat *peer.Heartbeat) (*peer.Heartbeat, error) {
		served <- heartbeat.Crashes
		return &peer.Heartbeat{Name: heartbeat.Name, Crashes: []cell.CrashCount{{Task: "j.0", Crashes: cell.Crashes{Confirmed: 2, Alone: 1, All: 3}}}}, nil
	})
	client := peer.NewClient(nil)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	sent := &peer.Heartbeat{Name: "a", Clock: 7, Crashes: []cell.CrashCount{{Task: "j.0", Crashes: cell.Crashes{All: 1}}}}
	answer, err := peer.Call[peer.Heartbeat, peer.Heartbeat](t.Context(), client, serveHeartbeats(t, old), peer.MethodHeartbeat, sent)
	require.NoError(t, err)
	require.Equal(t, "answer to a", answer.Name)
	require.Empty(t, answer.Crashes)
	address := serveHeartbeats(t, current)
	told, err := peer.Call[earlier, earlier](t.Context(), client, address, peer.MethodHeartbeat, &earlier{Name: "old"})
	require.NoError(t, err)
	require.Equal(t, "old", told.Name)
	require.Empty(t, <-served)
	answer, err = peer.Call[peer.Heartbeat, peer.Heartbeat](t.Context(), client, address, peer.MethodHeartbeat, sent)
	require.NoError(t, err)
	require.Equal(t, sent.Crashes, <-served)
	require.Equal(t, []cell.CrashCount{{Task: "j.0", Crashes: cell.Crashes{Confirmed: 2, Alone: 1, All: 3}}}, answer.Crashes)
}

func serveHeartbeats(t *testing.T, server *peer.Server) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-served)
	})
	return listener.Addr().String()
}

// TestLateStartsGoWithHeartbeats guards against a host that starts a task anew which a crashed worker of another keeper may
// start in its next life.
func TestLateStartsGoWithHeartbeats(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	told := heartbeatOf(c, "b", "1")
	told.LateStarts = []cell.LateStart{{Task: "j.0", Remaining: time.Minute}}
	members.handleHeartbeat(told)
	require.Empty(t, members.ownHeartbeat("c").LateStarts, "the worker's keeper tells of it")
	mayStart := func() bool {
		c.keeper.mu.Lock()
		defer c.keeper.mu.Unlock()
		now := c.clock.Now()
		job := &cell.Job{ID: "j", Group: "desk", Arrived: now, Objective: now.Add(time.Minute), Deadline: now.Add(2 * time.Minute)}
		job.Tasks = []*cell.Task{{Job: job, Name: "j.0", Demand: cell.Resources{Cores: 1000, Memory: 1}, Estimate: time.Second}}
		return !c.keeper.cell.IsBlocked(job, now)
	}
	require.False(t, mayStart())
	c.clock.Advance(maxCallDelay)
	require.True(t, mayStart())
}
