package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

var breaches atomic.Int64

// Check counts and logs a breach of the named invariant when it does not hold; in a test the process stops instead.
func Check(holds bool, name, format string, values ...any) {
	if holds {
		return
	}
	message := fmt.Sprintf("invariant %s is broken: %s", name, fmt.Sprintf(format, values...))
	if testing.Testing() {
		panic(message)
	}
	breaches.Add(1)
	metrics.GetOrCreateCounter(fmt.Sprintf("chervilusher_invariant_breaches_total{name=%q}", name)).Inc()
	log.Error("invariant: " + message)
}

// Breaches returns how many breaches the process has counted.
func Breaches() int64 {
	return breaches.Load()
}
