package controllers

import (
	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/platform"
)

// SharedAllocator lets every host use all slots of all minions; the minions' own limit refuses what is too much. It is a baseline.
type SharedAllocator struct {
	board *blackboard.Board
}

// NewSharedAllocator returns the lender.
func NewSharedAllocator(board *blackboard.Board) *SharedAllocator {
	return &SharedAllocator{board: board}
}

// BackendsChanged grants all slots; the dispatch lock is held.
func (s *SharedAllocator) BackendsChanged() {
	for _, group := range s.board.Dispatch.Groups {
		for _, backend := range group.Backends {
			if backend.Role == platform.RoleMinion {
				backend.Granted = backend.Slots
			}
		}
	}
}
