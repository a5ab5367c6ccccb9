package control

import "sync"

// Switch holds the faults that are on and tells when they change.
type Switch[F any] struct {
	mu      sync.RWMutex
	faults  F
	changed chan struct{}
}

// New returns a switch with no fault on.
func New[F any]() *Switch[F] {
	return &Switch[F]{changed: make(chan struct{})}
}

// Set replaces all faults.
func (s *Switch[F]) Set(faults F) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get returns the faults that are on.
func (s *Switch[F]) Get() F {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.faults
}

// Watch returns the faults that are on and a channel that closes at their next change.
func (s *Switch[F]) Watch() (F, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.faults, s.changed
}
