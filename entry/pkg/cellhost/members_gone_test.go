package cellhost

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/peer"
)

// longSilence lets each of 30 hosts be called again after forgetDomainAfter, one by chance at a time.
const longSilence = forgetDomainAfter + 10*forgetPeerAfter

// goneHosts returns records of hosts that are gone, of which each third is in the north, and which say that they keep a cell.
func goneHosts(count int) (hosts []blackboard.Member, keepers map[string]bool) {
	keepers = map[string]bool{}
	for i := range count {
		name := "gone" + strconv.Itoa(i)
		domain := south
		if i%3 == 0 {
			domain = north
		}
		hosts = append(hosts, blackboard.Member{Name: name, FailureDomain: domain, Size: 1})
		keepers[name] = true
	}
	return hosts, keepers
}

// startAmongGone starts host "a" in the north, which knows the living hosts and as many that are gone.
func startAmongGone(t *testing.T, gone int, living ...blackboard.Member) (*claimant, *MembersController) {
	t.Helper()
	records, keepers := goneHosts(gone)
	c := newClaimant("a", north)
	members := c.members
	members.SetHosts(append(append(records, blackboard.Member{Name: "a", FailureDomain: north, Size: 1}), living...), keepers)
	return c, members
}

// live advances the clock; the living hosts are heard and nothing else answers that this host calls.
func (c *claimant) live(length time.Duration, living ...string) {
	answers := map[string]bool{}
	for _, name := range living {
		answers[name] = true
	}
	for range int(length / DefaultHeartbeatInterval) {
		c.clock.Advance(DefaultHeartbeatInterval)
		for _, target := range c.members.heartbeatTargets(false) {
			if answers[target.Name] {
				c.members.handleHeartbeat(heartbeatOf(c, target.Name, "1"))
			} else {
				c.members.handleMissed(target.Name, context.DeadlineExceeded)
			}
		}
		c.members.tick()
	}
}

// TestGoneHostsKeepNoStartingHostFromItsCell has all hosts lose power while most records are of hosts that are gone: a host
// that starts must not take itself for cut off while it hears one that lives, in its own failure domain or elsewhere.
func TestGoneHostsKeepNoStartingHostFromItsCell(t *testing.T) {
	for name, domain := range map[string]string{"own failure domain": north, "another": south} {
		for _, gone := range []int{6, 30} {
			t.Run(name+" "+strconv.Itoa(gone), func(t *testing.T) {
				c, _ := startAmongGone(t, gone, blackboard.Member{Name: "b", FailureDomain: domain, Size: 1})
				claimed := false
				for began := c.clock.Now(); !claimed && c.clock.Since(began) < 5*time.Second; {
					c.live(DefaultHeartbeatInterval, "b")
					view := newClaimsView(c.board.View())
					claimed = c.delay(northCell, view, 0) <= claimDelay && view.leastLoaded(northCell, nil) != "" && aliveOnly(view, "a", "b")
				}
				require.True(t, claimed)
			})
		}
	}
}

// aliveOnly reports whether no other hosts of the north are candidates for its cell.
func aliveOnly(view *claimsView, names ...string) bool {
	living := map[string]bool{}
	for _, name := range names {
		living[name] = true
	}
	for _, name := range view.active[north] {
		if !living[name] {
			return false
		}
	}
	return true
}

// TestStartingHostThatHearsNobodyTakesItselfForCutOff guards against taking all records for those of gone hosts.
func TestStartingHostThatHearsNobodyTakesItselfForCutOff(t *testing.T) {
	for _, others := range []int{6, 30} {
		c, _ := startAmongGone(t, others)
		c.live(5 * time.Second)
		require.True(t, c.board.View().Isolated)
	}
}

// TestHostThatHeardItsKeeperIsCutOffWithoutIt guards against claiming the cell of a keeper that only this host does not hear.
func TestHostThatHeardItsKeeperIsCutOffWithoutIt(t *testing.T) {
	others := make([]blackboard.Member, 0, fullMeshHosts)
	for i := range fullMeshHosts {
		others = append(others, blackboard.Member{Name: "h" + strconv.Itoa(i), FailureDomain: north, Size: 1})
	}
	c, members := newMembers(t, others...)
	keeper := heartbeatOf(c, "h0", "1")
	keeper.Claims = []peer.Claim{{Cell: northCell, CellCount: 1, Epoch: 1}}
	members.handleHeartbeat(keeper)
	c.live(2*time.Second, "h1", "h2", "h3")
	require.True(t, c.board.View().Isolated)
}

