package configuration

import (
	"encoding/json"
	"fmt"
	"maps"

	"chervilusher.dev/lib/platform"
)

// maxRejections bounds the rejections that a state remembers.
const maxRejections = 32

// Decision tells what became of one record of the stream.
type Decision struct {
	Offset  int64
	Publish string
	Owner   string
	Version int64  // that the record brought into force; zero when it did not
	Reason  string // why it was rejected; empty when it was not

	Document   *Document   // that was accepted; nil when none was
	Evacuation *Evacuation // that was accepted; nil when none was
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{Owners: map[string]*Accepted{}}
}

// Apply returns the state after one more record and leaves the old one as it was; records below Next change nothing.
func (s *State) Apply(record platform.Record) *State {
	next, _ := s.Step(record)
	return next
}

// Step returns the state after one more record, and what became of the record; the old state stays as it was.
func (s *State) Step(record platform.Record) (*State, Decision) {
	decision := Decision{Offset: record.Offset}
	if record.Offset < s.Next {
		return s, decision
	}
	next := &State{Next: record.Offset + 1, Owners: s.Owners, Rejections: s.Rejections, Evacuations: s.Evacuations}
	var parsed Record
	if err := json.Unmarshal(record.Data, &parsed); err != nil {
		decision.Reason = "the record is not valid JSON: " + err.Error()
		next.reject(decision, "")
		return next, decision
	}
	if parsed.Type == RecordSnapshot {
		return next, decision
	}
	decision.Publish = parsed.Publish
	if parsed.Document != nil {
		decision.Owner = parsed.Document.Owner
	}
	if decision.Reason = s.refusal(&parsed); decision.Reason != "" {
		next.reject(decision, parsed.Author)
		return next, decision
	}
	if parsed.Type == RecordEvacuation {
		decision.Evacuation = next.evacuate(&parsed, record.Offset)
		return next, decision
	}
	decision.Version = parsed.Base + 1
	decision.Document = parsed.Document
	next.Owners = maps.Clone(s.Owners)
	next.Owners[decision.Owner] = &Accepted{
		Version:  decision.Version,
		Offset:   record.Offset,
		Publish:  parsed.Publish,
		Author:   parsed.Author,
		Document: *parsed.Document,
	}
	return next, decision
}

// Version returns the owner's accepted version, or zero.
func (s *State) Version(owner string) int64 {
	accepted, ok := s.Owners[owner]
	if !ok {
		return 0
	}
	return accepted.Version
}

func (s *State) refusal(record *Record) string {
	if record.Type == RecordEvacuation {
		return s.evacuationRefusal(record)
	}
	if record.Type != RecordPublish {
		return fmt.Sprintf("unknown record type %q", record.Type)
	}
	if record.Document == nil {
		return "the record has no document"
	}
	current := s.Version(record.Document.Owner)
	if record.Base != current {
		return fmt.Sprintf("made from version %d, but version %d is in force", record.Base, current)
	}
	if err := record.Document.Check(); err != nil {
		return err.Error()
	}
	return ""
}

func (s *State) reject(decision Decision, author string) {
	s.Rejections = append(lastRejections(s.Rejections, maxRejections-1), Rejection{
		Offset:  decision.Offset,
		Publish: decision.Publish,
		Owner:   decision.Owner,
		Author:  author,
		Reason:  decision.Reason,
	})
}

// lastRejections returns the latest of the rejections with no room to grow, so that an append copies them.
func lastRejections(rejections []Rejection, most int) []Rejection {
	kept := rejections[max(0, len(rejections)-most):]
	return kept[:len(kept):len(kept)]
}
