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

// district is the hosts of one place, each with its own claims controller, which hear each other at once.
type district struct {
	hosts map[string]*claimant
	moves int // cells that were taken over
}

// newDistrict returns hosts of the given sizes, of which the first keeps all cells.
func newDistrict(cells int, sizes ...int) *district {
	d := &district{hosts: map[string]*claimant{}}
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
	d.show(hostName(0), all)
	return d
}

func hostName(index int) string {
	return fmt.Sprintf("host%02d", index)
}

// show has all hosts hear of a host's claims.
func (d *district) show(name string, claims []peer.Claim) {
	d.hosts[name].board.claims.Store(&claims)
	for _, c := range d.hosts {
		neighbour := c.view.Hosts[name]
		neighbour.Claims = claims
		c.view.Hosts[name] = neighbour
	}
}

// pass lets time go by for all hosts, which read the directory meanwhile.
func (d *district) pass(length time.Duration) {
	for range length / claimInterval {
		for _, name := range slices.Sorted(maps.Keys(d.hosts)) {
			c := d.hosts[name]
			c.clock.Advance(claimInterval)
			c.readAt(c.clock.Now())
			before := c.board.Claims()
			claims := c.claims(newClaimsView(c.view), c.clock.Now())
			d.moves += max(0, len(claims)-len(before))
			d.show(name, claims)
		}
	}
}

// keeps returns how many cells each host keeps, in the order of the hosts.
func (d *district) keeps() []int {
	counts := make([]int, len(d.hosts))
	for i := range counts {
		counts[i] = len(d.hosts[hostName(i)].board.Claims())
	}
	return counts
}

// TestOneHostKeepsAllCellsOfAPlace has the large hosts of a place return after a rolling stop, in which a middling one took
// all cells over: it must not go on alone with three times what its processor carries.
func TestOneHostKeepsAllCellsOfAPlace(t *testing.T) {
	d := newDistrict(3, 480, 480, 800, 800, 144, 144, 144)
	d.pass(3 * rebalanceDelay)
	require.Equal(t, []int{1, 0, 1, 1, 0, 0, 0}, d.keeps())
	require.Equal(t, 2, d.moves)
	d.pass(time.Minute)
	require.Equal(t, 2, d.moves, "cells of a place that is spread by size must stay")
}

// TestSmallHostIsRelievedOfItsOnlyCell has a host keep a cell that is too small for it, since it was the first to start.
func TestSmallHostIsRelievedOfItsOnlyCell(t *testing.T) {
	d := newDistrict(1, 144, 800)
	d.pass(rebalanceDelay - claimInterval)
	require.Equal(t, []int{1, 0}, d.keeps(), "a host that stops again at once takes nothing")
	d.pass(3 * claimInterval)
	require.Equal(t, []int{0, 1}, d.keeps())
}

// TestCellsOfAPlaceSettle plays hosts of any sizes: cells change hands a few times at most, and then none carries far more
// for its size than another one would.
func TestCellsOfAPlaceSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 1000), 1, 8).Draw(t, "sizes")
		cells := rapid.IntRange(1, 6).Draw(t, "cells")
		d := newDistrict(cells, sizes...)
		d.pass(time.Duration(2*cells) * (rebalanceDelay + 4*claimInterval))
		settled := d.moves
		d.pass(3 * rebalanceDelay)
		require.Equal(t, settled, d.moves)
		require.LessOrEqual(t, settled, 2*cells)
		for i, kept := range d.keeps() {
			for j, others := range d.keeps() {
				if i != j {
					require.Greater(t, float64(others+1)/float64(sizes[j]), rebalanceFactor*float64(kept)/float64(sizes[i]))
				}
			}
		}
	})
}

// TestPlaceIsSpreadThoughKeepersElsewhereAreUnknown has a host of a large fleet start, which hears the keepers of its own
// place and few others.
func TestPlaceIsSpreadThoughKeepersElsewhereAreUnknown(t *testing.T) {
	d := newDistrict(2, 480, 800)
	for _, c := range d.hosts {
		c.cells[south] = 3
		c.addHost("s", south, 800)
	}
	d.pass(2 * rebalanceDelay)
	require.Equal(t, []int{1, 1}, d.keeps())
}

// TestCellStaysWhereTheDirectoryCannotBeRead has the store be away: a host that took a cell over could not use its workers.
func TestCellStaysWhereTheDirectoryCannotBeRead(t *testing.T) {
	d := newDistrict(2, 400, 400)
	c := d.hosts[hostName(1)]
	c.readAt(c.clock.Now())
	require.Empty(t, c.after(time.Minute))
}

// TestHostThatHearsFewOthersRelievesNone has a host be cut off from most others: it cannot tell what they carry.
func TestHostThatHearsFewOthersRelievesNone(t *testing.T) {
	d := newDistrict(2, 400, 400)
	c := d.hosts[hostName(1)]
	c.view.Minority = true
	c.readAt(c.clock.Now().Add(time.Minute))
	require.Empty(t, c.after(isolatedDelay-time.Millisecond))
}

// TestKeeperThatIsHeardNowAndThenIsRelieved has a keeper with too much work answer some heartbeats only, so that the host
// that is to relieve it takes itself for cut off in between.
func TestKeeperThatIsHeardNowAndThenIsRelieved(t *testing.T) {
	d := newDistrict(2, 480, 800)
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
