package lending

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkLending compares loans with the baseline policies; -benchtime=1x runs each once.
func BenchmarkLending(b *testing.B) {
	for _, load := range []float64{0.7, 0.9} {
		for _, policy := range []string{"central", "fixed", "shared", "loans"} {
			for seed := range int64(3) {
				hosts := 6
				if policy == "central" {
					hosts = 1
				}
				b.Run(fmt.Sprintf("load=%.0f/policy=%s/seed=%d", load*100, policy, seed), func(b *testing.B) {
					f := newFleet(b, policy, hosts, seed, defaultOptions(), time.Second)
					f.play(load, 30*time.Second, 120*time.Second)
					f.metrics(b)
				})
			}
		}
	}
}

// BenchmarkHold compares times for which idle slots are kept.
func BenchmarkHold(b *testing.B) {
	for _, hold := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond} {
		for seed := range int64(3) {
			b.Run(fmt.Sprintf("hold=%s/seed=%d", hold, seed), func(b *testing.B) {
				options := defaultOptions()
				options.Hold = hold
				f := newFleet(b, "loans", 6, seed, options, time.Second)
				f.play(0.7, 30*time.Second, 120*time.Second)
				f.metrics(b)
			})
		}
	}
}

// BenchmarkLoan compares lengths of loans.
func BenchmarkLoan(b *testing.B) {
	for _, loan := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
		b.Run(fmt.Sprintf("loan=%s", loan), func(b *testing.B) {
			options := defaultOptions()
			options.Renew = loan * 2 / 5
			f := newFleet(b, "loans", 6, 0, options, loan)
			f.play(0.7, 30*time.Second, 120*time.Second)
			f.metrics(b)
		})
	}
}

// wasted returns the messages without effect per start: empty requests, unused grants, refused starts.
func (f *fleet) wasted() float64 {
	counts := f.counts()
	return float64(counts.Empty+counts.Unused+f.refused) / float64(f.started)
}

func (f *fleet) metrics(b *testing.B) {
	counts := f.counts()
	b.ReportMetric(f.quantile(0.5), "p50")
	b.ReportMetric(f.quantile(0.99), "p99")
	b.ReportMetric(float64(counts.Asks+counts.Pushes)/float64(f.started), "calls/start")
	b.ReportMetric(f.wasted(), "wasted/start")
	b.ReportMetric(float64(f.failed)/float64(f.started+f.failed), "failed/task")
	b.ReportMetric(0, "ns/op")
}
