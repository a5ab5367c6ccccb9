package cellhost

import (
	"github.com/cespare/xxhash/v2"

	"chervilusher.dev/entry/pkg/peer"
)

// holder is a host with its claim of a cell.
type holder struct {
	host  string
	claim peer.Claim
}

// holders is a view with its claims by cell. It is made once for each look at the claims: to search all hosts for each cell would cost hosts times cells.
type holders struct {
	*View
	keepers map[peer.CellKey]holder // hosts that live and stay; the one whose claim outranks the others
	leavers map[peer.CellKey]bool   // cells that a live host keeps which is leaving
	staying map[string][]string     // hosts that live and stay, by place
}

func newHolders(view *View) *holders {
	found := &holders{
		View:    view,
		keepers: map[peer.CellKey]holder{},
		leavers: map[peer.CellKey]bool{},
		staying: map[string][]string{},
	}
	for name := range view.Hosts {
		neighbour := view.Hosts[name]
		if !neighbour.Alive {
			continue
		}
		if !neighbour.Leaving {
			found.staying[neighbour.FailureDomain] = append(found.staying[neighbour.FailureDomain], name)
		}
		for _, claim := range neighbour.Claims {
			if neighbour.Leaving {
				found.leavers[claim.Cell] = true
			} else {
				found.offer(name, claim)
			}
		}
	}
	return found
}

// offer takes in that a host claims a cell.
func (h *holders) offer(host string, claim peer.Claim) {
	best, ok := h.keepers[claim.Cell]
	if !ok || h.outranks(host, claim, best.host, best.claim) {
		h.keepers[claim.Cell] = holder{host: host, claim: claim}
	}
}

// keeper returns the live host that keeps the cell, and its claim.
func (h *holders) keeper(key peer.CellKey) (host string, claim peer.Claim, found bool) {
	best, found := h.keepers[key]
	return best.host, best.claim, found
}

// candidates returns the live hosts that may claim a cell of the place: its own, or those of all places where it has none.
func (h *holders) candidates(place string) []string {
	if near := h.staying[place]; len(near) > 0 {
		return near
	}
	var all []string
	for _, names := range h.staying {
		all = append(all, names...)
	}
	return all
}

// leastLoaded returns the candidate that keeps the fewest cells for its size.
func (h *holders) leastLoaded(key peer.CellKey, carried map[string]int) string {
	best := ""
	bestLoad, bestScore := 0.0, uint64(0)
	for _, name := range h.candidates(key.FailureDomain) {
		load := h.loadFor(name, carried[name]+1)
		score := xxhash.Sum64String(name + "\x00" + key.FailureDomain)
		if best == "" || load < bestLoad || (load == bestLoad && score > bestScore) {
			best, bestLoad, bestScore = name, load, score
		}
	}
	return best
}

// loadFor returns what a host that keeps so many cells carries for its size.
func (h *holders) loadFor(host string, cells int) float64 {
	return float64(cells) / float64(max(1, h.Hosts[host].Size))
}
