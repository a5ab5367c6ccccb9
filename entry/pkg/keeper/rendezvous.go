package keeper

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"chervilusher.dev/entry/pkg/blackboard"
)

// Of returns the name of the member that owns the back end, or "" without one:
// the live host of its failure domain with the highest weighted rendezvous score.
func Of(backend, domain string, members *blackboard.MemberTable) string {
	best := ""
	bestScore := 0.0
	for name, member := range members.ByName {
		if member.FailureDomain != domain || !member.Alive || member.Leaving {
			continue
		}
		scored := score(backend, name, member.Size)
		if best == "" || scored > bestScore || (scored == bestScore && name < best) {
			best = name
			bestScore = scored
		}
	}
	return best
}

// score returns the weighted rendezvous score: a host of twice the size is assigned twice as many back ends.
func score(backend, host string, size int) float64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(host)
	_, _ = hash.WriteString("\x00")
	_, _ = hash.WriteString(backend)
	const mantissaBits = 53
	uniform := (float64(hash.Sum64()>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return float64(size) / -math.Log(uniform)
}
