package operator

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/keeper"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

func (s *Server) status(c echo.Context, who access) error {
	status := &api.Status{Time: s.common.Clock.Now()}
	s.addHosts(status)
	directory := s.board.Configuration.Load()
	status.Configuration = api.ConfigurationStatus{Next: directory.State.Next}
	status.Evacuations = evacuationsOf(directory.State)
	s.board.Dispatch.Lock()
	s.addBackends(status)
	s.addOwners(status, directory)
	s.addQueues(status)
	s.board.Dispatch.Unlock()
	if !who.host {
		restrict(status, directory.Document(who.owner))
	}
	s.addKeepers(status)
	sortStatus(status)
	return c.JSON(http.StatusOK, status)
}

func (s *Server) addHosts(status *api.Status) {
	for _, member := range s.board.Members.Load().ByName {
		host := api.HostStatus{
			Name:        member.Name,
			Place:       member.FailureDomain,
			Address:     member.Address,
			Size:        member.Size,
			Incarnation: member.Incarnation,
			Ready:       readyOf(member.Alive, member.Leaving),
		}
		status.Hosts = append(status.Hosts, host)
	}
	status.Host = api.HostStatus{
		Name:        s.common.Settings.Name,
		Place:       s.common.Settings.FailureDomain,
		Address:     s.common.Settings.Peer.Listen,
		Size:        s.common.Settings.Size,
		Incarnation: s.common.Incarnation,
		Ready:       readyOf(true, s.board.Draining.Load()),
	}
}

// addKeepers works the keepers out without the dispatch lock.
func (s *Server) addKeepers(status *api.Status) {
	members := s.board.Members.Load()
	for i := range status.Minions {
		minion := &status.Minions[i]
		minion.Keeper = keeper.Of(minion.Name, minion.Place, members)
	}
	for i := range status.Workers {
		worker := &status.Workers[i]
		worker.Keeper = keeper.Of(worker.Name, worker.Place, members)
	}
}

// addBackends copies the back ends; the dispatch lock is held.
func (s *Server) addBackends(status *api.Status) {
	for _, group := range s.board.Dispatch.Groups {
		for _, backend := range group.Backends {
			if backend.Role == platform.RoleWorker {
				status.Workers = append(status.Workers, workerStatus(backend))
				continue
			}
			status.Minions = append(status.Minions, api.MinionStatus{BackendStatus: backendStatus(backend)})
		}
	}
}

func (s *Server) addOwners(status *api.Status, directory *blackboard.ConfigurationIndex) {
	for name, owner := range s.board.Dispatch.Accounts {
		status.Owners = append(status.Owners, api.OwnerStatus{
			Owner:   name,
			Version: directory.State.Version(name),
			Weight:  owner.Weight,
			Queued:  owner.Queued,
			Running: owner.Running,
			Refused: owner.Refused,
		})
	}
}

func backendStatus(backend *blackboard.Backend) api.BackendStatus {
	return api.BackendStatus{
		Name:    backend.Name,
		Place:   backend.FailureDomain,
		Group:   backend.Group,
		Ready:   backendReady(backend),
		Slots:   backend.Slots,
		Granted: backend.Granted,
		Used:    backend.Busy,
		Failing: backend.FailureRate,
		Slow:    backend.Slowness,
	}
}

func workerStatus(backend *blackboard.Backend) api.WorkerStatus {
	return api.WorkerStatus{
		BackendStatus: backendStatus(backend),
		Rack:          backend.Rack,
		Fence:         backend.FencingToken,
		Cores:         backend.Cores,
		Memory:        backend.Memory,
		Accelerators:  backend.Accelerators,
	}
}

func backendReady(backend *blackboard.Backend) api.Ready {
	if backend.Ejected {
		return api.ReadyEjected
	}
	if backend.Evacuated {
		return api.ReadyEvacuated
	}
	return readyOf(true, backend.Leaving)
}

func readyOf(alive, leaving bool) api.Ready {
	switch {
	case leaving:
		return api.ReadyDraining
	case alive:
		return api.ReadyYes
	default:
		return api.ReadyNo
	}
}

func sortStatus(status *api.Status) {
	slices.SortFunc(status.Hosts, func(a, b api.HostStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(status.Minions, func(a, b api.MinionStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(status.Workers, func(a, b api.WorkerStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(status.Queues, func(a, b api.QueueStatus) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Pool, b.Pool))
	})
	slices.SortFunc(status.Owners, func(a, b api.OwnerStatus) int { return cmp.Compare(a.Owner, b.Owner) })
}
