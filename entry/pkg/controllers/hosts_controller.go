package controllers

import (
	"context"
	"maps"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/lib/platform"
)

// HostReader reads the platform's host list.
type HostReader interface {
	Read(ctx context.Context, since int64, wait time.Duration) (*platform.HostList, error)
}

// HostObserver is told when the host list has changed.
type HostObserver interface {
	HostsChanged()
}

// HostsController follows the host list and tells the observers.
type HostsController struct {
	common    *common.Common
	board     *blackboard.Board
	list      HostReader
	observers []HostObserver
}

// NewHostsController returns the controller.
func NewHostsController(c *common.Common, board *blackboard.Board, list HostReader, observers ...HostObserver) *HostsController {
	return &HostsController{common: c.Prefixed("hosts"), board: board, list: list, observers: observers}
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
	list, err := h.list.Read(ctx, current.Version, readWait)
	if err != nil {
		return err
	}
	next := &blackboard.HostTable{Version: list.Version, Read: h.common.Clock.Now(), ByName: current.ByName}
	changed := list.Full || len(list.Hosts) > 0
	if changed {
		next.ByName = mergeHosts(current.ByName, list)
	}
	h.board.Hosts.Store(next)
	if !changed {
		return nil
	}
	for _, observer := range h.observers {
		observer.HostsChanged()
	}
	return nil
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
