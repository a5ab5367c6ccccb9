package configuration

import (
	"encoding/json"

	"chervilusher.dev/lib/platform"
)

// Reader folds the stream from batch to batch; when retention has dropped records that it has not read, it looks for a snapshot and skips nothing.
type Reader struct {
	state     *State
	searching bool  // records between the state and the oldest kept one are lost to this reader
	cursor    int64 // where the search goes on
}

// NewReader returns a reader that goes on from the state.
func NewReader(state *State) *Reader {
	return &Reader{state: state}
}

// State returns the state after all records read so far.
func (r *Reader) State() *State {
	return r.state
}

// Searching reports whether the reader misses records and waits for a snapshot or a peer's state.
func (r *Reader) Searching() bool {
	return r.searching
}

// From returns the offset that the next batch is to be read from.
func (r *Reader) From() int64 {
	if r.searching {
		return r.cursor
	}
	return r.state.Next
}

// Feed takes in a batch read from From on, and returns what became of the records that it folded.
func (r *Reader) Feed(batch *platform.Batch) []Decision {
	if !r.searching && batch.First > r.state.Next {
		r.searching = true
		r.cursor = batch.First
	}
	if r.searching {
		r.search(batch)
		return nil
	}
	decisions := make([]Decision, 0, len(batch.Records))
	for _, record := range batch.Records {
		if record.Offset < r.state.Next {
			continue
		}
		next, decision := r.state.Step(record)
		r.state = next
		decisions = append(decisions, decision)
	}
	return decisions
}

// Merge takes in a peer's delta and reports whether it brought anything.
func (r *Reader) Merge(delta *Delta) bool {
	merged := r.state.Merge(delta)
	if merged == r.state {
		return false
	}
	r.adopt(merged)
	return true
}

// search takes the first snapshot whose later records can all still be read.
func (r *Reader) search(batch *platform.Batch) {
	r.cursor = max(r.cursor, batch.First)
	for _, record := range batch.Records {
		r.cursor = max(r.cursor, record.Offset+1)
		snapshot := ParseSnapshot(record)
		if snapshot == nil || snapshot.Next < batch.First || snapshot.Next <= r.state.Next {
			continue
		}
		r.adopt(snapshot)
		return
	}
}

// adopt goes on from a higher state; the next batch shows whether records are missing after it.
func (r *Reader) adopt(state *State) {
	r.state = state
	r.searching = false
}

// ParseSnapshot returns the state that a snapshot record carries, or nil for any other record.
func ParseSnapshot(record platform.Record) *State {
	var parsed Record
	if err := json.Unmarshal(record.Data, &parsed); err != nil {
		return nil
	}
	if parsed.Type != RecordSnapshot || parsed.State == nil || parsed.State.Next > record.Offset {
		return nil
	}
	if parsed.State.Owners == nil {
		parsed.State.Owners = map[string]*Accepted{}
	}
	return parsed.State
}
