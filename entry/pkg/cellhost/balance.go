package cellhost

import (
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/peer"
)

const (
	// reliefFactor is up to which part of a keeper's load another host, with the cell that it takes over, may be loaded;
	// hysteresis keeps cells from moving to and fro between hosts that carry nearly the same for their size.
	reliefFactor = 0.6
	// reliefDelay is for how long a keeper must carry too much, so that a host that stops again at once takes nothing.
	reliefDelay = 2 * time.Second
)

// relief returns the cell of this host's place that is to change hands so that the place's hosts carry about the same for
// their size, and the host that takes it over. The place's cells that are free go first; those of other places do not
// matter, as a host without a cell seldom hears who keeps them.
func (c *ClaimsController) relief(view *holders, carried map[string]int, free []peer.CellKey) (key peer.CellKey, to string, found bool) {
	if slices.ContainsFunc(free, func(other peer.CellKey) bool { return other.FailureDomain == c.options.FailureDomain }) {
		return key, "", false
	}
	most := 0.0
	for cell, kept := range view.keepers {
		if cell.FailureDomain != c.options.FailureDomain || view.Hosts[kept.host].FailureDomain != cell.FailureDomain {
			continue
		}
		load := view.loadFor(kept.host, carried[kept.host])
		if load > most || (load == most && cell.Index < key.Index) {
			key, most = cell, load
		}
	}
	if most == 0 {
		return key, "", false
	}
	to = view.leastLoaded(key, carried)
	return key, to, to != view.keepers[key].host && view.loadFor(to, carried[to]+1) <= reliefFactor*most
}

// isRelief reports whether the cell would be taken over from a live host of its own place.
func (c *ClaimsController) isRelief(key peer.CellKey, view *holders) bool {
	host, _, found := view.keeper(key)
	return found && view.Hosts[host].FailureDomain == key.FailureDomain
}
