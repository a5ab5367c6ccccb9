package relay

import (
	"context"
	"io"
	"time"

	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/standin/pkg/control"
)

// Bounds of what one direction of a connection holds.
const (
	chunkBytes     = 16 << 10
	chunksInFlight = 64
)

// chunk is a piece of a connection's bytes and when it may go on.
type chunk struct {
	data []byte
	due  time.Time
}

// deliver writes the chunks when they are due and no freeze is on, until the channel closes.
func (r *Relay) deliver(ctx context.Context, chunks <-chan chunk, to io.Writer) {
	for piece := range chunks {
		if left := piece.due.Sub(r.clock.Now()); left > 0 {
			if !control.Sleep(ctx, r.clock, jsontime.Duration(left)) {
				return
			}
		}
		if !r.waitWhileFrozen(ctx) {
			return
		}
		if _, err := to.Write(piece.data); err != nil {
			return
		}
	}
}

func (r *Relay) waitWhileFrozen(ctx context.Context) bool {
	for {
		faults, changed := r.faults.Watch()
		if !faults.Freeze {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}
