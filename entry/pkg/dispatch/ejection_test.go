package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// brokenStartShare returns the share of starts that go to broken endpoints after the first two seconds,
// and the numbers of first starts and of retries.
func brokenStartShare(seed uint64, chosen policies, fleet fleet, load float64) (share float64, firsts, retries int) {
	d := newDriver(seed, fleet, chosen)
	d.addAccount("hokkaido", 1)
	d.stream(constantRate(load*d.capacity()/meanShort), func() work {
		firsts++
		return work{
			account: "hokkaido", kind: "short", idempotent: d.random.IntN(2) == 0, deadline: 5 * time.Second, declared: time.Second,
			tasks: []time.Duration{between(d.random, 50*time.Millisecond, time.Second)},
		}
	})
	d.runUntil(2 * time.Second)
	before := d.started()
	brokenBefore := d.brokenStarts()
	d.runUntil(30 * time.Second)
	share = float64(d.brokenStarts()-brokenBefore) / float64(d.started()-before)
	return share, firsts, d.started() - firsts + len(d.refused)
}

func (d *driver) brokenStarts() int {
	sum := 0
	for name, fake := range d.endpoints {
		if fake.broken {
			sum += d.starts[name]
		}
	}
	return sum
}

func TestBackendsThatFailFastAreEjected(t *testing.T) {
	t.Parallel()
	broken := referenceFleet
	broken.broken = 6
	for _, load := range []float64{0.3, 0.7, 0.9} {
		for _, seed := range seeds {
			share, firsts, retries := brokenStartShare(seed, policies{}, broken, load)
			t.Logf("load %.1f seed %d: %.4f of starts after 2 s, %d retries for %d first starts", load, seed, share, retries, firsts)
			require.LessOrEqual(t, share, 0.01)
			require.LessOrEqual(t, float64(retries), retryShare*float64(firsts)+10)
		}
	}
}

func TestTasksThatFailEverywhereEjectFewBackends(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		d := newDriver(seed, referenceFleet, policies{})
		d.addAccount("hokkaido", 1)
		for _, fake := range d.endpoints {
			fake.broken = true
		}
		d.stream(constantRate(100), func() work {
			return work{account: "hokkaido", kind: "bad", idempotent: true, deadline: 5 * time.Second, declared: time.Second, tasks: []time.Duration{time.Second}}
		})
		ejected := 0
		for at := time.Second; at <= 30*time.Second; at += time.Second {
			d.runUntil(at)
			now := 0
			for _, backend := range d.engine.Group(groupName).Backends {
				if backend.Ejected {
					now++
				}
			}
			ejected = max(ejected, now)
		}
		t.Logf("seed %d: at most %d of %d ejected", seed, ejected, len(d.endpoints))
		require.LessOrEqual(t, ejected, len(d.endpoints)/10)
	}
}

// referenceCapacity is the reference fleet's work per second, in seconds at speed 1.
const referenceCapacity = 48 * 8 * 1.1

func TestRecoveredBackendIsRestoredGradually(t *testing.T) {
	t.Parallel()
	broken := referenceFleet
	broken.broken = 6
	d := newDriver(1, broken, policies{})
	d.addAccount("hokkaido", 1)
	whole := 0.97 * referenceCapacity / meanShort
	d.stream(func(at time.Duration) float64 {
		if at < 25*time.Second {
			return whole / 2
		}
		return whole
	}, func() work {
		return work{
			account: "hokkaido", kind: "short", idempotent: true, deadline: 5 * time.Second, declared: time.Second,
			tasks: []time.Duration{between(d.random, 50*time.Millisecond, time.Second)},
		}
	})
	d.runUntil(20 * time.Second)
	for _, fake := range d.endpoints {
		fake.broken = false
	}
	failures := len(d.results)
	d.runUntil(60 * time.Second)
	for i := range 6 {
		backend := d.engine.Group(groupName).Backends[fmt.Sprintf("minion-%04d", i)]
		require.False(t, backend.Ejected)
		require.Zero(t, backend.RecoveryLimit)
		require.Positive(t, backend.SlownessRuns)
	}
	for _, ended := range d.results[failures:] {
		require.True(t, ended.complete)
	}
}

func TestRetryUsesTheOnlyBackend(t *testing.T) {
	t.Parallel()
	d := newDriver(1, fleet{endpoints: 1, slots: 4}, policies{})
	d.addAccount("hokkaido", 1)
	d.endpoints["minion-0000"].broken = true
	job := d.submit(work{account: "hokkaido", kind: "short", idempotent: true, deadline: 20 * time.Second, declared: time.Second, tasks: []time.Duration{time.Second}})
	d.runUntil(500 * time.Millisecond)
	d.endpoints["minion-0000"].broken = false
	d.runUntil(10 * time.Second)
	require.True(t, d.inDeadline[job])
	require.Equal(t, 2, job.Tasks[0].Tries)
}
