package controllers

import (
	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/lib/platform"
)

// MembersController keeps the view of the entry hosts up to date.
type MembersController struct {
	common *common.Common
	board  *blackboard.Board
}

// NewMembersController returns the controller.
func NewMembersController(c *common.Common, board *blackboard.Board) *MembersController {
	return &MembersController{common: c.Prefixed("members"), board: board}
}

// HostsChanged takes the entry hosts over from the host list.
func (m *MembersController) HostsChanged() {
	table := &blackboard.MemberTable{ByName: map[string]blackboard.Member{}}
	for name, host := range m.board.Hosts.Load().ByName {
		if host.Role != platform.RoleEntry {
			continue
		}
		table.ByName[name] = blackboard.Member{
			Name:    name,
			Address: host.Address,
			Place:   host.Place,
			Size:    max(1, host.Size),
			Alive:   true,
			Leaving: host.State == platform.HostLeaving,
			Heard:   m.common.Clock.Now(),
		}
	}
	m.board.Members.Store(table)
}
