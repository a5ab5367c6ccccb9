package controllers

import (
	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/platform"
)

// SlotAllocator decides which slots of which back ends this host may use.
type SlotAllocator interface {
	// BackendsChanged is called with the dispatch lock held after back ends were added, removed or changed.
	BackendsChanged()
}

// Values of the lending policy in the settings.
const (
	lendingLoans  = "loans"
	lendingShared = "shared"
)

// NewSlotAllocator returns the allocator that the settings select; loans is the lending controller.
func NewSlotAllocator(c *common.Common, board *blackboard.Board, loans SlotAllocator) SlotAllocator {
	switch c.Settings.Policy.Lending {
	case lendingLoans:
		return loans
	case lendingShared:
		return NewSharedAllocator(board)
	default:
		return NewFixedAllocator(c, board)
	}
}

// Assigner starts waiting tasks after grants have changed, and carries decisions out.
type Assigner interface {
	AssignAll()
	Run(effects dispatch.Effects)
}

// BackendsController keeps the groups' back ends in line with the host list.
type BackendsController struct {
	common    *common.Common
	board     *blackboard.Board
	engine    *dispatch.Engine
	allocator SlotAllocator
	assigner  Assigner
}

// NewBackendsController returns a controller for the board's groups.
func NewBackendsController(
	c *common.Common,
	board *blackboard.Board,
	engine *dispatch.Engine,
	allocator SlotAllocator,
	assigner Assigner,
) *BackendsController {
	return &BackendsController{common: c.Prefixed("backends"), board: board, engine: engine, allocator: allocator, assigner: assigner}
}

// HostsChanged updates the endpoints and workers from the host list.
func (b *BackendsController) HostsChanged() {
	hosts := b.board.Hosts.Load()
	entryHosts := len(b.board.Members.Load().ByName)
	b.board.Dispatch.Lock()
	for _, host := range hosts.ByName {
		if host.Role == platform.RoleMinion || host.Role == platform.RoleWorker {
			b.update(&host, entryHosts)
		}
	}
	b.removeMissing(hosts)
	b.allocator.BackendsChanged()
	b.board.Dispatch.Unlock()
	b.assigner.AssignAll()
}

// EvacuationsChanged closes the back ends of evacuated failure domains, opens those that were taken back, and ends jobs
// that wait for closed ones alone.
func (b *BackendsController) EvacuationsChanged() {
	b.HostsChanged()
	b.board.Dispatch.Lock()
	effects := b.engine.DropEvacuated()
	b.board.Dispatch.Unlock()
	b.assigner.Run(effects)
}

// MembersChanged makes the allocator divide the slots among the changed members.
func (b *BackendsController) MembersChanged() {
	b.board.Dispatch.Lock()
	b.allocator.BackendsChanged()
	b.engine.Sync()
	b.board.Dispatch.Unlock()
	b.assigner.AssignAll()
}

func (b *BackendsController) update(host *platform.Host, entryHosts int) {
	group := b.engine.Group(host.Group)
	group.Role = host.Role
	backend, ok := group.Backends[host.Name]
	if !ok {
		backend = &blackboard.Backend{Name: host.Name, Group: host.Group, Role: host.Role}
		group.Backends[host.Name] = backend
	}
	if host.State == platform.HostLeaving && !backend.Leaving {
		b.common.Log.WithField("backend", host.Name).Info("back end is leaving; it gets no new tasks")
	}
	backend.Address = host.Address
	backend.FailureDomain = host.Place
	backend.Rack = host.Rack
	backend.Leaving = host.State == platform.HostLeaving
	backend.Evacuated = b.board.Configuration.Load().State.IsEvacuated(host.Place)
	backend.Slots = slotsOf(host)
	backend.Connections = connectionsOf(host, entryHosts)
	backend.Cores = host.Cores
	backend.Memory = host.Memory
	backend.Accelerators = host.Accelerators
}

// removeMissing removes back ends that left the list; tasks that still run there keep their own pointers.
func (b *BackendsController) removeMissing(hosts *blackboard.HostTable) {
	for _, group := range b.board.Dispatch.Groups {
		for name, backend := range group.Backends {
			if _, ok := hosts.ByName[name]; ok {
				continue
			}
			backend.Leaving = true
			delete(group.Backends, name)
		}
	}
}

// slotsOf returns the host's slots; a worker without any has one for each core.
func slotsOf(host *platform.Host) int {
	if host.Role == platform.RoleWorker && host.Slots == 0 {
		return max(1, int(host.Cores))
	}
	return max(1, host.Slots)
}

// connectionsOf divides a back end's connections among the entry hosts; each may open as many as it could borrow slots.
func connectionsOf(host *platform.Host, entryHosts int) int {
	if host.Connections == 0 {
		return 0
	}
	return max(1, min(host.Slots, host.Connections), host.Connections/max(1, entryHosts))
}
