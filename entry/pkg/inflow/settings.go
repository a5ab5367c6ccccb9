package inflow

import (
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/jsontime"
)

// Settings bound what clients can make a process hold; where they say 0 the bound is derived from the machine.
type Settings struct {
	Connections int               `json:"connections"` // most open ones; 0 derives it
	Bytes       int64             `json:"bytes"`       // most bytes received and not handed on; 0 derives it
	Small       int64             `json:"small"`       // bytes up to which a request may use the reserve
	Head        int               `json:"head"`        // bytes of the longest head
	Body        int64             `json:"body"`        // bytes of the longest body
	HeadTime    jsontime.Duration `json:"head_time"`   // for a whole head
	IdleTime    jsontime.Duration `json:"idle_time"`   // that an unused connection is kept
	StallTime   jsontime.Duration `json:"stall_time"`  // without a byte of a body, or of an answer that its client takes
	Rate        int64             `json:"rate"`        // least bytes of a body a second, after the stall time
}

const (
	// connectionBytes is what an open connection costs at most beside its request: its goroutine's stack, the buffers of net/http
	// and what waits in the kernel.
	connectionBytes = 48 << 10
	// reservedDescriptors are left for files; those of the rest that clients don't get go to peers, workers and the store.
	reservedDescriptors = 200
	// A quarter of the memory is for connections, and an eighth for what they have sent: the collector lets garbage grow to
	// as much again, and a body is copied while it is decoded.
	connectionsPart, bytesPart = 4, 8
	// reservePart of the bytes is kept for small requests.
	reservePart = 4
	// newcomersPart of the connections is kept for those whose request is not served yet.
	newcomersPart = 16
	// As many as backlogPart of the connections, and no fewer than leastBacklog, may wait to be accepted; others wait at their client.
	backlogPart, leastBacklog = 2, 64
	// receiveBuffer bounds what the kernel holds of one connection that is not read.
	receiveBuffer = 32 << 10
)

// Peers bound what other hosts can make a process hold; where they say 0 the bound is derived from the machine.
type Peers struct {
	Connections int   `json:"connections"` // most open ones; 0 derives it
	Bytes       int64 `json:"bytes"`       // most bytes of messages that were not received whole; 0 derives it
}

// Check reports the first setting that is wrong, by its key.
func (p *Peers) Check() error {
	if p.Connections < 0 || p.Bytes < 0 {
		return errors.New("connections and bytes must not be below 0")
	}
	return nil
}

// For returns the bounds for what a machine allows its process: bytes of memory, and descriptors.
func (p *Peers) For(memory int64, descriptors int) Settings {
	s := Default(0, 0)
	s.Connections, s.Bytes = p.Connections, p.Bytes
	if s.Connections == 0 {
		s.Connections = max(1, (descriptors-reservedDescriptors)/2)
	}
	if s.Bytes == 0 {
		s.Bytes = memory / bytesPart
	}
	return s
}

// backlog returns how many connections may wait to be accepted.
func (s *Settings) backlog() int {
	return max(leastBacklog, s.Connections/backlogPart)
}

// served returns how many connections may be served at a time.
func (s *Settings) served() int {
	return max(1, s.Connections-max(1, s.Connections/newcomersPart))
}

// Default returns settings for bodies up to a size.
func Default(body int64, headTime time.Duration) Settings {
	return Settings{
		Small:     32 << 10,
		Head:      16 << 10,
		Body:      body,
		HeadTime:  jsontime.Duration(headTime),
		IdleTime:  jsontime.Duration(time.Minute),
		StallTime: jsontime.Duration(15 * time.Second),
		Rate:      4 << 10,
	}
}

// Check reports the first setting that is wrong, by its key.
func (s *Settings) Check() error {
	for _, one := range []struct {
		key   string
		value int64
	}{
		{"small", s.Small},
		{"head", int64(s.Head)},
		{"body", s.Body},
		{"rate", s.Rate},
		{"head_time", int64(s.HeadTime)},
		{"idle_time", int64(s.IdleTime)},
		{"stall_time", int64(s.StallTime)},
	} {
		if one.value <= 0 {
			return errors.Errorf("%s must be above 0", one.key)
		}
	}
	if s.Connections < 0 || s.Bytes < 0 {
		return errors.New("connections and bytes must not be below 0")
	}
	return nil
}

// For returns the settings with those that are derived from what a machine allows its process: bytes of memory, and descriptors.
func (s Settings) For(memory int64, descriptors int) Settings {
	if s.Connections == 0 {
		s.Connections = max(1, min((descriptors-reservedDescriptors)/2, int(memory/connectionsPart/connectionBytes)))
	}
	if s.Bytes == 0 {
		s.Bytes = memory / bytesPart
	}
	return s
}
