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
	// attempts is how often a publisher turns to the log while it fails or its answers are lost.
	attempts = 5
	// firstDelay is the delay before the second attempt; it doubles each time.
	firstDelay = 100 * time.Millisecond
)

// ErrOutcomeLost means that the log dropped records, the published one perhaps among them, before they could be read.
var ErrOutcomeLost = errors.New("the log dropped records before the outcome could be read; the state shows what is in force")

// ErrOutcomeUnknown means that a record was sent and that the log did not tell what became of it.
var ErrOutcomeUnknown = errors.New("the record may or may not be in the log; look for it in the history")

// Log is the part of the log service that a publisher needs.
type Log interface {
	Append(ctx context.Context, stream string, data any) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.Batch, error)
}

// Publisher publishes documents and reads the accepted state from the log.
type Publisher struct {
	log   Log
	clock clockwork.Clock
	known func() *configuration.State
}

// Outcome is what became of one record; exactly one of its fields is set.
type Outcome struct {
	Accepted   *configuration.Accepted   `json:"accepted,omitempty"`
	Evacuation *configuration.Evacuation `json:"evacuation,omitempty"`
	Rejected   *configuration.Rejection  `json:"rejected,omitempty"`
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
	return NewFrom(log, clock, configuration.NewState)
}

// NewFrom returns a publisher that publishes on top of a state that is known already, and reads only what the log holds after it.
func NewFrom(log Log, clock clockwork.Clock, known func() *configuration.State) *Publisher {
	return &Publisher{log: log, clock: clock, known: known}
}

// State returns the configuration that the log's records add up to.
func (p *Publisher) State(ctx context.Context) (*configuration.State, error) {
	follower := newFollower(p.log, p.known(), "")
	if err := follower.catchUp(ctx); err != nil {
		return nil, err
	}
	if follower.reader.Searching() {
		return nil, errors.New("the log no longer keeps its first records and holds no snapshot yet; ask an entry host for the state")
	}
	return follower.reader.State(), nil
}

// History returns the owner's records that the log still keeps, oldest first.
func (p *Publisher) History(ctx context.Context, owner string) ([]Change, error) {
	changes := []Change{}
	follower := newFollower(p.log, configuration.NewState(), "")
	follower.visit = func(raw platform.Record, decision configuration.Decision) {
		if decision.Owner == owner && decision.Publish != "" {
			changes = append(changes, describe(raw, decision))
		}
	}
	return changes, follower.catchUp(ctx)
}

// Publish appends the record of a document and returns what became of it.
func (p *Publisher) Publish(ctx context.Context, record configuration.Record) (*Outcome, error) {
	if record.Publish == "" || record.Document == nil {
		return nil, errors.New("the record needs a publish identifier and a document")
	}
	record.Type = configuration.RecordPublish
	outcome, err := p.write(ctx, &record)
	if err != nil {
		return nil, err
	}
	return p.earliest(ctx, &record, outcome), nil
}

// Evacuate appends the record of an evacuation, or of its end, and returns what became of it.
func (p *Publisher) Evacuate(ctx context.Context, record configuration.Record) (*Outcome, error) {
	if record.Publish == "" || record.Domain == "" {
		return nil, errors.New("the record needs a publish identifier and a failure domain")
	}
	record.Type = configuration.RecordEvacuation
	return p.write(ctx, &record)
}

// write appends the record and returns its outcome; when an answer is lost it looks for the record in the log before it appends again.
func (p *Publisher) write(ctx context.Context, record *configuration.Record) (*Outcome, error) {
	follower := newFollower(p.log, p.known(), record.Publish)
	var last error
	for attempt := range attempts {
		last = follower.attempt(ctx, record)
		if follower.outcome != nil {
			return follower.outcome, nil
		}
		if errors.Is(last, ErrOutcomeLost) {
			return nil, last
		}
		if !p.pause(ctx, firstDelay<<attempt) {
			break
		}
	}
	if follower.appended {
		return nil, errors.Wrapf(ErrOutcomeUnknown, "publish %s: %v", record.Publish, last)
	}
	return nil, errors.Wrapf(last, "publish %s was not sent", record.Publish)
}

// earliest returns what became of the record's first copy, if it was accepted before the known state and another version followed it.
func (p *Publisher) earliest(ctx context.Context, record *configuration.Record, outcome *Outcome) *Outcome {
	if outcome.Rejected == nil || p.known().Next == 0 {
		return outcome
	}
	changes, err := p.History(ctx, record.Document.Owner)
	if err != nil {
		return outcome
	}
	for _, change := range changes {
		if change.Publish == record.Publish && change.Version > 0 {
			return &Outcome{Accepted: &configuration.Accepted{
				Version: change.Version, Offset: change.Offset, Publish: change.Publish, Author: change.Author, Document: *record.Document,
			}}
		}
	}
	return outcome
}

func (p *Publisher) pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(length):
		return true
	}
}

func describe(raw platform.Record, decision configuration.Decision) Change {
	var record configuration.Record
	_ = json.Unmarshal(raw.Data, &record) // the fold has parsed it before
	return Change{
		Offset: raw.Offset, Time: raw.Time, Base: record.Base, Publish: record.Publish, Author: record.Author,
		Version: decision.Version, Reason: decision.Reason,
	}
}
