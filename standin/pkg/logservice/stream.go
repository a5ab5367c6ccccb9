package logservice

import (
	"encoding/json"
	"sync"
	"time"

	"chervilusher.dev/lib/platform"
)

// stream keeps the latest records of one name.
type stream struct {
	mu       sync.Mutex
	first    int64
	records  []platform.Record
	appended chan struct{}
}

func newStream() *stream {
	return &stream{appended: make(chan struct{})}
}

// add appends a record and wakes the readers.
func (s *stream) add(data json.RawMessage, now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.first + int64(len(s.records))
	s.records = append(s.records, platform.Record{Offset: offset, Time: now, Data: data})
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// read returns records from the offset on and a channel that closes at the next append.
func (s *stream) read(from int64, limit int) (platform.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.first + int64(len(s.records))
	batch := platform.Batch{First: s.first, Next: next, Records: []platform.Record{}}
	from = max(from, s.first)
	if from < next {
		rest := s.records[from-s.first:]
		batch.Records = append(batch.Records, rest[:min(limit, len(rest))]...)
	}
	return batch, s.appended
}

// trim drops the records beyond the count and those older than the oldest time.
func (s *stream) trim(count int, oldest time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	drop := max(len(s.records)-count, 0)
	for drop < len(s.records) && s.records[drop].Time.Before(oldest) {
		drop++
	}
	if drop == 0 {
		return
	}
	s.first += int64(drop)
	s.records = append([]platform.Record(nil), s.records[drop:]...)
}
