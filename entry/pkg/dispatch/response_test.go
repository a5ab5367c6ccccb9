package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var seeds = []uint64{1, 2, 3}

const (
	warmUp   = 20 * time.Second
	measured = 50 * time.Second
	settled  = 100 * time.Second // stragglers that arrived before measured have ended
)

var baseline = policies{admission: "none", queue: "single"}

func withPlacement(name string) policies {
	chosen := baseline
	chosen.placement = name
	return chosen
}

func measureResponse(seed uint64, fleet fleet, chosen policies, load float64) (p50, p99 float64) {
	d := newDriver(seed, fleet, chosen)
	d.addAccount("hokkaido", 1)
	d.referenceStream(load, "hokkaido", 5*time.Minute)
	d.runUntil(settled)
	values := d.ratios(warmUp, measured, nil)
	return percentile(values, 0.5), percentile(values, 0.99)
}

func TestResponseTimeMatchesCentralQueue(t *testing.T) {
	t.Parallel()
	table := []struct {
		load     float64
		p50, p99 float64
	}{
		{load: 0.7, p50: 0.83, p99: 1.15},
		{load: 0.9, p50: 1.15, p99: 2.3},
	}
	for _, row := range table {
		for _, seed := range seeds {
			p50, p99 := measureResponse(seed, referenceFleet, policies{}, row.load)
			t.Logf("fastest, whole fleet, load %.1f seed %d: p50 %.2f p99 %.2f", row.load, seed, p50, p99)
			require.LessOrEqual(t, p50, row.p50, "load %v seed %d", row.load, seed)
			require.LessOrEqual(t, p99, row.p99, "load %v seed %d", row.load, seed)
		}
	}
}

func TestFastestIsNoSlowerThanBaselines(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"least", "robin", "random"} {
		for _, load := range []float64{0.7, 0.9} {
			for _, seed := range seeds {
				p50, p99 := measureResponse(seed, hostFleet, policies{}, load)
				baselineP50, baselineP99 := measureResponse(seed, hostFleet, withPlacement(name), load)
				t.Logf("sixth of the fleet, load %.1f seed %d: fastest p50 %.2f p99 %.2f, %s p50 %.2f p99 %.2f", load, seed, p50, p99, name, baselineP50, baselineP99)
				require.LessOrEqual(t, p50, baselineP50, "%s load %v seed %d", name, load, seed)
			}
		}
	}
}
