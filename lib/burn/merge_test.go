package burn_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/burn"
	"chervilusher.dev/lib/jsontime"
)

var start = time.Date(2026, 4, 1, 0, 0, 0, 0, time.UTC)

func report(host string, since time.Time, counts api.BurnCounts) *api.BurnReport {
	window := burn.Windows()[0]
	return &api.BurnReport{
		Hosts: []string{host}, Time: start.Add(time.Hour), Since: since,
		Objectives: []api.BurnObjective{{
			Owner: "hokkaido", Name: "prompt", Service: "desk", Target: 0.99, Since: since, Good: counts.Good, Bad: counts.Bad,
			Times:   []api.BurnTime{{Upto: jsontime.Duration(time.Second), Count: counts.Good}},
			Windows: []api.BurnWindow{burn.Evaluate(window, counts, counts, start.Add(time.Hour).Sub(since), 0.99)},
			Points:  []api.BurnPoint{{Time: start, Good: counts.Good, Bad: counts.Bad}},
		}},
	}
}

func TestMergeAddsCountsAndNotRates(t *testing.T) {
	merged := burn.Merge([]*api.BurnReport{
		report("a", start, api.BurnCounts{Good: 900}),
		report("b", start.Add(time.Minute), api.BurnCounts{Bad: 100}),
	})
	require.Equal(t, []string{"a", "b"}, merged.Hosts)
	require.Equal(t, start.Add(time.Minute), merged.Since)
	require.Len(t, merged.Objectives, 1)
	objective := merged.Objectives[0]
	require.InDelta(t, 10, objective.Windows[0].Rate, 1e-9)
	require.Equal(t, 59*time.Minute, objective.Windows[0].Covered.Std())
	require.Equal(t, []api.BurnPoint{{Time: start, Good: 900, Bad: 100}}, objective.Points)
	require.EqualValues(t, 900, objective.Times[0].Count)
}

func TestRateAndQuantile(t *testing.T) {
	require.Zero(t, burn.Rate(api.BurnCounts{}, 0.99))
	require.InDelta(t, 1, burn.Rate(api.BurnCounts{Good: 99, Bad: 1}, 0.99), 1e-9)
	times := []api.BurnTime{{Upto: 1, Count: 50}, {Upto: 2, Count: 49}, {Upto: 3, Count: 1}}
	require.EqualValues(t, 1, burn.Quantile(times, 0.5))
	require.EqualValues(t, 2, burn.Quantile(times, 0.99))
	require.Zero(t, burn.Quantile(nil, 0.5))
}
