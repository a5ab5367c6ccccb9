package ledger_test

import (
	"strconv"
	"testing"

	"chervilusher.dev/entry/pkg/ledger"
	"chervilusher.dev/lib/api"
)

// BenchmarkClaimAndKeep measures claiming one identifier and keeping its answer in memory.
func BenchmarkClaimAndKeep(b *testing.B) {
	entries := newLedger(1<<20, 64<<20)
	answer := &api.Answer{State: api.StateComplete}
	window := start
	i := 0
	for b.Loop() {
		i++
		if entries.Closed(window.UnixMilli()) {
			window = window.Add(1e6)
		}
		entry, claim := entries.Claim(id(window, strconv.Itoa(i)), 1, window, newJob)
		if claim == ledger.ClaimNew {
			entries.Keep(entry, answer, window)
		}
	}
}
