package cellhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/peer"
)

// leastTime returns the shortest time that one of several calls takes, which other processes disturb least.
func leastTime(do func()) time.Duration {
	least := time.Hour
	for range 10 {
		began := time.Now()
		do()
		least = min(least, time.Since(began))
	}
	return least
}

// TestLookAtClaimsGrowsNoFasterThanTheFleet holds what each host spends on claims against the size of its fleet: ten times
// the hosts, workers and cells may cost ten times as much, with room for a larger working set, but not their product.
func TestLookAtClaimsGrowsNoFasterThanTheFleet(t *testing.T) {
	small, large := newFleet(100), newFleet(1000)
	require.Less(t, leastTime(large.tick), 30*leastTime(small.tick))
}

// TestKeeperOfALargeFleetKeepsExactlyItsCell has a host take a cell over and checks its workers against each worker's own cell.
func TestKeeperOfALargeFleetKeepsExactlyItsCell(t *testing.T) {
	c := newFleet(100)
	claims := c.view.Hosts["host005"].Claims
	require.Len(t, claims, 1)
	wanted := c.wanted(claims)
	for id, info := range c.board.Workers() {
		got, kept := wanted[id]
		require.Equal(t, cellOf(id, info.FailureDomain, c.cells[info.FailureDomain]) == claims[0].Cell, kept)
		if kept {
			require.Equal(t, assignedWorker{info: info, epoch: claims[0].Epoch}, got)
		}
	}
}

// TestLayoutFollowsWorkersAndCells has workers come and go, and a place get one more cell.
func TestLayoutFollowsWorkersAndCells(t *testing.T) {
	c := newFleet(30)
	place := fleetPlace(0)
	total := func(cells int) (count int) {
		for _, key := range c.keys() {
			if key.FailureDomain == place && key.Index < cells {
				count += len(c.layout.cellWorkers(key, cells))
			}
		}
		return count
	}
	cells := c.cells[place]
	require.Equal(t, 60, total(cells))
	c.cells[place]++
	require.Equal(t, 60, total(cells+1))
	fewer := infos("a", "b")
	fewer[0].FailureDomain = place
	c.directory.Apply(&DirectoryChange{Entries: listedEntries(fewer), Snapshot: true, Next: 1})
	require.Equal(t, 1, total(cells+1))
	require.Equal(t, map[string]int{place: 1, north: 1}, c.layout.workersPerDomain())
}

// TestFollowersAreSpreadAfterALossOfAPlacesKeepers has all keepers of a place go at once: each of its cells gets another follower there.
func TestFollowersAreSpreadAfterALossOfAPlacesKeepers(t *testing.T) {
	c := newFleet(300)
	lost := 0
	for name, neighbour := range c.view.Hosts {
		if neighbour.FailureDomain == fleetPlace(0) && neighbour.IsKeeper() {
			neighbour.Alive = false
			c.view.Hosts[name] = neighbour
			lost++
		}
	}
	require.Positive(t, lost)
	followers := c.successors(newClaimsView(c.view))
	require.Len(t, followers, lost)
	seen := map[string]bool{}
	for key, name := range followers {
		require.Equal(t, key.FailureDomain, c.view.Hosts[name].FailureDomain)
		require.True(t, c.view.Hosts[name].Alive)
		require.False(t, seen[name], fmt.Sprint(name, " follows twice"))
		seen[name] = true
	}
}

// TestClaimOfAbsurdlyManyCellsIsBounded has a heartbeat say that a place has more cells than could ever be looked at.
func TestClaimOfAbsurdlyManyCellsIsBounded(t *testing.T) {
	c := newFleet(30)
	first := peer.Claim{Cell: peer.CellKey{FailureDomain: fleetPlace(1)}, CellCount: 1 << 40, Epoch: 1 << 60}
	c.addHost("host001", fleetPlace(1), 100, first)
	c.tick()
	require.LessOrEqual(t, len(c.keys()), maxCells+fleetPlaces*cellsFor(30*workersPerHost/fleetPlaces, 1))
}
