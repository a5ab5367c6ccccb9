package cellhost

import (
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/peer"
)

const (
	// rebalanceFactor is the part of a keeper's load up to which another host may be loaded after it takes over a
	// cell; the hysteresis keeps cells from moving back and forth between hosts with nearly the same load for their
	// size.
	rebalanceFactor = 0.6
	// roundingMargin makes loads count as equal that differ by rounding alone.
	roundingMargin = 1e-9
	// rebalanceDelay is how long a keeper must be overloaded, so that a host that stops again at once takes nothing
	// over.
	rebalanceDelay = 2 * time.Second
)

// rebalance returns the cell of this host's failure domain that is to be taken over so that the domain's hosts have
// about the same load for their size, and the host that takes it over. The domain's free cells go first; those of
// other domains do not matter, as a host without a cell seldom hears their keepers.
func (c *ClaimsController) rebalance(view *claimsView, cellCounts map[string]int, free []peer.CellKey) (key peer.CellKey, to string, found bool) {
	if slices.ContainsFunc(free, func(other peer.CellKey) bool { return other.FailureDomain == c.options.FailureDomain }) {
		return key, "", false
	}
	most := 0.0
	for cell, keeper := range view.keepers {
		if cell.FailureDomain != c.options.FailureDomain || view.Hosts[keeper.host].FailureDomain != cell.FailureDomain {
			continue
		}
		load := view.loadFor(keeper.host, cellCounts[keeper.host])
		if load > most || (load == most && cell.Index < key.Index) {
			key, most = cell, load
		}
	}
	if most == 0 {
		return key, "", false
	}
	to = view.leastLoaded(key, cellCounts)
	return key, to, to != view.keepers[key].host && view.loadFor(to, cellCounts[to]+1) <= rebalanceFactor*most*(1+roundingMargin)
}

// isRebalance reports whether the cell would be taken over from a live host of its own failure domain.
func (c *ClaimsController) isRebalance(key peer.CellKey, view *claimsView) bool {
	host, _, found := view.keeper(key)
	return found && view.Hosts[host].FailureDomain == key.FailureDomain
}
