package cellhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/peer"
)

// shortestTime returns the shortest time of several calls, which other processes disturb least.
func shortestTime(do func()) time.Duration {
	least := time.Hour
	for range 10 {
		began := time.Now()
		do()
		least = min(least, time.Since(began))
	}
	return least
}

// TestClaimCheckCostGrowsNoFasterThanTheFleet compares the cost of a claim check with the size of the fleet: ten
// times the hosts, workers and cells may cost ten times as much, with a margin for a larger working set, but not
// their product.
func TestClaimCheckCostGrowsNoFasterThanTheFleet(t *testing.T) {
	small, large := newFleet(100), newFleet(1000)
	require.Less(t, shortestTime(large.tick), 30*shortestTime(small.tick))
}

// TestKeeperOfALargeFleetKeepsExactlyItsCell compares the wanted workers of a claim with each worker's own cell.
func TestKeeperOfALargeFleetKeepsExactlyItsCell(t *testing.T) {
	c := newFleet(100)
	claims := c.view.Hosts["host005"].Claims
	require.Len(t, claims, 1)
	wanted := c.wanted(claims, newClaimsView(c.view))
	for id, info := range c.board.Workers() {
		got, kept := wanted[id]
		require.Equal(t, cellOf(id, info.FailureDomain, c.cells[info.FailureDomain]) == claims[0].Cell, kept)
		if kept {
			require.Equal(t, assignedWorker{info: info, epoch: claims[0].Epoch}, got)
		}
	}
}

// TestLayoutIsRecomputedWhenWorkersOrCellsChange adds a cell to a failure domain and replaces its workers.
func TestLayoutIsRecomputedWhenWorkersOrCellsChange(t *testing.T) {
	c := newFleet(30)
	domain := fleetDomain(0)
	total := func(cells int) (count int) {
		for _, key := range c.keys() {
			if key.FailureDomain == domain && key.Index < cells {
				count += len(c.layout.cellWorkers(key, cells))
			}
		}
		return count
	}
	cells := c.cells[domain]
	require.Equal(t, 60, total(cells))
	c.cells[domain]++
	require.Equal(t, 60, total(cells+1))
	fewer := workerInfos("a", "b")
	fewer[0].FailureDomain = domain
	c.directory.Apply(&DirectoryChange{Entries: listedEntries(fewer), Snapshot: true, Next: 1})
	require.Equal(t, 1, total(cells+1))
	require.Equal(t, map[string]int{domain: 1, north: 1}, c.layout.workersPerDomain())
}

// TestSuccessorsAreSpreadAfterAllKeepersOfAFailureDomainFail checks that each cell gets another successor in the
// domain.
func TestSuccessorsAreSpreadAfterAllKeepersOfAFailureDomainFail(t *testing.T) {
	c := newFleet(300)
	lost := 0
	for name, state := range c.view.Hosts {
		if state.FailureDomain == fleetDomain(0) && state.IsKeeper() {
			state.Alive = false
			c.view.Hosts[name] = state
			lost++
		}
	}
	require.Positive(t, lost)
	successors := c.successors(newClaimsView(c.view))
	require.Len(t, successors, lost)
	seen := map[string]bool{}
	for key, name := range successors {
		require.Equal(t, key.FailureDomain, c.view.Hosts[name].FailureDomain)
		require.True(t, c.view.Hosts[name].Alive)
		require.False(t, seen[name], fmt.Sprint(name, " is the successor of two cells"))
		seen[name] = true
	}
}

// TestClaimOfAbsurdlyManyCellsIsBounded has a heartbeat claim more cells in a failure domain than could ever be
// checked.
func TestClaimOfAbsurdlyManyCellsIsBounded(t *testing.T) {
	c := newFleet(30)
	first := peer.Claim{Cell: peer.CellKey{FailureDomain: fleetDomain(1)}, CellCount: 1 << 40, Epoch: 1 << 60}
	c.addHost("host001", fleetDomain(1), 100, first)
	c.tick()
	require.LessOrEqual(t, len(c.keys()), maxCells+fleetDomains*cellsFor(30*workersPerHost/fleetDomains, 1))
}
