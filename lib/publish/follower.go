package publish

import (
	"context"

	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/platform"
)

// follower folds the stream and looks out for one publish identifier.
type follower struct {
	log      Log
	reader   *configuration.Reader
	publish  string
	visit    func(raw platform.Record, decision configuration.Decision)
	appended bool // at least one append was tried
	missed   bool // the log dropped records that were not read
	outcome  *Outcome
}

func newFollower(log Log, known *configuration.State, publish string) *follower {
	return &follower{log: log, reader: configuration.NewReader(known), publish: publish}
}

// attempt looks for the record in the log, and appends it only when the log was read to its end without finding it.
func (f *follower) attempt(ctx context.Context, record *configuration.Record) error {
	if err := f.catchUp(ctx); err != nil || f.outcome != nil {
		return err
	}
	if f.appended && f.missed {
		return ErrOutcomeLost
	}
	f.appended = true
	f.missed = false
	_, err := f.log.Append(ctx, configuration.Stream, record)
	if err != nil {
		return err
	}
	return f.catchUp(ctx)
}

// catchUp folds the stream to its end and notes the outcome of the publish identifier if it passed by.
func (f *follower) catchUp(ctx context.Context) error {
	for {
		batch, err := f.log.Read(ctx, configuration.Stream, f.reader.From(), readLimit, 0)
		if err != nil {
			return err
		}
		f.missed = f.missed || batch.First > f.reader.State().Next
		decisions := f.reader.Feed(batch)
		f.note(batch, decisions)
		if f.reader.From() >= batch.Next {
			break
		}
	}
	if f.outcome == nil && f.publish != "" {
		f.outcome = recall(f.reader.State(), f.publish)
	}
	return nil
}

// note keeps the outcome that changed the state: a repeated append of an accepted record is rejected.
func (f *follower) note(batch *platform.Batch, decisions []configuration.Decision) {
	byOffset := make(map[int64]platform.Record, len(batch.Records))
	for _, raw := range batch.Records {
		byOffset[raw.Offset] = raw
	}
	for _, decision := range decisions {
		raw := byOffset[decision.Offset]
		if f.visit != nil {
			f.visit(raw, decision)
		}
		if f.publish == "" || decision.Publish != f.publish {
			continue
		}
		if f.outcome == nil || decision.Version > 0 || decision.Evacuation != nil {
			f.outcome = outcomeOf(raw, decision)
		}
	}
}

func outcomeOf(raw platform.Record, decision configuration.Decision) *Outcome {
	if decision.Evacuation != nil {
		return &Outcome{Evacuation: decision.Evacuation}
	}
	change := describe(raw, decision)
	if decision.Version == 0 {
		return &Outcome{Rejected: &configuration.Rejection{
			Offset: raw.Offset, Publish: decision.Publish, Owner: decision.Owner, Author: change.Author, Reason: decision.Reason,
		}}
	}
	return &Outcome{Accepted: &configuration.Accepted{
		Version: decision.Version, Offset: raw.Offset, Publish: decision.Publish, Author: change.Author,
		Document: *decision.Document,
	}}
}

// recall looks for the publish identifier in a state, which may come from a snapshot.
func recall(state *configuration.State, publish string) *Outcome {
	for _, accepted := range state.Owners {
		if accepted.Publish == publish {
			return &Outcome{Accepted: accepted}
		}
	}
	for _, evacuation := range state.Evacuations {
		if evacuation.Publish == publish {
			return &Outcome{Evacuation: evacuation}
		}
	}
	for _, rejection := range state.Rejections {
		if rejection.Publish == publish {
			return &Outcome{Rejected: &rejection}
		}
	}
	return nil
}
