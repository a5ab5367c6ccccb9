package cellhost

import (
	"context"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// newMembers returns the members controller of host "a" in the north, which knows the other hosts from the directory.
func newMembers(t *testing.T, others ...blackboard.Member) (*claimant, *MembersController) {
	t.Helper()
	c := newClaimant("a", north)
	hosts := append([]blackboard.Member{{Name: "a", FailureDomain: north, Size: 1}}, others...)
	c.members.SetHosts(hosts, nil)
	return c, c.members
}

func heartbeatOf(c *claimant, name, incarnation string) *peer.Heartbeat {
	return &peer.Heartbeat{Name: name, Incarnation: incarnation, Clock: c.clock.Now().UnixNano()}
}

func TestHostWithoutHeartbeatsIsNotAlive(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	require.True(t, c.board.View().Hosts["b"].Alive)
	for range 8 {
		c.clock.Advance(DefaultHeartbeatInterval)
		members.tick()
	}
	require.False(t, c.board.View().Hosts["b"].Alive)
	require.True(t, c.board.View().Isolated, "the only other host of the domain is not heard, but may be running")
}

func TestHostThatRefusesConnectionsIsDownAtOnce(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	members.handleMissed("b", context.DeadlineExceeded)
	require.True(t, c.board.View().Hosts["b"].Alive, "one unanswered call is no evidence")
	members.handleMissed("b", syscall.ECONNREFUSED)
	view := c.board.View()
	require.False(t, view.Hosts["b"].Alive)
	require.False(t, view.Isolated, "a refused connection shows that the process ended, not a partition")
	members.handleHeartbeat(heartbeatOf(c, "b", "2"))
	members.handleHeartbeat(heartbeatOf(c, "b", "2"))
	require.True(t, c.board.View().Hosts["b"].Alive)
}

// failureLog records which hosts were reported as failed.
type failureLog []string

func (g *failureLog) HostFailed(name, incarnation string) { *g = append(*g, name+"/"+incarnation) }

func TestObserversAreToldOfLostAndRestartedHosts(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	var failures failureLog
	members.SetObservers(c.keeper, &failures)
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	members.handleHeartbeat(heartbeatOf(c, "b", "2"))
	require.Equal(t, failureLog{"b/2"}, failures)
	members.handleMissed("b", syscall.ECONNREFUSED)
	require.Equal(t, failureLog{"b/2", "b/"}, failures)
}

func TestClockOffsetIsTheSmallestObserved(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	offset := 3 * time.Second
	for _, delay := range []time.Duration{20, 2, 50} {
		heartbeat := heartbeatOf(c, "b", "1")
		heartbeat.Clock -= int64(offset + delay*time.Millisecond)
		members.handleHeartbeat(heartbeat)
	}
	state := c.board.View().Hosts["b"]
	require.True(t, state.ClockKnown)
	require.Equal(t, offset+2*time.Millisecond, state.ClockOffset, "the fastest heartbeat gives the closest estimate")
}

func TestHeartbeatPeersInALargeFleet(t *testing.T) {
	const hosts = 40
	others := make([]blackboard.Member, 0, hosts)
	for i := range hosts {
		domain := north
		if i%2 == 1 {
			domain = south
		}
		others = append(others, blackboard.Member{Name: "h" + time.Duration(i).String(), FailureDomain: domain, Size: 1})
	}
	c, members := newMembers(t, others...)
	peerCount := func() (count int) {
		members.mu.Lock()
		defer members.mu.Unlock()
		for name, other := range c.board.View().Hosts {
			if name != "a" && members.isHeartbeatPeer(&other.Member) {
				count++
			}
		}
		return count
	}
	require.Equal(t, 20, peerCount(), "a starting host calls all hosts of its failure domain")
	c.clock.Advance(forgetPeerAfter - time.Millisecond)
	require.Equal(t, 20, peerCount(), "it goes on until it hears a keeper, since those that the records name may be gone")
	c.clock.Advance(time.Millisecond)
	require.Zero(t, peerCount(), "neither keeps a cell, and a failure domain without workers has no keeper")
	keeper := heartbeatOf(c, others[0].Name, "1")
	keeper.Claims = []peer.Claim{{Cell: northCell, CellCount: 1, Epoch: 1}}
	members.handleHeartbeat(keeper)
	require.Equal(t, 1, peerCount(), "the keeper of its own failure domain")
	c.board.claims.Store(&[]peer.Claim{{Cell: northCell, CellCount: 1, Epoch: 2}})
	require.Equal(t, 20, peerCount(), "a keeper exchanges heartbeats with all hosts of its failure domain")
}

func TestViewIsCompleteOnceEachHostWasHeardOrIsGone(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1}, blackboard.Member{Name: "c", FailureDomain: south, Size: 1})
	require.False(t, c.board.View().Complete)
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	require.False(t, c.board.View().Complete, "c was not heard")
	members.handleMissed("c", syscall.ECONNREFUSED)
	require.True(t, c.board.View().Complete)
	for range 8 {
		c.clock.Advance(DefaultHeartbeatInterval)
		members.tick()
	}
	require.False(t, c.board.View().Complete, "b is not heard, but may be running")
}

