package controllers

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/lib/configuration"
)

// deltaTimeout bounds one question for a peer's newer configuration.
const deltaTimeout = 2 * time.Second

// FetchIfNewer takes what changed from a peer whose configuration is newer; the log brings the same, so that it is worth a call only while the log lags.
func (c *ConfigurationController) FetchIfNewer(ctx context.Context, address string, next int64) {
	from := c.board.Configuration.Load().State.Next
	if next <= from || !c.asking.CompareAndSwap(false, true) {
		return
	}
	defer c.asking.Store(false)
	ctx, cancel := context.WithTimeout(ctx, deltaTimeout)
	defer cancel()
	response, err := peer.Call[peer.DeltaRequest, peer.DeltaResponse](ctx, c.client, address, peer.MethodDelta, &peer.DeltaRequest{From: from})
	if err != nil {
		c.common.Log.WithError(err).Debug("cannot take newer configuration from a peer")
		return
	}
	var delta configuration.Delta
	if err := json.Unmarshal(response.Delta, &delta); err != nil {
		c.common.Log.WithError(err).Warn("a peer's configuration does not parse")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reader.Merge(&delta) {
		c.put(c.reader.State(), address)
	}
}

func (c *ConfigurationController) serveDelta(_ context.Context, request *peer.DeltaRequest) (*peer.DeltaResponse, error) {
	raw, err := json.Marshal(c.board.Configuration.Load().State.Since(request.From))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &peer.DeltaResponse{Delta: raw}, nil
}
