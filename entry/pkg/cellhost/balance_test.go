package cellhost

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilusher.dev/entry/pkg/peer"
)

// domainFleet is the hosts of one failure domain, each with its own claims controller, which hear each other at once.
type domainFleet struct {
	hosts     map[string]*claimant
	takeovers int // cells that were taken over
}

// newDomainFleet returns hosts of the given sizes, of which the first keeps all cells.
func newDomainFleet(cells int, sizes ...int) *domainFleet {
	d := &domainFleet{hosts: map[string]*claimant{}}
	for i := range sizes {
		d.hosts[hostName(i)] = newClaimant(hostName(i), north)
	}
	all := make([]peer.Claim, 0, cells)
	for index := range cells {
		all = append(all, peer.Claim{Cell: peer.CellKey{FailureDomain: north, Index: index}, CellCount: cells, Epoch: 1})
	}
	for _, c := range d.hosts {
		c.cells[north] = cells
		c.view.Complete = true
		for i, size := range sizes {
			c.addHost(hostName(i), north, size)
		}
	}
	d.publish(hostName(0), all)
	return d
}

func hostName(index int) string {
	return fmt.Sprintf("host%02d", index)
}

// publish has all hosts hear of a host's claims.
func (d *domainFleet) publish(name string, claims []peer.Claim) {
	d.hosts[name].board.claims.Store(&claims)
	for _, c := range d.hosts {
		state := c.view.Hosts[name]
		state.Claims = claims
		c.view.Hosts[name] = state
	}
}

// advance lets time pass for all hosts, which read the directory meanwhile.
func (d *domainFleet) advance(length time.Duration) {
	for range length / claimInterval {
		for _, name := range slices.Sorted(maps.Keys(d.hosts)) {
			c := d.hosts[name]
			c.clock.Advance(claimInterval)
			c.readAt(c.clock.Now())
			before := c.board.Claims()
			claims := c.claims(newClaimsView(c.view), c.clock.Now())
			d.takeovers += max(0, len(claims)-len(before))
			d.publish(name, claims)
		}
	}
}

// cellCounts returns how many cells each host keeps, in the order of the hosts.
func (d *domainFleet) cellCounts() []int {
	counts := make([]int, len(d.hosts))
	for i := range counts {
		counts[i] = len(d.hosts[hostName(i)].board.Claims())
	}
	return counts
}

// TestOneHostKeepsAllCellsOfAPlace has the large hosts of a failure domain return after a rolling stop, in which a
// medium one took over all cells: it must not keep three times the load that its processor can carry.
func TestOneHostKeepsAllCellsOfAPlace(t *testing.T) {
	d := newDomainFleet(3, 480, 480, 800, 800, 144, 144, 144)
	d.advance(3 * rebalanceDelay)
	require.Equal(t, []int{1, 0, 1, 1, 0, 0, 0}, d.cellCounts())
	require.Equal(t, 2, d.takeovers)
	d.advance(time.Minute)
	require.Equal(t, 2, d.takeovers, "cells that are spread by size must stay")
}

// TestOnlyCellMovesFromASmallHostToALargeOne has a host keep a cell that is too large for it, since it was the first
// to start.
func TestOnlyCellMovesFromASmallHostToALargeOne(t *testing.T) {
	d := newDomainFleet(1, 144, 800)
	d.advance(rebalanceDelay - claimInterval)
	require.Equal(t, []int{1, 0}, d.cellCounts(), "a host that stops again at once takes nothing")
	d.advance(3 * claimInterval)
	require.Equal(t, []int{0, 1}, d.cellCounts())
}

// TestCellsOfAPlaceSettle runs hosts of random sizes: after a few takeovers no host has far more load for its size
// than another would.
func TestCellsOfAPlaceSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 1000), 1, 8).Draw(t, "sizes")
		cells := rapid.IntRange(1, 6).Draw(t, "cells")
		d := newDomainFleet(cells, sizes...)
		d.advance(time.Duration(2*cells) * (rebalanceDelay + 4*claimInterval))
		settled := d.takeovers
		d.advance(3 * rebalanceDelay)
		require.Equal(t, settled, d.takeovers)
		require.LessOrEqual(t, settled, 2*cells)
		for i, kept := range d.cellCounts() {
			for j, others := range d.cellCounts() {
				if i != j {
					require.Greater(t, float64(others+1)/float64(sizes[j]), rebalanceFactor*float64(kept)/float64(sizes[i]))
				}
			}
		}
	})
}

// TestPlaceIsSpreadThoughKeepersElsewhereAreUnknown has hosts of a large fleet that hear the keepers of their own
// failure domain and few others.
func TestPlaceIsSpreadThoughKeepersElsewhereAreUnknown(t *testing.T) {
	d := newDomainFleet(2, 480, 800)
	for _, c := range d.hosts {
		c.cells[south] = 3
		c.addHost("s", south, 800)
	}
	d.advance(2 * rebalanceDelay)
	require.Equal(t, []int{1, 1}, d.cellCounts())
}

// TestCellStaysWhereTheDirectoryCannotBeRead has the store unavailable: a host that took a cell over could not use
// its workers.
func TestCellStaysWhereTheDirectoryCannotBeRead(t *testing.T) {
	d := newDomainFleet(2, 400, 400)
	c := d.hosts[hostName(1)]
	c.readAt(c.clock.Now())
	require.Empty(t, c.after(time.Minute))
}

// TestHostInAMinorityTakesNoCellOver cuts a host off from most others: it cannot know their load.
func TestHostInAMinorityTakesNoCellOver(t *testing.T) {
	d := newDomainFleet(2, 400, 400)
	c := d.hosts[hostName(1)]
	c.view.Minority = true
	c.readAt(c.clock.Now().Add(time.Minute))
	require.Empty(t, c.after(isolatedDelay-time.Millisecond))
}

// TestKeeperThatIsHeardNowAndThenIsRelieved has an overloaded keeper answer only some heartbeats, so that the host
// that is to take a cell over sees itself as isolated in between.
func TestKeeperThatIsHeardNowAndThenIsRelieved(t *testing.T) {
	d := newDomainFleet(2, 480, 800)
	c := d.hosts[hostName(1)]
	show := func(heard bool) {
		keeper := c.view.Hosts[hostName(0)]
		keeper.Alive = heard
		c.view.Hosts[hostName(0)] = keeper
		c.view.Minority, c.view.Isolated, c.view.Complete = !heard, !heard, heard
		c.readAt(c.clock.Now())
		c.after(0)
	}
	for at := time.Duration(0); at < rebalanceDelay+time.Second; at += 100 * time.Millisecond {
		show(at%time.Second < 300*time.Millisecond)
		c.clock.Advance(100 * time.Millisecond)
	}
	require.Len(t, c.board.Claims(), 1)
}
