package control

import (
	"math/rand/v2"
	"sync"
)

// Draw decides by a seeded generator which answers a fault hits.
type Draw struct {
	mu     sync.Mutex
	source *rand.Rand
}

// NewDraw returns a generator of the seed.
func NewDraw(seed uint64) *Draw {
	return &Draw{source: rand.New(rand.NewPCG(seed, seed))}
}

// Hit returns true for the share of calls, 0 to 1.
func (d *Draw) Hit(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source.Float64() < share
}
