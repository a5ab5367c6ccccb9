package burn_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"chervilusher.dev/entry/pkg/burn"
	"chervilusher.dev/lib/configuration"
)

func BenchmarkRecord(b *testing.B) {
	state := stateWith(prompt(0.99))
	recorder := burn.New("entry-1", clockwork.NewRealClock(), func() *configuration.State { return state })
	b.ReportAllocs()
	for b.Loop() {
		recorder.Record("hokkaido", desk, complete, 200*time.Millisecond)
	}
}

// BenchmarkObjectives reports the memory that one objective takes.
func BenchmarkObjectives(b *testing.B) {
	const objectives = 1000
	state := stateWith()
	document := &state.Owners["hokkaido"].Document
	for i := range objectives {
		document.Objectives = append(document.Objectives, configuration.Objective{Name: fmt.Sprintf("o%d", i), Service: "desk", Target: 0.99})
	}
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		recorder := burn.New("entry-1", clockwork.NewRealClock(), func() *configuration.State { return state })
		recorder.Record("hokkaido", desk, complete, 200*time.Millisecond)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(recorder)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/objectives, "heap-bytes/objective")
}
