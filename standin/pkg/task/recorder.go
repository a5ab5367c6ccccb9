package task

import (
	"encoding/json"
	"hash/maphash"
	"sync"
)

// DefaultRecorderSize is how many pieces of work a recorder remembers if the settings name no number.
const DefaultRecorderSize = 500_000

// Recorder counts over many back ends how often a piece of work, told by its owner and echo, started again.
type Recorder struct {
	seed maphash.Seed
	size int

	mu      sync.Mutex
	seen    map[uint64]struct{}
	order   []uint64 // a ring, oldest at next
	next    int
	repeats int64
}

// NewRecorder returns a recorder that remembers size pieces of work; zero means DefaultRecorderSize.
func NewRecorder(size int) *Recorder {
	if size <= 0 {
		size = DefaultRecorderSize
	}
	return &Recorder{seed: maphash.MakeSeed(), size: size, seen: map[uint64]struct{}{}}
}

// Note takes in one start; work without an echo cannot be told apart and is left out.
func (r *Recorder) Note(owner string, echo json.RawMessage) {
	if r == nil || len(echo) == 0 {
		return
	}
	var hash maphash.Hash
	hash.SetSeed(r.seed)
	_, _ = hash.WriteString(owner)
	_ = hash.WriteByte(0)
	_, _ = hash.Write(echo)
	r.note(hash.Sum64())
}

// Repeats returns how many starts were of work that had started before.
func (r *Recorder) Repeats() int64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.repeats
}

func (r *Recorder) note(work uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.seen[work]; known {
		r.repeats++
		return
	}
	r.seen[work] = struct{}{}
	if len(r.order) < r.size {
		r.order = append(r.order, work)
		return
	}
	delete(r.seen, r.order[r.next])
	r.order[r.next] = work
	r.next = (r.next + 1) % r.size
}
