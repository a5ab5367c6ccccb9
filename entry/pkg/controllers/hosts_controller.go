package controllers

import (
	"context"
	"maps"
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/lib/platform"
)

// hostsTimeout bounds one request for a peer's host list.
const hostsTimeout = 5 * time.Second

// HostReader reads the platform's host list.
type HostReader interface {
	Read(ctx context.Context, since int64, wait time.Duration) (*platform.HostList, error)
}

// HostObserver is notified when the host list has changed.
type HostObserver interface {
	HostsChanged()
}

// HostsController follows the host list and notifies the observers of changes.
type HostsController struct {
	common    *common.Common
	board     *blackboard.Board
	reader    HostReader
	client    *peer.Client
	observers []HostObserver
}

// NewHostsController returns a controller and registers its method with the peer server.
func NewHostsController(
	c *common.Common,
	board *blackboard.Board,
	list HostReader,
	client *peer.Client,
	server *peer.Server,
	observers ...HostObserver,
) *HostsController {
	controller := &HostsController{common: c.Prefixed("hosts"), board: board, reader: list, client: client, observers: observers}
	peer.Handle(server, peer.MethodHosts, controller.serveHosts)
	return controller
}

// FetchIfNewer fetches the host list from a peer, but only while this host has never read one.
func (h *HostsController) FetchIfNewer(ctx context.Context, address string, version int64) {
	if version == 0 || h.board.Hosts.Load().Version > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	response, err := peer.Call[peer.HostsRequest, peer.HostsResponse](ctx, h.client, address, peer.MethodHosts, &peer.HostsRequest{})
	if err != nil {
		h.common.Log.WithError(err).Debug("cannot fetch the host list from a peer")
		return
	}
	if h.board.Hosts.Load().Version > 0 {
		return
	}
	h.common.Log.WithField("peer", address).Info("fetched the host list from a peer")
	h.apply(&response.List)
}

func (h *HostsController) serveHosts(context.Context, *peer.HostsRequest) (*peer.HostsResponse, error) {
	table := h.board.Hosts.Load()
	list := platform.HostList{Version: table.Version, Full: true, Hosts: slices.Collect(maps.Values(table.ByName))}
	return &peer.HostsResponse{List: list}, nil
}

// Serve follows the host list until the context ends.
func (h *HostsController) Serve(ctx context.Context) {
	backoff := newBackoff(h.common)
	for ctx.Err() == nil {
		if err := h.follow(ctx); err != nil && ctx.Err() == nil {
			h.common.Log.WithError(err).Warn("cannot read the host list; the last one stays in use")
			backoff.wait(ctx)
			continue
		}
		backoff.reset()
	}
}

func (h *HostsController) follow(ctx context.Context) error {
	current := h.board.Hosts.Load()
	list, err := h.reader.Read(ctx, current.Version, readWait)
	if err != nil {
		return err
	}
	h.apply(list)
	return nil
}

// apply merges the list into the table and notifies the observers of a change.
func (h *HostsController) apply(list *platform.HostList) {
	current := h.board.Hosts.Load()
	next := &blackboard.HostTable{Version: list.Version, Read: h.common.Clock.Now(), ByName: current.ByName}
	changed := list.Full || len(list.Hosts) > 0
	if changed {
		next.ByName = mergeHosts(current.ByName, list)
	}
	h.board.Hosts.Store(next)
	if !changed {
		return
	}
	for _, observer := range h.observers {
		observer.HostsChanged()
	}
}

func mergeHosts(current map[string]platform.Host, list *platform.HostList) map[string]platform.Host {
	merged := map[string]platform.Host{}
	if !list.Full {
		merged = maps.Clone(current)
	}
	for _, host := range list.Hosts {
		if host.State == platform.HostGone {
			delete(merged, host.Name)
			continue
		}
		merged[host.Name] = host
	}
	return merged
}
