package controllers

import (
	"cmp"
	"slices"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/lib/platform"
)

// FixedAllocator gives each host of a failure domain a fixed share of the domain's endpoints,
// in proportion to the host's size.
type FixedAllocator struct {
	common *common.Common
	board  *blackboard.Board
}

// NewFixedAllocator returns an allocator for the board's endpoints.
func NewFixedAllocator(c *common.Common, board *blackboard.Board) *FixedAllocator {
	return &FixedAllocator{common: c, board: board}
}

// BackendsChanged divides the slots again; the dispatch lock is held.
func (f *FixedAllocator) BackendsChanged() {
	members := f.domainMembers()
	for _, group := range f.board.Dispatch.Groups {
		for _, backend := range group.Backends {
			if backend.Role == platform.RoleMinion {
				backend.Granted = f.shareOf(backend, members)
			}
		}
	}
}

func (f *FixedAllocator) domainMembers() []blackboard.Member {
	var members []blackboard.Member
	for _, member := range f.board.Members.Load().ByName {
		if member.FailureDomain == f.common.Settings.FailureDomain && member.Alive && !member.Leaving {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b blackboard.Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// shareOf divides the back end's slots by the cumulative sizes of the hosts, so that the shares add up to all slots.
func (f *FixedAllocator) shareOf(backend *blackboard.Backend, members []blackboard.Member) int {
	if backend.FailureDomain != f.common.Settings.FailureDomain {
		return 0
	}
	total := 0
	for _, member := range members {
		total += member.Size
	}
	before := 0
	for _, peer := range members {
		after := before + peer.Size
		if peer.Name == f.common.Settings.Name {
			return backend.Slots*after/total - backend.Slots*before/total
		}
		before = after
	}
	return 0
}
