package controllers

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/lib/configuration"
)

// deltaTimeout bounds one request for a peer's newer configuration.
const deltaTimeout = 2 * time.Second

// FetchIfNewer fetches and merges the changes of a peer whose configuration is newer.
// The log delivers the same changes, so a call is made only while the log lags.
func (c *ConfigurationController) FetchIfNewer(ctx context.Context, address string, next int64) {
	from := c.board.Configuration.Load().State.Next
	if next <= from || !c.fetching.CompareAndSwap(false, true) {
		return
	}
	defer c.fetching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, deltaTimeout)
	defer cancel()
	response, err := peer.Call[peer.DeltaRequest, peer.DeltaResponse](ctx, c.client, address, peer.MethodDelta, &peer.DeltaRequest{From: from})
	if err != nil {
		c.common.Log.WithError(err).Debug("cannot fetch newer configuration from a peer")
		return
	}
	var delta configuration.Delta
	if err := json.Unmarshal(response.Delta, &delta); err != nil {
		c.common.Log.WithError(err).Warn("cannot parse a peer's configuration")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reader.Merge(&delta) {
		c.apply(c.reader.State(), address)
	}
}

func (c *ConfigurationController) serveDelta(_ context.Context, request *peer.DeltaRequest) (*peer.DeltaResponse, error) {
	raw, err := json.Marshal(c.board.Configuration.Load().State.Since(request.From))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &peer.DeltaResponse{Delta: raw}, nil
}
