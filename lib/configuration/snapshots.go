package configuration

import (
	"encoding/json"
	"time"

	"chervilusher.dev/lib/platform"
)

// Bounds within which a new snapshot is written while the log has not yet dropped anything.
const (
	snapshotRecords = 512
	snapshotAge     = 15 * time.Minute
)

// markRecords and markAge space the record times that are remembered to learn the log's retention.
const (
	markRecords = 16
	markAge     = time.Minute
)

type mark struct {
	offset int64
	time   time.Time
}

// Snapshots tells when a new snapshot is due, so that one can always be read whose later records can be read too.
type Snapshots struct {
	first     int64 // oldest kept offset
	next      int64 // offset of the next append
	marks     []mark
	retention time.Duration // shortest age at which records were seen dropped; zero when none was
	newest    mark          // of the newest snapshot record
	covers    int64         // the newest snapshot's Next
	found     bool
}

// NewSnapshots returns the watch of a stream that was not read yet.
func NewSnapshots() *Snapshots {
	return &Snapshots{}
}

// Observe takes in a batch in the order of reading.
func (s *Snapshots) Observe(batch *platform.Batch, now time.Time) {
	s.first = max(s.first, batch.First)
	s.next = max(s.next, batch.Next)
	for _, record := range batch.Records {
		s.remember(record)
		var header struct {
			Type  RecordType `json:"type"`
			State struct {
				Next int64 `json:"next"`
			} `json:"state"`
		}
		if err := json.Unmarshal(record.Data, &header); err != nil || header.Type != RecordSnapshot {
			continue
		}
		if !s.found || header.State.Next >= s.covers {
			s.found = true
			s.covers = header.State.Next
			s.newest = mark{offset: record.Offset, time: record.Time}
		}
	}
	s.forget(now)
}

// Due reports whether the state should be written as a new snapshot now.
func (s *Snapshots) Due(state *State, now time.Time) bool {
	if len(state.Owners) == 0 || state.Next < s.first {
		return false
	}
	if !s.found {
		return s.first > 0 || state.Next >= snapshotRecords || s.older(snapshotAge, now)
	}
	if s.newest.offset < s.first || s.covers < s.first {
		return true
	}
	if s.first == 0 && s.retention == 0 {
		return s.next-s.covers > snapshotRecords || now.Sub(s.newest.time) > snapshotAge
	}
	if s.retention > 0 && now.Sub(s.newest.time) > s.retention/2 {
		return true
	}
	return s.covers-s.first < (s.next-s.first)/2
}

// older reports whether the oldest remembered record has the age.
func (s *Snapshots) older(age time.Duration, now time.Time) bool {
	return len(s.marks) > 0 && now.Sub(s.marks[0].time) > age
}

func (s *Snapshots) remember(record platform.Record) {
	if len(s.marks) > 0 {
		last := s.marks[len(s.marks)-1]
		if record.Offset < last.offset+markRecords && record.Time.Sub(last.time) < markAge {
			return
		}
	}
	s.marks = append(s.marks, mark{offset: record.Offset, time: record.Time})
}

// forget drops the marks that the log no longer keeps and learns from their age.
func (s *Snapshots) forget(now time.Time) {
	dropped := 0
	for dropped < len(s.marks) && s.marks[dropped].offset < s.first {
		dropped++
	}
	if dropped == 0 {
		return
	}
	age := now.Sub(s.marks[dropped-1].time)
	if s.retention == 0 || age < s.retention {
		s.retention = age
	}
	s.marks = append([]mark(nil), s.marks[dropped:]...)
}
