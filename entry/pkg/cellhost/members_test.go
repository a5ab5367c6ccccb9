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

// newMembers returns the members controller of host "a" in the north, which knows the other hosts by the directory.
func newMembers(t *testing.T, others ...blackboard.Member) (*claimant, *MembersController) {
	t.Helper()
	c := newClaimant("a", north)
	hosts := append([]blackboard.Member{{Name: "a", FailureDomain: north, Size: 1}}, others...)
	c.members.SetHosts(hosts, nil)
	return c, c.members
}

func heartbeatOf(c *claimant, name, life string) *peer.Heartbeat {
	return &peer.Heartbeat{Name: name, Incarnation: life, Clock: c.clock.Now().UnixNano()}
}

func TestSilentHostIsNotAlive(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	require.True(t, c.board.View().Hosts["b"].Alive)
	for range 8 {
		c.clock.Advance(DefaultHeartbeatInterval)
		members.tick()
	}
	require.False(t, c.board.View().Hosts["b"].Alive)
	require.True(t, c.board.View().Isolated, "the only mate is silent, and may well live")
}

func TestHostThatRefusesConnectionsIsGoneAtOnce(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	members.handleMissed("b", context.DeadlineExceeded)
	require.True(t, c.board.View().Hosts["b"].Alive, "one call without an answer tells nothing")
	members.handleMissed("b", syscall.ECONNREFUSED)
	view := c.board.View()
	require.False(t, view.Hosts["b"].Alive)
	require.False(t, view.Isolated, "a host that refuses connections is not cut off, its process is gone")
	members.handleHeartbeat(heartbeatOf(c, "b", "2"))
	members.handleHeartbeat(heartbeatOf(c, "b", "2"))
	require.True(t, c.board.View().Hosts["b"].Alive)
}

// gone notes which hosts were reported as lost.
type gone []string

func (g *gone) HostFailed(name, life string) { *g = append(*g, name+"/"+life) }

func TestObserversAreToldOfLostAndRestartedHosts(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	var told gone
	members.SetObservers(c.keeper, &told)
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	members.handleHeartbeat(heartbeatOf(c, "b", "2"))
	require.Equal(t, gone{"b/2"}, told)
	members.handleMissed("b", syscall.ECONNREFUSED)
	require.Equal(t, gone{"b/2", "b/"}, told)
}

func TestClocksOfHostsAreRelated(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	ahead := 3 * time.Second
	for _, delay := range []time.Duration{20, 2, 50} {
		pulse := heartbeatOf(c, "b", "1")
		pulse.Clock -= int64(ahead + delay*time.Millisecond)
		members.handleHeartbeat(pulse)
	}
	neighbour := c.board.View().Hosts["b"]
	require.True(t, neighbour.ClockKnown)
	require.Equal(t, ahead+2*time.Millisecond, neighbour.ClockOffset, "the fastest heartbeat tells most")
}

func TestLargeFleetSendsHeartbeatsInAStar(t *testing.T) {
	const hosts = 40
	others := make([]blackboard.Member, 0, hosts)
	for i := range hosts {
		place := north
		if i%2 == 1 {
			place = south
		}
		others = append(others, blackboard.Member{Name: "h" + time.Duration(i).String(), FailureDomain: place, Size: 1})
	}
	c, members := newMembers(t, others...)
	near := func() (count int) {
		members.mu.Lock()
		defer members.mu.Unlock()
		for name, other := range c.board.View().Hosts {
			if name != "a" && members.isHeartbeatPeer(&other.Member) {
				count++
			}
		}
		return count
	}
	require.Equal(t, 20, near(), "a host that starts asks all hosts of its place for a keeper")
	c.clock.Advance(startDelay)
	require.Zero(t, near(), "neither keeps a cell")
	keeper := heartbeatOf(c, others[0].Name, "1")
	keeper.Claims = []peer.Claim{{Cell: northCell, CellCount: 1, Epoch: 1}}
	members.handleHeartbeat(keeper)
	require.Equal(t, 1, near(), "the keeper of its own place")
	c.board.claims.Store(&[]peer.Claim{{Cell: northCell, CellCount: 1, Epoch: 2}})
	require.Equal(t, 20, near(), "a keeper hears all hosts of its place")
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
	require.False(t, c.board.View().Complete, "b is silent, and may well live")
}

func TestViewOfTheOnlyHostIsComplete(t *testing.T) {
	c, _ := newMembers(t)
	require.True(t, c.board.View().Complete)
}

// TestPlaceOfALargeFleetIsCompleteOnceAllItsHostsWereHeard has all hosts start together, as after a loss of power: the first
// to claim must wait for those of its place that start a moment later, but not for the time that it takes to listen.
func TestPlaceOfALargeFleetIsCompleteOnceAllItsHostsWereHeard(t *testing.T) {
	others := make([]blackboard.Member, 0, fullMeshHosts)
	for i := range fullMeshHosts {
		place := north
		if i >= 2 {
			place = south
		}
		others = append(others, blackboard.Member{Name: "h" + strconv.Itoa(i), FailureDomain: place, Size: 1})
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
	require.False(t, c.board.View().Complete, "nobody keeps a cell, so that it hears nobody regularly")
}

// TestFirstClaimDividesAPlaceAtOnce has no keeper known yet: all cells are claimed in one step, and not the first one before the others.
func TestFirstClaimDividesAPlaceAtOnce(t *testing.T) {
	c := newClaimant("a", north)
	c.cells = map[string]int{}
	require.Equal(t, 3, c.cellCount(north, 2*workersPerCell+1, newClaimsView(c.view)))
	c.cells[north] = 1
	require.Equal(t, 1, c.cellCount(north, 2*workersPerCell+1, newClaimsView(c.view)), "the keeper of the first cell decides, and may be heard again")
}

// BenchmarkHeartbeat shows what taking in one heartbeat costs, and how it grows with the hosts.
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
			pulse := heartbeatOf(c, "h0", "1")
			b.ResetTimer()
			for range b.N {
				c.members.handleHeartbeat(pulse)
			}
		})
	}
}

// TestViewFollowsNewsAtOnceAndLoadsSoon checks that the view need not be built anew for each heartbeat.
func TestViewFollowsNewsAtOnceAndLoadsSoon(t *testing.T) {
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

// TestHomesAreSilentAfterAPauseOfThisProcess has a host die while this one stands still: nothing is known of it afterwards,
// although its silence is not held against it yet.
func TestHomesAreSilentAfterAPauseOfThisProcess(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1}, blackboard.Member{Name: "c", FailureDomain: north, Size: 1})
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	members.handleHeartbeat(heartbeatOf(c, "c", "1"))
	members.tick()
	c.clock.Advance(900 * time.Millisecond)
	members.tick()
	members.handleHeartbeat(heartbeatOf(c, "c", "1"))
	view := c.board.View()
	require.True(t, view.Hosts["b"].Alive)
	require.Equal(t, []string{"b"}, view.WithoutHeartbeatSince(c.clock.Now().Add(-homeHeartbeatTimeout)))
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	require.Empty(t, c.board.View().WithoutHeartbeatSince(c.clock.Now().Add(-homeHeartbeatTimeout)))
}
