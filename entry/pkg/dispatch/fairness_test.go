package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// accountShares floods the fleet with one account's work while others ask for no more than their share,
// and returns the share of the work that each account got.
func accountShares(seed uint64, chosen policies, weights map[string]int, loads map[string]float64) map[string]float64 {
	d := newDriver(seed, referenceFleet, chosen)
	for _, account := range []string{"hokkaido", "kerlouan", "third"} {
		if weights[account] == 0 {
			continue
		}
		d.addAccount(account, weights[account])
		kind, low, high := "short", 50*time.Millisecond, time.Second
		if account == "third" {
			kind, low, high = "middle", 500*time.Millisecond, 1900*time.Millisecond
		}
		mean := (low + high).Seconds() / 2
		d.stream(constantRate(loads[account]*d.capacity()/mean), func() work {
			return work{account: account, kind: kind, deadline: 3 * time.Second, declared: time.Second, tasks: []time.Duration{between(d.random, low, high)}}
		})
	}
	d.runUntil(20 * time.Second)
	shares := map[string]float64{}
	for _, end := range d.ends {
		if d.inDeadline[end.job] {
			shares[end.job.Account] += end.workIn(8*time.Second, 16*time.Second) / (8 * d.capacity())
		}
	}
	return shares
}

func TestAccountsShareByWeight(t *testing.T) {
	t.Parallel()
	table := []struct {
		name    string
		weights map[string]int
		loads   map[string]float64
		fair    map[string]float64
	}{
		{
			name:    "a flood leaves another account its share",
			weights: map[string]int{"hokkaido": 1, "kerlouan": 1},
			loads:   map[string]float64{"hokkaido": 3, "kerlouan": 0.4},
			fair:    map[string]float64{"hokkaido": 0.6, "kerlouan": 0.4},
		},
		{
			name:    "floods share evenly",
			weights: map[string]int{"hokkaido": 1, "kerlouan": 1},
			loads:   map[string]float64{"hokkaido": 3, "kerlouan": 1},
			fair:    map[string]float64{"hokkaido": 0.5, "kerlouan": 0.5},
		},
		{
			name:    "floods share by weight, however long their tasks",
			weights: map[string]int{"hokkaido": 1, "kerlouan": 2, "third": 3},
			loads:   map[string]float64{"hokkaido": 2, "kerlouan": 2, "third": 2},
			fair:    map[string]float64{"hokkaido": 1.0 / 6, "kerlouan": 2.0 / 6, "third": 3.0 / 6},
		},
	}
	for _, row := range table {
		for _, seed := range seeds {
			shares := accountShares(seed, policies{}, row.weights, row.loads)
			single := accountShares(seed, policies{queue: "single"}, row.weights, row.loads)
			t.Logf("%s, seed %d: %v, in one queue %v", row.name, seed, shares, single)
			for account, fair := range row.fair {
				require.GreaterOrEqual(t, shares[account], 0.9*fair, "%s of %v", account, shares)
			}
		}
	}
}

func TestQuotaBoundsRunningTasks(t *testing.T) {
	t.Parallel()
	d := newDriver(1, referenceFleet, policies{admission: "none"})
	d.addAccount("hokkaido", 1)
	d.addAccount("kerlouan", 1)
	d.board.Accounts["kerlouan"].MaxRun = 20
	d.shortStream(0.5, "hokkaido", false)
	d.shortStream(0.5, "kerlouan", true)
	most := 0
	for at := time.Second; at < 20*time.Second; at += 50 * time.Millisecond {
		d.runUntil(at)
		most = max(most, d.board.Accounts["kerlouan"].Running)
	}
	require.Equal(t, 20, most)
	require.LessOrEqual(t, percentile(d.ratios(5*time.Second, 15*time.Second, func(r *result) bool { return r.account == "hokkaido" }), 0.99), 1.15)
}

func TestUrgentWorkGoesFirst(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		d := newDriver(seed, referenceFleet, policies{admission: "none"})
		d.addAccount("kerlouan", 1)
		d.shortStream(0.2, "kerlouan", true)
		d.shortStream(1, "kerlouan", false)
		d.runUntil(30 * time.Second)
		urgent := percentile(d.ratios(10*time.Second, 25*time.Second, func(r *result) bool { return r.urgent }), 0.99)
		normal := percentile(d.ratios(10*time.Second, 25*time.Second, func(r *result) bool { return !r.urgent }), 0.99)
		t.Logf("seed %d: p99 of urgent work %.2f, of normal work %.2f", seed, urgent, normal)
		require.LessOrEqual(t, urgent, 2.3)
		require.Greater(t, normal, urgent)
	}
}