func TestViewOfTheOnlyHostIsComplete(t *testing.T) {
	c, _ := newMembers(t)
	require.True(t, c.board.View().Complete)
}

// TestPlaceOfALargeFleetIsCompleteOnceAllItsHostsWereHeard starts all hosts together, as after a loss of power: the
// first to claim must wait for those of its failure domain that start a moment later, but not for startDelay.
func TestPlaceOfALargeFleetIsCompleteOnceAllItsHostsWereHeard(t *testing.T) {
	others := make([]blackboard.Member, 0, fullMeshHosts)
	for i := range fullMeshHosts {
		domain := north
		if i >= 2 {
			domain = south
		}
		others = append(others, blackboard.Member{Name: "h" + strconv.Itoa(i), FailureDomain: domain, Size: 1})
	}
	c, members := newMembers(t, others...)
	members.handleMissed("h0", syscall.ECONNREFUSED)
	members.handleHeartbeat(heartbeatOf(c, "h1", "1"))
	require.False(t, c.board.View().Complete, "h0 is about to start, as this host was")
	members.handleHeartbeat(heartbeatOf(c, "h0", "1"))
	members.handleHeartbeat(heartbeatOf(c, "h0", "1"))
	require.True(t, c.board.View().Complete)
	c.clock.Advance(startDelay)
	members.handleHeartbeat(heartbeatOf(c, "h0", "1"))
	require.True(t, c.board.View().Complete, "no keeper was heard yet, so that it still calls them")
	c.clock.Advance(forgetPeerAfter)
	members.handleHeartbeat(heartbeatOf(c, "h0", "1"))
	require.False(t, c.board.View().Complete, "no host keeps a cell, so there are no heartbeat peers")
}

// TestFirstClaimDividesAPlaceAtOnce checks that, with no keeper known yet, all cells are claimed in one step.
func TestFirstClaimDividesAPlaceAtOnce(t *testing.T) {
	c := newClaimant("a", north)
	c.cells = map[string]int{}
	require.Equal(t, 3, c.cellCount(north, 2*workersPerCell+1, newClaimsView(c.view)))
	c.cells[north] = 1
	require.Equal(t, 1, c.cellCount(north, 2*workersPerCell+1, newClaimsView(c.view)), "the keeper of the first cell decides, and may be heard again")
}

// BenchmarkHeartbeat measures the cost of processing one heartbeat by the number of hosts.
func BenchmarkHeartbeat(b *testing.B) {
	for _, hosts := range []int{36, 100, 300} {
		b.Run(strconv.Itoa(hosts), func(b *testing.B) {
			c := newClaimant("a", north)
			listed := []blackboard.Member{{Name: "a", FailureDomain: north, Size: 1}}
			for i := range hosts - 1 {
				listed = append(listed, blackboard.Member{Name: "h" + strconv.Itoa(i), FailureDomain: north, Size: 1})
			}
			c.members.SetHosts(listed, nil)
			for i := range hosts - 1 {
				c.members.handleHeartbeat(heartbeatOf(c, "h"+strconv.Itoa(i), "1"))
			}
			heartbeat := heartbeatOf(c, "h0", "1")
			b.ResetTimer()
			for range b.N {
				c.members.handleHeartbeat(heartbeat)
			}
		})
	}
}

