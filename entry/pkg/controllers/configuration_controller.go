package controllers

import (
	"context"
	"math/rand/v2"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/platform"
)

const (
	// readLimit is how many records one read of the log asks for.
	readLimit = 500
	// readWait is how long one read of the log waits for the first record.
	readWait = 5 * time.Second
	// firstBackoff and lastBackoff bound the exponential delay after a failed read of the platform.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// LogReader reads a stream of the platform's log.
type LogReader interface {
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.Batch, error)
}

// ConfigurationController folds the log's configuration records and puts the outcome in force.
type ConfigurationController struct {
	common *common.Common
	board  *blackboard.Board
	log    LogReader
}

// NewConfigurationController returns the controller.
func NewConfigurationController(c *common.Common, board *blackboard.Board, log LogReader) *ConfigurationController {
	return &ConfigurationController{common: c.Prefixed("configuration"), board: board, log: log}
}

// Serve follows the log until the context ends.
func (c *ConfigurationController) Serve(ctx context.Context) {
	backoff := newBackoff(c.common)
	for ctx.Err() == nil {
		if err := c.follow(ctx); err != nil && ctx.Err() == nil {
			c.common.Log.WithError(err).Warn("cannot read the log; what is in force stays so")
			backoff.wait(ctx)
			continue
		}
		backoff.reset()
	}
}

func (c *ConfigurationController) follow(ctx context.Context) error {
	state := c.board.Configuration.Load().State
	batch, err := c.log.Read(ctx, configuration.Stream, state.Next, readLimit, readWait)
	if err != nil {
		return err
	}
	if len(batch.Records) == 0 {
		return nil
	}
	for _, record := range batch.Records {
		state = state.Apply(record)
	}
	c.put(state)
	return nil
}

func (c *ConfigurationController) put(state *configuration.State) {
	c.board.Configuration.Store(blackboard.NewDirectory(state))
	c.board.Dispatch.Lock()
	defer c.board.Dispatch.Unlock()
	for name, accepted := range state.Owners {
		owner, ok := c.board.Dispatch.Owners[name]
		if !ok {
			owner = &blackboard.Owner{Name: name}
			c.board.Dispatch.Owners[name] = owner
		}
		owner.Weight = max(1, accepted.Document.Weight)
		owner.MaxWait = accepted.Document.Quota.Queued
		if owner.MaxWait == 0 {
			owner.MaxWait = c.common.Settings.Policy.Queued
		}
		owner.MaxRun = accepted.Document.Quota.Running
	}
	c.common.Log.WithField("next", state.Next).Info("configuration is in force")
}

// backoff delays retries exponentially, with jitter so that hosts do not retry together.
type backoff struct {
	common *common.Common
	delay  time.Duration
}

func newBackoff(c *common.Common) *backoff {
	return &backoff{common: c, delay: firstBackoff}
}

func (b *backoff) reset() {
	b.delay = firstBackoff
}

func (b *backoff) wait(ctx context.Context) {
	jittered := b.delay/2 + rand.N(b.delay/2+1)
	b.delay = min(2*b.delay, lastBackoff)
	select {
	case <-ctx.Done():
	case <-b.common.Clock.After(jittered):
	}
}
