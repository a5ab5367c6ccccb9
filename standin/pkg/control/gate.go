package control

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"chervilusher.dev/lib/jsontime"
)

// maxHeldBytes bounds the body of a request that is held.
const maxHeldBytes = 16 << 20

// Outage is how a platform service fails while it is out.
type Outage string

// Kinds of outage.
const (
	OutageNone  Outage = ""
	OutageError Outage = "error" // every request gets status 503
	OutageHang  Outage = "hang"  // no request gets an answer until the outage ends
)

// Platform holds the faults that the log and the host list share.
type Platform struct {
	Outage Outage            `json:"outage,omitempty"`
	Slow   jsontime.Duration `json:"slow,omitempty"` // added to each request before it takes effect
	Lost   float64           `json:"lost,omitempty"` // share of answers lost after the effect
}

// Gate applies the faults of a platform service to its requests.
type Gate struct {
	clock clockwork.Clock
	watch func() (Platform, <-chan struct{})
	draw  *Draw
	held  atomic.Int64
}

// NewGate returns a gate that asks watch for the faults that are on.
func NewGate(clock clockwork.Clock, seed uint64, watch func() (Platform, <-chan struct{})) *Gate {
	return &Gate{clock: clock, watch: watch, draw: NewDraw(seed)}
}

// Wrap returns a handler that holds or refuses requests during an outage.
func (g *Gate) Wrap(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := bufferBody(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		faults := g.waitWhileHung(r.Context())
		if faults.Outage != OutageNone || r.Context().Err() != nil {
			http.Error(w, "out of service", http.StatusServiceUnavailable)
			return
		}
		if faults.Slow > 0 && !Sleep(r.Context(), g.clock, faults.Slow) {
			return
		}
		next(w, r)
	}
}

// LoseAnswer closes the connection without an answer if the fault hits this request.
func (g *Gate) LoseAnswer() {
	faults, _ := g.watch()
	if g.draw.Hit(faults.Lost) {
		panic(http.ErrAbortHandler)
	}
}

// Held returns how many requests a hanging outage holds at present.
func (g *Gate) Held() int64 {
	return g.held.Load()
}

// Refusing reports whether requests are refused or held at present.
func (g *Gate) Refusing() bool {
	faults, _ := g.watch()
	return faults.Outage != OutageNone
}

// bufferBody reads the body, for the server notices that a caller hangs up only after that.
func bufferBody(r *http.Request) error {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxHeldBytes))
	if err != nil {
		return errors.WithStack(err)
	}
	r.Body = io.NopCloser(bytes.NewReader(raw))
	return nil
}

func (g *Gate) waitWhileHung(ctx context.Context) Platform {
	g.held.Add(1)
	defer g.held.Add(-1)
	for {
		faults, changed := g.watch()
		if faults.Outage != OutageHang {
			return faults
		}
		select {
		case <-ctx.Done():
			return faults
		case <-changed:
		}
	}
}

// Sleep waits by the clock and returns false if the context ends first.
func Sleep(ctx context.Context, clock clockwork.Clock, length jsontime.Duration) bool {
	timer := clock.NewTimer(length.Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}
