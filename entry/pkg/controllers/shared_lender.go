package controllers

import (
	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/platform"
)

// SharedLender lets every host use all slots of all minions; the minions' own limit refuses what is too much. It is a baseline.
type SharedLender struct {
	board *blackboard.Board
}

// NewSharedLender returns the lender.
func NewSharedLender(board *blackboard.Board) *SharedLender {
	return &SharedLender{board: board}
}

// BackendsChanged grants all slots; the dispatch lock is held.
func (s *SharedLender) BackendsChanged() {
	for _, group := range s.board.Dispatch.Groups {
		for _, backend := range group.Backends {
			if backend.Role == platform.RoleMinion {
				backend.Granted = backend.Slots
			}
		}
	}
}
