package controllers

import (
	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/platform"
)

// SharedAllocator lets every host use all slots of all endpoints; the endpoints refuse tasks beyond their own limit.
// It is a baseline for comparisons.
type SharedAllocator struct {
	board *blackboard.Board
}

// NewSharedAllocator returns an allocator for the board's endpoints.
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
