package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"chervilusher.dev/lib/platform"
)

// maxRejections bounds the rejections that a state remembers.
const maxRejections = 32

// NewState returns the state before the first record.
func NewState() *State {
	return &State{Owners: map[string]*Accepted{}}
}

// Apply returns the state after one more record and leaves the old one as it was; records below Next change nothing.
func (s *State) Apply(record platform.Record) *State {
	if record.Offset < s.Next {
		return s
	}
	next := s.clone()
	next.Next = record.Offset + 1
	var parsed Record
	if err := json.Unmarshal(record.Data, &parsed); err != nil {
		next.reject(Rejection{Offset: record.Offset, Reason: "the record is not valid JSON: " + err.Error()})
		return next
	}
	if parsed.Type == RecordSnapshot {
		return next
	}
	if reason := next.refusal(&parsed); reason != "" {
		rejection := Rejection{Offset: record.Offset, Publish: parsed.Publish, Author: parsed.Author, Reason: reason}
		if parsed.Document != nil {
			rejection.Owner = parsed.Document.Owner
		}
		next.reject(rejection)
		return next
	}
	next.Owners[parsed.Document.Owner] = &Accepted{
		Version:  parsed.Base + 1,
		Offset:   record.Offset,
		Publish:  parsed.Publish,
		Author:   parsed.Author,
		Document: *parsed.Document,
	}
	return next
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

func (s *State) clone() *State {
	return &State{Next: s.Next, Owners: maps.Clone(s.Owners), Rejections: s.Rejections}
}

func (s *State) reject(rejection Rejection) {
	kept := s.Rejections
	if len(kept) >= maxRejections {
		kept = kept[len(kept)-maxRejections+1:]
	}
	s.Rejections = slices.Concat(kept, []Rejection{rejection})
}