// TestRecordOfAGoneHostCountsForNothing guards against a small fleet that is taken for a large one for good, and a host that
// takes itself for cut off, since hosts were replaced without a planned stop.
func TestRecordOfAGoneHostCountsForNothing(t *testing.T) {
	c, members := startAmongGone(t, 30, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	c.board.claims.Store(&[]peer.Claim{{Cell: northCell, CellCount: 1, Epoch: 1}})
	require.Empty(t, members.Gone())
	c.live(forgetPeerAfter-DefaultHeartbeatInterval, "b")
	require.Empty(t, members.Gone(), "a cut may last as long")
	c.live(longSilence, "b")
	require.Len(t, members.Gone(), 30)
	view := c.board.View()
	require.Equal(t, 2, view.Size())
	require.Equal(t, 2, view.DomainSize)
	require.False(t, view.Minority)
	members.HostWritten("gone0")
	require.NotContains(t, members.Gone(), "gone0", "a host that writes its record lives")
	members.handleHeartbeat(heartbeatOf(c, "gone1", "1"))
	require.NotContains(t, members.Gone(), "gone1")
}

// TestOneKeeperDropsRecords guards against every host that drops the records of the gone, or one that is cut off.
func TestOneKeeperDropsRecords(t *testing.T) {
	c, members := startAmongGone(t, 30, blackboard.Member{Name: "0", FailureDomain: north, Size: 1})
	c.live(longSilence, "0")
	require.Empty(t, members.Gone(), "it keeps no cell")
	c.board.claims.Store(&[]peer.Claim{{Cell: northCell, CellCount: 1, Epoch: 1}})
	members.publish()
	require.Len(t, members.Gone(), 30)
	other := heartbeatOf(c, "0", "1")
	other.Claims = []peer.Claim{{Cell: peer.CellKey{FailureDomain: south}, CellCount: 1, Epoch: 1}}
	members.handleHeartbeat(other)
	members.publish()
	require.Empty(t, members.Gone(), "another keeper does")
}

// TestPauseOfThisProcessMakesNoHostGone has this host's calls fail before and after it was frozen.
func TestPauseOfThisProcessMakesNoHostGone(t *testing.T) {
	c, members := startAmongGone(t, 3)
	c.board.claims.Store(&[]peer.Claim{{Cell: northCell, CellCount: 1, Epoch: 1}})
	c.live(time.Second)
	c.clock.Advance(2 * forgetPeerAfter)
	members.tick()
	c.live(time.Second)
	require.Zero(t, c.board.View().Gone)
}

// TestKeeperThatHearsNobodyDropsNoRecords guards against a keeper that is cut off from all others, but not from the store, and that
// forgets that it is once their silence is long.
func TestKeeperThatHearsNobodyDropsNoRecords(t *testing.T) {
	for _, count := range []int{5, 30} {
		others, _ := goneHosts(count)
		names := make([]string, 0, count)
		for i := range others {
			names = append(names, others[i].Name)
		}
		c, members := newMembers(t, others...)
		c.board.claims.Store(&[]peer.Claim{{Cell: northCell, CellCount: 1, Epoch: 1}})
		c.live(5*time.Second, names...)
		c.live(longSilence)
		members.publish()
		require.Positive(t, c.board.View().Gone)
		require.Empty(t, members.Gone())
	}
}

// TestFailureDomainThatIsCutOffKeepsItsRecords has a cut that lasts for longer than cuts usually do.
func TestFailureDomainThatIsCutOffKeepsItsRecords(t *testing.T) {
	others, _ := goneHosts(5) // two of them in the north, as this host
	c, members := newMembers(t, others...)
	c.board.claims.Store(&[]peer.Claim{{Cell: northCell, CellCount: 1, Epoch: 1}})
	c.live(5*time.Second, "gone0", "gone1", "gone2", "gone3", "gone4")
	c.live(2*forgetPeerAfter, "gone0")
	require.Equal(t, []string{"gone3"}, members.Gone(), "of the north, where another host is heard")
}

// TestTwoUnansweredCallsMakeNoHostGone guards against dropping the record of a live host that is called rarely.
func TestTwoUnansweredCallsMakeNoHostGone(t *testing.T) {
	others, _ := goneHosts(30)
	c, members := newMembers(t, others...)
	c.board.claims.Store(&[]peer.Claim{{Cell: northCell, CellCount: 1, Epoch: 1}})
	members.handleHeartbeat(heartbeatOf(c, "gone1", "1"))
	members.handleMissed("gone7", context.DeadlineExceeded)
	for range int(forgetPeerAfter/DefaultHeartbeatInterval) + 1 {
		c.clock.Advance(DefaultHeartbeatInterval)
		members.tick()
	}
	members.handleHeartbeat(heartbeatOf(c, "gone1", "1"))
	members.handleMissed("gone7", context.DeadlineExceeded)
	members.publish()
	require.Zero(t, c.board.View().Gone)
	require.Empty(t, members.Gone())
}
