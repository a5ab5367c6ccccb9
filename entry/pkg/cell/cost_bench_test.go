package cell

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecisions shows what a decision costs a keeper whose workers are all busy, by how many jobs wait.
func BenchmarkDecisions(b *testing.B) {
	for _, waiting := range []int{0, 10, 100} {
		b.Run(fmt.Sprintf("waiting-%d", waiting), func(b *testing.B) {
			o := newOffice(b)
			o.addWorkers(48, 16, 1)
			for range 48 {
				o.submit(o.job(2, 8, time.Minute, time.Hour, time.Hour))
			}
			for range waiting {
				o.submit(o.job(4, 8, time.Minute, time.Hour, time.Hour))
			}
			b.ReportAllocs()
			for b.Loop() {
				var effects Effects
				o.cell.assign(o.now, &effects)
			}
		})
	}
}
