package cellhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// callsFixture returns host "a", which knows hosts "b" and "c", and its side of calls to other keepers.
func callsFixture(t *testing.T) (*claimant, *MembersController, *HomeController) {
	t.Helper()
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1}, blackboard.Member{Name: "c", FailureDomain: north, Size: 1})
	home := NewHomeController(c.common, c.options, c.board, nil, c.keeper)
	members.SetCalls(home, c.keeper)
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	members.handleHeartbeat(heartbeatOf(c, "c", "1"))
	return c, members, home
}

func TestHeartbeatListsTheOpenCallsToItsReceiver(t *testing.T) {
	c, members, home := callsFixture(t)
	sent := c.clock.Now()
	own, forwarded := &keeperCall{keeper: "b", home: "a"}, &keeperCall{keeper: "b", home: "c"}
	requests := [2]peer.RunRequest{}
	home.addCall(own, &requests[0])
	home.addCall(forwarded, &requests[1])
	c.clock.Advance(300 * time.Millisecond)
	open := members.ownHeartbeat("b").Calls
	require.ElementsMatch(t, []int64{requests[0].Call, requests[1].Call}, open.Numbers)
	for i, number := range open.Numbers {
		if number == requests[0].Call {
			require.Equal(t, c.clock.Now().UnixNano(), open.WantedAt[i])
		} else {
			require.Equal(t, sent.UnixNano(), open.WantedAt[i], "not heard of the caller's home since")
		}
	}
	require.Empty(t, members.ownHeartbeat("c").Calls.Numbers)
	home.removeCall(own)
	home.removeCall(forwarded)
	require.Empty(t, members.ownHeartbeat("b").Calls.Numbers)
}

// TestForwardedRequestTellsWhenItsCallerWasLastKnownToWait guards against forwarding a job that has waited in a queue with
// the time of its arrival there, which leaves it a short lease or none.
func TestForwardedRequestTellsWhenItsCallerWasLastKnownToWait(t *testing.T) {
	c, members, home := callsFixture(t)
	request := peer.RunRequest{WantedAt: c.clock.Now().UnixNano()}
	c.clock.Advance(time.Second)
	members.handleHeartbeat(heartbeatOf(c, "c", "1"))
	home.addCall(&keeperCall{keeper: "b", home: "c"}, &request)
	require.Equal(t, c.clock.Now().UnixNano(), request.WantedAt)
}

func TestHeartbeatWithoutAnOpenCallCancelsItsJob(t *testing.T) {
	c, members, _ := callsFixture(t)
	c.keeper.cell.Add(&cell.Worker{ID: "w", Group: "desk", Capacity: cell.Resources{Cores: 1000, Memory: 1}})
	now := c.clock.Now()
	request := &peer.RunRequest{
		ID: "j", Home: "b", HomeIncarnation: "1", KeeperIncarnation: c.common.Incarnation, Group: "desk", Call: 7,
		Sent: now.UnixNano(), WantedAt: now.UnixNano(), Arrived: now.UnixNano(),
		Objective: now.Add(time.Minute).UnixNano(), Deadline: now.Add(time.Minute).UnixNano(),
		Tasks: []peer.RunTask{{Name: "j.0", Need: cell.Resources{Cores: 1000, Memory: 1}, Estimate: int64(time.Second)}},
	}
	job, reason := c.keeper.newJob(request)
	require.Empty(t, reason)
	c.keeper.cell.Submit(job, now)
	for _, test := range []struct {
		calls   *peer.OpenCalls
		decided bool
	}{
		{nil, false}, // of an earlier version
		{&peer.OpenCalls{Numbers: []int64{7}, WantedAt: []int64{now.UnixNano()}}, false},
		{&peer.OpenCalls{Numbers: []int64{7}}, false}, // malformed
		{&peer.OpenCalls{}, true},
	} {
		c.clock.Advance(DefaultHeartbeatInterval)
		heartbeat := heartbeatOf(c, "b", "1")
		heartbeat.Calls = test.calls
		members.handleHeartbeat(heartbeat)
		require.Equal(t, test.decided, job.Decided())
	}
}

