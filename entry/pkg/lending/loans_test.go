package lending

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLoansComeNearACentralQueue checks the targets of the reference fleet: response times within 15 % of a central
// queue, and at most 0.1 wasted messages per start at 70 % load.
func TestLoansComeNearACentralQueue(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		load, p50, p99, wasted float64
	}{
		{load: 0.7, p50: 0.83, p99: 1.15, wasted: 0.1},
		{load: 0.9, p50: 1.15, p99: 2.3, wasted: math.Inf(1)}, // waste is not bounded at this load
	} {
		for seed := range int64(3) {
			name := fmt.Sprintf("%.0f %% seed %d", test.load*100, seed)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, "loans", 6, seed, defaultOptions(), time.Second)
				f.play(test.load, 30*time.Second, 120*time.Second)
				f.report(name)
				require.LessOrEqual(t, f.quantile(0.5), test.p50)
				require.LessOrEqual(t, f.quantile(0.99), test.p99)
				require.LessOrEqual(t, f.wasted(), test.wasted)
				require.Zero(t, f.failed)
			})
		}
	}
}

// TestLoansSurviveLostMessages drops requests, responses and pushes, and checks that no slot stays lent
// and no task stays queued.
func TestLoansSurviveLostMessages(t *testing.T) {
	t.Parallel()
	for seed := range int64(3) {
		f := newFleet(t, "loans", 6, seed, defaultOptions(), time.Second)
		f.loss = 0.05
		f.play(0.8, 0, 20*time.Second)
		f.report(fmt.Sprintf("loss seed %d", seed))
		require.Zero(t, f.failed)
		require.Len(t, f.ratios, f.started)
		for _, host := range f.hosts {
			require.Zero(t, host.group.Queue.Len())
			host.lender.Tick(f.now.Add(time.Hour))
			for name, entry := range host.lender.backends {
				require.Zero(t, entry.lent, "slots of %s are lost", name)
			}
			for _, endpoint := range host.group.Backends {
				require.Zero(t, endpoint.Busy)
			}
		}
	}
}
