package common

import "sync"

// maxRefusals bounds the names that are remembered; then all are forgotten, and logged once more.
const maxRefusals = 1000

// Refusals remembers whose entries were refused, so that each is logged once and not whenever it is written again.
type Refusals struct {
	mu    sync.Mutex
	names map[string]struct{}
}

// Add records that an entry was refused, and reports whether it was not before.
func (r *Refusals) Add(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.names[name]; known {
		return false
	}
	if r.names == nil || len(r.names) >= maxRefusals {
		r.names = map[string]struct{}{}
	}
	r.names[name] = struct{}{}
	return true
}

// Remove records that the entry was taken.
func (r *Refusals) Remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.names, name)
}
