package cellhost

import (
	"github.com/cespare/xxhash/v2"

	"chervilusher.dev/entry/pkg/peer"
)

// hostClaim is a host with its claim of a cell.
type hostClaim struct {
	host  string
	claim peer.Claim
}

// claimsView is a view with its claims by cell. It is built once per check of the claims: a search of all hosts for
// each cell would cost hosts times cells.
type claimsView struct {
	*View
	keepers      map[peer.CellKey]hostClaim // the live host, not leaving, whose claim outranks the others
	leavingCells map[peer.CellKey]bool      // cells whose keeper is live and leaving
	active       map[string][]string        // live hosts that are not leaving, by failure domain
}

func newClaimsView(view *View) *claimsView {
	found := &claimsView{
		View:         view,
		keepers:      map[peer.CellKey]hostClaim{},
		leavingCells: map[peer.CellKey]bool{},
		active:       map[string][]string{},
	}
	for name := range view.Hosts {
		state := view.Hosts[name]
		if !state.Alive {
			continue
		}
		if !state.Leaving {
			found.active[state.FailureDomain] = append(found.active[state.FailureDomain], name)
		}
		for _, claim := range state.Claims {
			if state.Leaving {
				found.leavingCells[claim.Cell] = true
			} else {
				found.addClaim(name, claim)
			}
		}
	}
	return found
}

// addClaim records a host's claim of a cell.
func (h *claimsView) addClaim(host string, claim peer.Claim) {
	best, ok := h.keepers[claim.Cell]
	if !ok || h.outranks(host, claim, best.host, best.claim) {
		h.keepers[claim.Cell] = hostClaim{host: host, claim: claim}
	}
}

// keeper returns the live host that keeps the cell, and its claim.
func (h *claimsView) keeper(key peer.CellKey) (host string, claim peer.Claim, found bool) {
	best, found := h.keepers[key]
	return best.host, best.claim, found
}

// candidates returns the live hosts that may claim a cell of the failure domain: its own, or those of all domains if
// it has none.
func (h *claimsView) candidates(domain string) []string {
	if own := h.active[domain]; len(own) > 0 {
		return own
	}
	var all []string
	for _, names := range h.active {
		all = append(all, names...)
	}
	return all
}

// leastLoaded returns the candidate that would have the fewest cells for its size.
func (h *claimsView) leastLoaded(key peer.CellKey, cellCounts map[string]int) string {
	best := ""
	bestLoad, bestScore := 0.0, uint64(0)
	for _, name := range h.candidates(key.FailureDomain) {
		load := h.loadFor(name, cellCounts[name]+1)
		score := xxhash.Sum64String(name + "\x00" + key.FailureDomain)
		if best == "" || load < bestLoad || (load == bestLoad && score > bestScore) {
			best, bestLoad, bestScore = name, load, score
		}
	}
	return best
}

// loadFor returns the load of a host that keeps the given number of cells, relative to its size.
func (h *claimsView) loadFor(host string, cells int) float64 {
	return float64(cells) / float64(max(1, h.Hosts[host].Size))
}