// TestViewShowsChangesAtOnceAndLoadsAtTheViewInterval checks that the view is not rebuilt for each heartbeat.
func TestViewShowsChangesAtOnceAndLoadsAtTheViewInterval(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	loaded := heartbeatOf(c, "b", "1")
	loaded.Loads = []cell.Load{{Group: "desk", FreeSlots: 7}}
	members.handleHeartbeat(loaded)
	require.Empty(t, c.board.View().Hosts["b"].Loads)
	c.clock.Advance(viewInterval)
	members.handleHeartbeat(loaded)
	require.Equal(t, loaded.Loads, c.board.View().Hosts["b"].Loads)
	claiming := heartbeatOf(c, "b", "1")
	claiming.Claims = []peer.Claim{{Cell: northCell, Epoch: 1}}
	members.handleHeartbeat(claiming)
	require.Equal(t, claiming.Claims, c.board.View().Hosts["b"].Claims)
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	require.Empty(t, c.board.View().Hosts["b"].Claims)
	members.handleHeartbeat(loaded)
	members.tick()
	require.Equal(t, loaded.Loads, c.board.View().Hosts["b"].Loads, "no later than at the next tick")
}

// TestHomesAreSilentAfterAPauseOfThisProcess has a host fail while this process is paused: afterwards its last
// heartbeat counts from before the pause, although the host is not suspected yet.
func TestHomesAreSilentAfterAPauseOfThisProcess(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1}, blackboard.Member{Name: "c", FailureDomain: north, Size: 1})
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	members.handleHeartbeat(heartbeatOf(c, "c", "1"))
	members.tick()
	c.clock.Advance(900 * time.Millisecond)
	members.tick()
	members.handleHeartbeat(heartbeatOf(c, "c", "1"))
	seen := homes{self: "a", board: c.board, clock: c.clock}
	require.True(t, c.board.View().Hosts["b"].Alive)
	require.Equal(t, 900*time.Millisecond, c.clock.Since(seen.SeenAt("b", "1")))
	require.Zero(t, c.clock.Since(seen.SeenAt("c", "1")))
	require.Zero(t, c.clock.Since(seen.SeenAt("a", "a")), "this host itself")
	require.Zero(t, seen.SeenAt("b", "2"), "another incarnation")
	require.Zero(t, seen.SeenAt("d", "1"), "an unknown host")
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	require.Zero(t, c.clock.Since(seen.SeenAt("b", "1")))
}

// TestHeartbeatCountsFromWhenItWasSent guards against renewing the leases of a home's jobs on the strength of a
// heartbeat that was read long after it was sent.
func TestHeartbeatCountsFromWhenItWasSent(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	c.clock.Advance(DefaultHeartbeatInterval)
	late := heartbeatOf(c, "b", "1")
	sent := c.clock.Now()
	c.clock.Advance(300 * time.Millisecond)
	members.handleHeartbeat(late)
	require.WithinDuration(t, sent, c.board.View().Hosts["b"].LastHeartbeat, time.Millisecond)
}

// TestHeartbeatsThatAreReadLateForAMinuteCountFromWhenTheyWereSent guards against a clock offset that rises without bound on a
// host that reads every heartbeat late; the budget has 40 ms for it.
func TestHeartbeatsThatAreReadLateForAMinuteCountFromWhenTheyWereSent(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	var sent time.Time
	for range 600 {
		late := heartbeatOf(c, "b", "1")
		sent = c.clock.Now()
		c.clock.Advance(DefaultHeartbeatInterval)
		members.handleHeartbeat(late)
	}
	members.publish()
	require.WithinDuration(t, sent, c.board.View().Hosts["b"].LastHeartbeat, 40*time.Millisecond)
}
