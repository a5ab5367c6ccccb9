package cellhost

import (
	"context"
	"sync/atomic"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

// BootstrapController lets a host that starts while the directory cannot be read fetch it from the peers that call
// it.
type BootstrapController struct {
	common    *common.Common
	board     *Board
	client    *peer.Client
	directory *DirectoryController
	members   *MembersController
	fetching  atomic.Bool
}

// NewBootstrapController returns the controller and adds its method to the peer server.
func NewBootstrapController(
	c *common.Common,
	board *Board,
	client *peer.Client,
	server *peer.Server,
	directory *DirectoryController,
	members *MembersController,
) *BootstrapController {
	controller := &BootstrapController{
		common:    c.Prefixed("introduction"),
		board:     board,
		client:    client,
		directory: directory,
		members:   members,
	}
	peer.Handle(server, peer.MethodDirectory, controller.serve)
	return controller
}

// PeerCalled fetches the directory from a calling peer if this host has not read it yet.
func (i *BootstrapController) PeerCalled(ctx context.Context, address string) {
	if _, known := i.members.HostsKnownSince(); known || address == "" || !i.fetching.CompareAndSwap(false, true) {
		return
	}
	defer i.fetching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	response, err := peer.Call[peer.DirectoryRequest, peer.DirectoryResponse](ctx, i.client, address, peer.MethodDirectory, &peer.DirectoryRequest{})
	if err != nil {
		i.common.Log.WithField("peer", address).WithError(err).Warn("failed to fetch the directory from peer")
		return
	}
	if _, known := i.members.HostsKnownSince(); known || len(response.Hosts) == 0 {
		return
	}
	i.apply(response)
	i.common.Log.WithField("peer", address).WithField("hosts", len(response.Hosts)).WithField("workers", len(response.Workers)).
		Info("fetched the directory from a peer, since it cannot be read")
}

func (i *BootstrapController) apply(response *peer.DirectoryResponse) {
	hosts := make([]blackboard.Member, 0, len(response.Hosts))
	keepers := make(map[string]bool, len(response.Hosts))
	for index := range response.Hosts {
		host := &response.Hosts[index]
		if err := host.Check(); err != nil {
			i.common.Log.WithField("record", host.Name).WithError(err).Warn("cannot use a host's record")
			continue
		}
		hosts = append(hosts, blackboard.Member{Name: host.Name, Address: host.Address, FailureDomain: host.FailureDomain, Size: host.Size})
		keepers[host.Name] = host.IsKeeper
	}
	i.directory.Apply(&DirectoryChange{Entries: listedEntries(response.Workers)})
	i.members.SetHosts(hosts, keepers)
}

func (i *BootstrapController) serve(context.Context, *peer.DirectoryRequest) (*peer.DirectoryResponse, error) {
	response := &peer.DirectoryResponse{}
	if _, known := i.members.HostsKnownSince(); !known {
		return response, nil
	}
	view := i.board.View()
	for name := range view.Hosts {
		host := view.Hosts[name]
		if host.Gone {
			continue
		}
		response.Hosts = append(response.Hosts, peer.HostInfo{
			Name:          name,
			Address:       host.Address,
			FailureDomain: host.FailureDomain,
			Size:          host.Size,
			IsKeeper:      host.IsKeeper(),
		})
	}
	workers := i.board.Workers()
	response.Workers = make([]peer.WorkerInfo, 0, len(workers))
	for id := range workers {
		response.Workers = append(response.Workers, workers[id])
	}
	return response, nil
}
