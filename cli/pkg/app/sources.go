package app

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"chervilusher.dev/cli/pkg/operator"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/logservice"
	"chervilusher.dev/lib/publish"
)

const (
	// publishAttempts is how often a publish is sent to an entry host while its answer is lost.
	publishAttempts = 5
	// firstPublishDelay is the delay before the second attempt; it doubles each time.
	firstPublishDelay = 200 * time.Millisecond
)

func (a *app) source(flags sourceFlags) (source, error) {
	if flags.Log != "" {
		log := logservice.New(flags.Log, a.http)
		return &logSource{publisher: publish.New(log, a.clock)}, nil
	}
	host, err := a.operator(flags.operatorFlags)
	if err != nil {
		return nil, err
	}
	return &hostSource{host: host, clock: a.clock}, nil
}

// logSource reads and publishes on the log itself.
type logSource struct {
	publisher *publish.Publisher
}

func (s *logSource) accepted(ctx context.Context, owner string) (*configuration.Accepted, error) {
	state, err := s.publisher.State(ctx)
	if err != nil {
		return nil, err
	}
	accepted, ok := state.Owners[owner]
	if !ok {
		return nil, errors.Errorf("the log holds no accepted configuration of owner %q", owner)
	}
	return accepted, nil
}

func (s *logSource) history(ctx context.Context, owner string) ([]publish.Change, error) {
	return s.publisher.History(ctx, owner)
}

func (s *logSource) publish(ctx context.Context, record configuration.Record) (*configuration.Accepted, error) {
	outcome, err := s.publisher.Publish(ctx, record)
	if err != nil {
		return nil, err
	}
	if outcome.Rejected != nil {
		return nil, &rejectedError{reason: outcome.Rejected.Reason}
	}
	return outcome.Accepted, nil
}

// hostSource reads and publishes through an entry host.
type hostSource struct {
	host  *operator.Client
	clock clockwork.Clock
}

func (s *hostSource) accepted(ctx context.Context, owner string) (*configuration.Accepted, error) {
	return s.host.Accepted(ctx, owner)
}

func (s *hostSource) history(ctx context.Context, owner string) ([]publish.Change, error) {
	return s.host.History(ctx, owner)
}

// publish sends the change again under the same identifier while its answer is lost; the host looks for it in the log first.
func (s *hostSource) publish(ctx context.Context, record configuration.Record) (*configuration.Accepted, error) {
	document, err := json.Marshal(record.Document)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	change := api.Change{Base: record.Base, Publish: record.Publish, Document: document}
	return sendAgain(ctx, s.clock, func() (*configuration.Accepted, error) {
		return s.host.Publish(ctx, record.Document.Owner, change)
	})
}

// sendAgain sends a change again while its answer is lost.
func sendAgain[Answer any](ctx context.Context, clock clockwork.Clock, send func() (*Answer, error)) (*Answer, error) {
	var last error
	sent := false
	for attempt := range publishAttempts {
		answer, err := send()
		if err == nil || !isLost(err) {
			return answer, err
		}
		last = err
		sent = sent || !isUnreachable(err)
		select {
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		case <-clock.After(firstPublishDelay << attempt):
		}
	}
	if sent {
		return nil, errors.Wrap(publish.ErrOutcomeUnknown, last.Error())
	}
	return nil, last
}

// isLost reports whether an error leaves open what became of a publish.
func isLost(err error) bool {
	var refused *operator.Error
	return !errors.As(err, &refused) || refused.Fault.Code == api.CodeUnavailable
}
