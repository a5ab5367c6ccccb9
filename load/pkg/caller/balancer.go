package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// restTime is how long the balancer sends nothing to a host that refused a connection.
const restTime = time.Second

// Host is one entry host behind the balancer.
type Host struct {
	Address string // host:port of the callers' API
	Size    int
}

// target is a host and until when it gets nothing.
type target struct {
	address string
	size    int
	rests   time.Time
}

// balancer stands for the platform's: it draws hosts by their sizes and leaves out those that refuse connections.
type balancer struct {
	mu      sync.Mutex
	source  *rand.Rand
	targets []*target
}

// pick returns the address of a host; a host that rests is taken only if all do.
func (b *balancer) pick(now time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, candidate := range b.targets {
		if now.After(candidate.rests) {
			sum += candidate.size
		}
	}
	if sum == 0 {
		return b.targets[b.source.IntN(len(b.targets))].address
	}
	left := b.source.IntN(sum)
	for _, candidate := range b.targets {
		if !now.After(candidate.rests) {
			continue
		}
		left -= candidate.size
		if left < 0 {
			return candidate.address
		}
	}
	return b.targets[0].address
}

// rest leaves a host out for a while.
func (b *balancer) rest(address string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, candidate := range b.targets {
		if candidate.address == address {
			candidate.rests = now.Add(restTime)
		}
	}
}

// dial opens a connection to an entry host.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	return dialer.DialContext(ctx, network, address)
}
