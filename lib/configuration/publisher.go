package configuration

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"chervilusher.dev/lib/platform"
)

// readLimit bounds the records of one read, and retryDelay spaces the tries of a publisher while the log is away.
const (
	readLimit  = 500
	retryDelay = 250 * time.Millisecond
)

// ErrOutcomeLost means that the log dropped the record before its outcome could be read; the state shows what is in force.
var ErrOutcomeLost = errors.New("the log no longer keeps the published record")

// Log is the part of the log service that a publisher needs; logservice.Client has it.
type Log interface {
	Append(ctx context.Context, stream string, data any) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.Batch, error)
}

// Publisher publishes documents, and finds out what became of one whose answer was lost before it tries again.
type Publisher struct {
	log    Log
	clock  clockwork.Clock
	reader *Reader
}

// publication is one document on its way into the log.
type publication struct {
	record   Record
	appended bool // at least one append was tried
	missed   bool // the log dropped records that were not read since
	found    *Decision
}

// NewPublisher returns a publisher that folds the stream from the state on; NewState folds it from the start.
func NewPublisher(log Log, clock clockwork.Clock, state *State) *Publisher {
	return &Publisher{log: log, clock: clock, reader: NewReader(state)}
}

// State returns the state as last read.
func (p *Publisher) State() *State {
	return p.reader.State()
}

// CatchUp reads the stream to its end and returns the state.
func (p *Publisher) CatchUp(ctx context.Context) (*State, error) {
	if err := p.catchUp(ctx, &publication{}); err != nil {
		return nil, err
	}
	return p.reader.State(), nil
}

// Publish appends the record and returns the decision on it; it tries until the context ends, and an error means that the outcome is not known.
func (p *Publisher) Publish(ctx context.Context, record Record) (Decision, error) {
	if record.Publish == "" || record.Document == nil {
		return Decision{}, errors.New("a record to publish needs an identifier and a document")
	}
	record.Type = RecordPublish
	publishing := &publication{record: record}
	for {
		err := p.attempt(ctx, publishing)
		if publishing.found != nil {
			return *publishing.found, nil
		}
		if errors.Is(err, ErrOutcomeLost) {
			return Decision{}, err
		}
		select {
		case <-ctx.Done():
			if err == nil {
				err = ctx.Err()
			}
			return Decision{}, errors.Wrapf(err, "publish %s has no known outcome", record.Publish)
		case <-p.clock.After(retryDelay):
		}
	}
}

// attempt looks for the record in the log, and appends it only when the log was read to its end without finding it.
func (p *Publisher) attempt(ctx context.Context, publishing *publication) error {
	if err := p.catchUp(ctx, publishing); err != nil || publishing.found != nil {
		return err
	}
	if publishing.appended && publishing.missed {
		return ErrOutcomeLost
	}
	publishing.appended = true
	if _, err := p.log.Append(ctx, Stream, publishing.record); err != nil {
		return err
	}
	return p.catchUp(ctx, publishing)
}

// catchUp folds the stream to its end and notes the decision on the publication if it passed by.
func (p *Publisher) catchUp(ctx context.Context, publishing *publication) error {
	for {
		batch, err := p.log.Read(ctx, Stream, p.reader.From(), readLimit, 0)
		if err != nil {
			return err
		}
		decisions := p.reader.Feed(batch)
		publishing.missed = publishing.missed || p.reader.Searching()
		publishing.note(decisions)
		if p.reader.From() >= batch.Next {
			break
		}
	}
	if publishing.found == nil && publishing.record.Publish != "" {
		publishing.found = recall(p.reader.State(), publishing.record.Publish)
	}
	return nil
}

// note keeps the decision that brought a version: a repeated append of an accepted record is rejected.
func (p *publication) note(decisions []Decision) {
	for _, decision := range decisions {
		if decision.Publish == "" || decision.Publish != p.record.Publish {
			continue
		}
		if p.found == nil || decision.Version > 0 {
			p.found = &decision
		}
	}
}

// recall looks for the publish identifier in a state, which may come from a snapshot.
func recall(state *State, publish string) *Decision {
	for name, accepted := range state.Owners {
		if accepted.Publish == publish {
			return &Decision{Offset: accepted.Offset, Publish: publish, Owner: name, Version: accepted.Version}
		}
	}
	for _, rejection := range state.Rejections {
		if rejection.Publish == publish {
			return &Decision{Offset: rejection.Offset, Publish: publish, Owner: rejection.Owner, Reason: rejection.Reason}
		}
	}
	return nil
}
