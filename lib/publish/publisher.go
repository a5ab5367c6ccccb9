package publish

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/platform"
)

const (
	// readLimit is how many records one read asks for.
	readLimit = 256
	// appendAttempts is how often a record is appended while its answer is lost.
	appendAttempts = 5
	// firstDelay is the delay before the second attempt; it doubles each time.
	firstDelay = 100 * time.Millisecond
)

// Log is the part of the log service that a publisher needs.
type Log interface {
	Append(ctx context.Context, stream string, data any) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.Batch, error)
}

// Publisher publishes documents and reads the accepted state from the log.
type Publisher struct {
	log   Log
	clock clockwork.Clock
}

// Outcome is what became of one publish record; exactly one of its fields is set.
type Outcome struct {
	Accepted *configuration.Accepted  `json:"accepted,omitempty"`
	Rejected *configuration.Rejection `json:"rejected,omitempty"`
}

// Change is one record of an owner's history.
type Change struct {
	Offset  int64     `json:"offset"`
	Time    time.Time `json:"time"`
	Version int64     `json:"version,omitempty"` // zero if the record was rejected
	Base    int64     `json:"base"`
	Publish string    `json:"publish"`
	Author  string    `json:"author"`
	Reason  string    `json:"reason,omitempty"` // why it was rejected
}

// New returns a publisher that writes to and reads from the log.
func New(log Log, clock clockwork.Clock) *Publisher {
	return &Publisher{log: log, clock: clock}
}

// State returns the configuration that the log's records add up to.
func (p *Publisher) State(ctx context.Context) (*configuration.State, error) {
	return p.fold(ctx, configuration.NewState(), func(platform.Record, *configuration.Record, *configuration.State) bool {
		return false
	})
}

// History returns the owner's records that the log still keeps, oldest first.
func (p *Publisher) History(ctx context.Context, owner string) ([]Change, error) {
	changes := []Change{}
	_, err := p.fold(ctx, configuration.NewState(), func(raw platform.Record, record *configuration.Record, after *configuration.State) bool {
		if record.Type == configuration.RecordPublish && record.Document != nil && record.Document.Owner == owner {
			changes = append(changes, describe(raw, record, after))
		}
		return false
	})
	return changes, err
}

// Publish appends the record and returns what became of it; when an answer is lost it looks for the record in the log before it appends again.
func (p *Publisher) Publish(ctx context.Context, record configuration.Record) (*Outcome, error) {
	if record.Publish == "" || record.Document == nil {
		return nil, errors.New("the record needs a publish identifier and a document")
	}
	before, err := p.State(ctx)
	if err != nil {
		return nil, err
	}
	var last error
	for attempt := range appendAttempts {
		_, last = p.log.Append(ctx, configuration.Stream, record)
		outcome, err := p.find(ctx, before, record.Publish)
		if err == nil && outcome != nil {
			return outcome, nil
		}
		if err != nil {
			last = err
		}
		if !p.pause(ctx, firstDelay<<attempt) {
			return nil, errors.WithStack(ctx.Err())
		}
	}
	return nil, errors.Wrapf(last, "publish %s may or may not be in the log; look for it in the history", record.Publish)
}

// find returns what became of the first record with the publish identifier, or nil if the log does not hold it.
func (p *Publisher) find(ctx context.Context, before *configuration.State, publish string) (*Outcome, error) {
	var found *Outcome
	_, err := p.fold(ctx, before, func(raw platform.Record, record *configuration.Record, after *configuration.State) bool {
		if record.Publish != publish {
			return false
		}
		found = outcomeOf(raw, record, after)
		return true
	})
	return found, err
}

// fold applies all records from the state's next offset on, and stops after the record for which visit returns true.
func (p *Publisher) fold(
	ctx context.Context, state *configuration.State,
	visit func(platform.Record, *configuration.Record, *configuration.State) bool,
) (*configuration.State, error) {
	from := state.Next
	for {
		batch, err := p.log.Read(ctx, configuration.Stream, from, readLimit, 0)
		if err != nil {
			return nil, err
		}
		for _, raw := range batch.Records {
			state = state.Apply(raw)
			from = raw.Offset + 1
			var record configuration.Record
			if err := json.Unmarshal(raw.Data, &record); err != nil {
				continue
			}
			if visit(raw, &record, state) {
				return state, nil
			}
		}
		if len(batch.Records) == 0 || from >= batch.Next {
			return state, nil
		}
	}
}

func (p *Publisher) pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(length):
		return true
	}
}

func describe(raw platform.Record, record *configuration.Record, after *configuration.State) Change {
	change := Change{
		Offset: raw.Offset, Time: raw.Time, Base: record.Base, Publish: record.Publish, Author: record.Author,
	}
	outcome := outcomeOf(raw, record, after)
	if outcome.Accepted != nil {
		change.Version = outcome.Accepted.Version
		return change
	}
	change.Reason = outcome.Rejected.Reason
	return change
}

// outcomeOf reads from the state right after a record whether it was accepted.
func outcomeOf(raw platform.Record, record *configuration.Record, after *configuration.State) *Outcome {
	if record.Document != nil {
		accepted := after.Owners[record.Document.Owner]
		if accepted != nil && accepted.Offset == raw.Offset {
			return &Outcome{Accepted: accepted}
		}
	}
	for _, rejection := range after.Rejections {
		if rejection.Offset == raw.Offset {
			return &Outcome{Rejected: &rejection}
		}
	}
	return &Outcome{Rejected: &configuration.Rejection{
		Offset: raw.Offset, Publish: record.Publish, Author: record.Author, Reason: "the record was not accepted",
	}}
}
