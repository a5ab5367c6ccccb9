package controllers

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/platform"
)

const (
	// readLimit is the maximum number of records in one read of the log.
	readLimit = 500
	// readWait is how long one read of the log or the host list waits for a change.
	readWait = 5 * time.Second
	// snapshotSpread is the maximum random delay of a host's snapshot once one is due.
	snapshotSpread = 30 * time.Second
	// firstBackoff and lastBackoff bound the exponential backoff after a failed read from the platform.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// ConfigurationLog reads the configuration stream and appends snapshots to it.
type ConfigurationLog interface {
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.Batch, error)
	Append(ctx context.Context, stream string, data any) (int64, error)
}

// EvacuationObserver is notified when other failure domains are evacuated than before.
type EvacuationObserver interface {
	EvacuationsChanged()
}

// ConfigurationController reads configuration records from the log, merges newer states from peers
// and puts the result in force.
type ConfigurationController struct {
	common   *common.Common
	board    *blackboard.Board
	log      ConfigurationLog
	client   *peer.Client
	fetching atomic.Bool // a peer is being called
	observer EvacuationObserver

	mu         sync.Mutex
	reader     *configuration.Reader
	snapshots  *configuration.Snapshots
	snapshotAt time.Time // when this host writes a snapshot, unless another one was written before
}

// NewConfigurationController returns a controller and registers its method with the peer server.
func NewConfigurationController(
	c *common.Common,
	board *blackboard.Board,
	log ConfigurationLog,
	client *peer.Client,
	server *peer.Server,
) *ConfigurationController {
	controller := &ConfigurationController{
		common:    c.Prefixed("configuration"),
		board:     board,
		log:       log,
		client:    client,
		reader:    configuration.NewReader(configuration.NewState()),
		snapshots: configuration.NewSnapshots(),
	}
	peer.Handle(server, peer.MethodDelta, controller.serveDelta)
	return controller
}

// Observe sets the observer of evacuations; it must be called before Serve.
func (c *ConfigurationController) Observe(observer EvacuationObserver) {
	c.observer = observer
}

// Serve follows the log until the context ends.
func (c *ConfigurationController) Serve(ctx context.Context) {
	backoff := newBackoff(c.common)
	for ctx.Err() == nil {
		if err := c.follow(ctx); err != nil && ctx.Err() == nil {
			c.common.Log.WithError(err).Warn("cannot read the log; the current configuration stays in force")
			backoff.wait(ctx)
			continue
		}
		backoff.reset()
	}
}

func (c *ConfigurationController) follow(ctx context.Context) error {
	c.mu.Lock()
	from := c.reader.From()
	c.mu.Unlock()
	batch, err := c.log.Read(ctx, configuration.Stream, from, readLimit, readWait)
	if err != nil {
		return err
	}
	if state := c.feed(batch, from); state != nil {
		c.snapshot(ctx, state)
	}
	return nil
}

// feed applies the batch and returns the state if a snapshot of it is due now.
func (c *ConfigurationController) feed(batch *platform.Batch, from int64) *configuration.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reader.From() != from {
		return nil // a peer's state was merged during the read; the batch does not continue it
	}
	before := c.reader.State()
	searching := c.reader.Searching()
	c.reader.Feed(batch)
	if c.reader.Searching() && !searching {
		c.common.Log.WithField("next", before.Next).WithField("first", batch.First).
			Warn("the log dropped unread records; searching for a snapshot")
	}
	if c.reader.State() != before {
		c.apply(c.reader.State(), "log")
	}
	now := c.common.Clock.Now()
	c.snapshots.Observe(batch, now)
	return c.snapshotDue(now)
}

// snapshotDue returns the state once a snapshot is due.
// The delay is random, so that usually only one host writes it.
func (c *ConfigurationController) snapshotDue(now time.Time) *configuration.State {
	if c.reader.Searching() || !c.snapshots.Due(c.reader.State(), now) {
		c.snapshotAt = time.Time{}
		return nil
	}
	if c.snapshotAt.IsZero() {
		c.snapshotAt = now.Add(rand.N(snapshotSpread))
	}
	if now.Before(c.snapshotAt) {
		return nil
	}
	c.snapshotAt = time.Time{}
	return c.reader.State()
}

func (c *ConfigurationController) snapshot(ctx context.Context, state *configuration.State) {
	record := configuration.Record{Type: configuration.RecordSnapshot, Author: c.common.Settings.Name, State: state}
	if _, err := c.log.Append(ctx, configuration.Stream, record); err != nil {
		c.common.Log.WithError(err).Warn("cannot write a snapshot; another host or a later attempt will")
		return
	}
	c.common.Log.WithField("next", state.Next).Info("snapshot written")
}

func (c *ConfigurationController) apply(state *configuration.State, source string) {
	before := c.board.Configuration.Load().State.EvacuatedDomains()
	c.board.Configuration.Store(blackboard.NewConfigurationIndex(state))
	c.updateAccounts(state)
	c.common.Log.WithField("next", state.Next).WithField("source", source).Info("configuration is in force")
	if now := state.EvacuatedDomains(); !slices.Equal(before, now) {
		c.common.ReportEvacuations(before, now, source)
		c.observer.EvacuationsChanged()
	}
}

// updateAccounts applies the weights and quotas of the documents in force.
func (c *ConfigurationController) updateAccounts(state *configuration.State) {
	c.board.Dispatch.Lock()
	defer c.board.Dispatch.Unlock()
	for name, accepted := range state.Owners {
		account, ok := c.board.Dispatch.Accounts[name]
		if !ok {
			account = &blackboard.Account{Name: name}
			c.board.Dispatch.Accounts[name] = account
		}
		account.Weight = max(1, accepted.Document.Weight)
		account.MaxWait = accepted.Document.Quota.Queued
		if account.MaxWait == 0 {
			account.MaxWait = c.common.Settings.Policy.Queued
		}
		account.MaxRun = accepted.Document.Quota.Running
	}
}

// backoff delays retries exponentially, with jitter so that hosts do not retry in step.
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
