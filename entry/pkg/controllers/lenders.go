package controllers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/lending"
)

const (
	// maxRemoteLenders bounds the hosts of other failure domains that are asked for slots.
	maxRemoteLenders = 12
	// localRoundTrip and remoteRoundTrip are the round trips assumed until calls have measured them.
	localRoundTrip  = 200 * time.Microsecond
	remoteRoundTrip = 2 * time.Millisecond
)

// lendersOf returns this host, the live hosts of its failure domain and some of other domains, the nearest first.
func lendersOf(members *blackboard.MemberTable, self string) []lending.LenderHost {
	own := members.ByName[self]
	local := []lending.LenderHost{{Name: self, FailureDomain: own.FailureDomain}}
	var remote []lending.LenderHost
	for name, member := range members.ByName {
		switch {
		case name == self || !member.Alive || member.Leaving:
		case member.FailureDomain == own.FailureDomain:
			local = append(local, lending.LenderHost{Name: name, FailureDomain: member.FailureDomain, RoundTrip: localRoundTrip})
		default:
			remote = append(remote, lending.LenderHost{Name: name, FailureDomain: member.FailureDomain, RoundTrip: remoteRoundTrip})
		}
	}
	order := func(a, b lending.LenderHost) int {
		return cmp.Compare(xxhash.Sum64String(self+a.Name), xxhash.Sum64String(self+b.Name))
	}
	slices.SortFunc(local[1:], order)
	slices.SortFunc(remote, order)
	return append(local, remote[:min(len(remote), maxRemoteLenders)]...)
}

// setShares sets this host's share of each back end:
// its size relative to that of all live hosts in the group's failure domains.
func setShares(group *blackboard.Group, domains map[string]bool, members *blackboard.MemberTable, self string) {
	total := 0
	for name, member := range members.ByName {
		if name == self || (domains[member.FailureDomain] && member.Alive && !member.Leaving) {
			total += max(1, member.Size)
		}
	}
	own := members.ByName[self]
	size := max(1, own.Size)
	total = max(total, size)
	for name, backend := range group.Backends {
		// The hash spreads the remainders of the division over the hosts.
		offset := int(xxhash.Sum64String(name+self) % uint64(total))
		backend.Share = (backend.Slots*size + offset) / total
	}
}
