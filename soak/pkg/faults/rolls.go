package faults

import (
	"context"
	"slices"
	"syscall"
	"time"

	"chervilusher.dev/soak/pkg/yard"
)

// Bounds of the time between two stops of a roll, and of that from a host's stop to its second signal.
const (
	shortestGap  = 300 * time.Millisecond
	longestGap   = 1500 * time.Millisecond
	secondSignal = 5 * time.Second
)

// Roll stops all hosts in turn, again and again until the context ends, one or two at a time; each starts again when
// its process is gone. It returns when all have started.
func (b *Breaker) Roll(ctx context.Context) {
	for ctx.Err() == nil {
		gap := shortestGap + time.Duration(b.random.Int64N(int64(longestGap-shortestGap)))
		for hosts := range slices.Chunk(b.random.Perm(len(b.yard.Hosts)), 1+b.random.IntN(2)) {
			for _, host := range hosts {
				b.rollOne(b.yard.Hosts[host])
			}
			select {
			case <-ctx.Done():
				b.work.Wait()
				return
			case <-time.After(gap):
			}
		}
	}
	b.work.Wait()
}

// rollOne stops the host if it is ready, or has it read its settings again.
func (b *Breaker) rollOne(host *yard.Host) {
	if !b.Claim(host.Name) {
		return
	}
	reload := b.random.IntN(8) == 0
	again := []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[b.random.IntN(2)]
	after := time.Duration(b.random.Int64N(int64(secondSignal)))
	b.work.Go(func() {
		defer b.Release(host.Name)
		switch {
		case !host.IsReady():
		case reload:
			b.log("reload of %s", host.Name)
			host.Signal(syscall.SIGHUP)
		default:
			b.log("planned stop of %s, and %s after %s", host.Name, again, after)
			host.Signal(syscall.SIGTERM)
			if !host.Await(after) {
				host.Signal(again)
			}
			b.startAnew(host, stopTimeout-after)
			b.log("start of %s", host.Name)
		}
	})
}