// TestForwardedCallTellsWhenTheHomeWasLastHeard guards against forwarding a job, after it has waited in a queue, with the time
// of its arrival as the time at which the caller was last known to wait.
func TestForwardedCallTellsWhenTheHomeWasLastHeard(t *testing.T) {
	c, members, home := callsFixture(t)
	arrived := c.clock.Now()
	for range 20 {
		c.clock.Advance(DefaultHeartbeatInterval)
		members.handleHeartbeat(heartbeatOf(c, "c", "1"))
	}
	members.publish()
	request := &peer.RunRequest{WantedAt: arrived.UnixNano()}
	home.addCall(&keeperCall{keeper: "b", home: "c"}, request)
	require.WithinDuration(t, c.clock.Now(), time.Unix(0, request.WantedAt), 200*time.Millisecond)
}

// TestLateStartAfterWaitingInTheQueueHasALease guards against a start without a lease of a job that has waited for 2 s in the
// queue of its keeper, while its home reported the call as open, as runLateAnywhere makes it.
func TestLateStartAfterWaitingInTheQueueHasALease(t *testing.T) {
	c, members, _ := callsFixture(t)
	worker := &cell.Worker{ID: "w", Group: "desk", Capacity: cell.Resources{Cores: 1000, Memory: 1}}
	c.keeper.cell.Add(worker)
	now := c.clock.Now()
	request := &peer.RunRequest{
		ID: "j", Home: "b", HomeIncarnation: "1", KeeperIncarnation: c.common.Incarnation, Group: "desk", Call: 7,
		Sent: now.UnixNano(), WantedAt: now.UnixNano(), Arrived: now.UnixNano(),
		Objective: now.Add(1500 * time.Millisecond).UnixNano(), Deadline: now.Add(time.Minute).UnixNano(),
		Tasks: []peer.RunTask{{Name: "j.0", Need: cell.Resources{Cores: 1000, Memory: 1}, Estimate: int64(time.Second)}},
	}
	for range 20 {
		c.clock.Advance(DefaultHeartbeatInterval)
		heartbeat := heartbeatOf(c, "b", "1")
		heartbeat.Calls = &peer.OpenCalls{Numbers: []int64{7}, WantedAt: []int64{heartbeat.Clock}}
		members.handleHeartbeat(heartbeat)
	}
	members.publish()
	now = c.clock.Now()
	limits := cell.Limits{Lease: time.Second, Resubmit: DefaultResubmitDelay}
	c.keeper.cell = cell.New(limits, &homes{self: "a", board: c.board, clock: c.clock})
	c.keeper.cell.Add(worker)
	c.keeper.cell.HandleReport(worker, &cell.Report{Incarnation: 1, Clock: time.Minute}, now, now)
	c.keeper.cell.Tick(now)
	job, reason := c.keeper.newJob(request)
	require.Empty(t, reason)
	effects, started := c.keeper.cell.StartLate(job, now)
	require.True(t, started)
	require.Greater(t, effects.Starts[0].Lease, time.Minute, "the worker turns the start down as late")
}

// TestForwardedCallOfAnEarlierHomeCountsFromItsLastHeartbeat guards against counting from the offer to another keeper when the
// home is of an earlier version, which sends no time.
func TestForwardedCallOfAnEarlierHomeCountsFromItsLastHeartbeat(t *testing.T) {
	c, _, home := callsFixture(t)
	heard := c.clock.Now()
	c.clock.Advance(450 * time.Millisecond)
	request := &peer.RunRequest{}
	home.addCall(&keeperCall{keeper: "b", home: "c"}, request)
	require.WithinDuration(t, heard, time.Unix(0, request.WantedAt), 40*time.Millisecond)
}
