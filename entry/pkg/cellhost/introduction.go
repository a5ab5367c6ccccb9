package cellhost

import (
	"context"
	"sync/atomic"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

// BootstrapController lets a host that starts while the directory cannot be read learn it from the peers that call it.
type BootstrapController struct {
	common    *common.Common
	board     *Board
	client    *peer.Client
	directory *DirectoryController
	members   *MembersController
	asking    atomic.Bool
}

// NewBootstrapController returns the controller and adds its method to the server of peers.
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

// PeerCalled takes in that a peer with that address has called; it is asked for the directory if this host has not read it.
func (i *BootstrapController) PeerCalled(ctx context.Context, address string) {
	if _, known := i.members.HostsKnownSince(); known || address == "" || !i.asking.CompareAndSwap(false, true) {
		return
	}
	defer i.asking.Store(false)
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	response, err := peer.Call[peer.DirectoryRequest, peer.DirectoryResponse](ctx, i.client, address, peer.MethodDirectory, &peer.DirectoryRequest{})
	if err != nil {
		i.common.Log.WithField("peer", address).WithError(err).Warn("cannot take the directory from a peer")
		return
	}
	if _, known := i.members.HostsKnownSince(); known || len(response.Hosts) == 0 {
		return
	}
	i.take(response)
	i.common.Log.WithField("peer", address).WithField("hosts", len(response.Hosts)).WithField("workers", len(response.Workers)).
		Info("took the directory from a peer, since it cannot be read")
}

func (i *BootstrapController) take(response *peer.DirectoryResponse) {
	hosts := make([]blackboard.Member, 0, len(response.Hosts))
	keepers := make(map[string]bool, len(response.Hosts))
	for _, host := range response.Hosts {
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
