package cell

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecisions measures the cost of a decision when all workers are busy, by the number of waiting jobs.
func BenchmarkDecisions(b *testing.B) {
	for _, waiting := range []int{0, 10, 100} {
		b.Run(fmt.Sprintf("waiting-%d", waiting), func(b *testing.B) {
			h := newHarness(b)
			h.addWorkers(48, 16, 1)
			for range 48 {
				h.submit(h.job(2, 8, time.Minute, time.Hour, time.Hour))
			}
			for range waiting {
				h.submit(h.job(4, 8, time.Minute, time.Hour, time.Hour))
			}
			b.ReportAllocs()
			for b.Loop() {
				var effects Effects
				h.cell.assign(h.now, &effects)
			}
		})
	}
}
