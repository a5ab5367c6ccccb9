package burnpage

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/burn"
	"chervilusher.dev/lib/jsontime"
)

var now = time.Date(2026, 4, 3, 12, 2, 0, 0, time.UTC)

// sample returns a report of one objective with a burst of bad answers two hours ago.
func sample() *api.BurnReport {
	objective := api.BurnObjective{
		Owner: "hokkaido", Name: "prompt", Service: "desk", Target: 0.99, Latency: jsontime.Duration(time.Second),
		Since: now.Add(-72 * time.Hour), Good: 99_000, Bad: 1_000,
		Times: []api.BurnTime{
			{Upto: jsontime.Duration(100 * time.Millisecond), Count: 500},
			{Upto: jsontime.Duration(400 * time.Millisecond), Count: 400},
			{Upto: jsontime.Duration(2 * time.Second), Count: 100},
		},
	}
	for i := range 72 {
		at := now.Add(-6 * time.Hour).Truncate(5 * time.Minute).Add(time.Duration(i) * 5 * time.Minute)
		objective.Points = append(objective.Points, api.BurnPoint{Time: at, Good: 1000, Bad: badAt(i)})
		hour := now.Add(-71 * time.Hour).Truncate(time.Hour).Add(time.Duration(i) * time.Hour)
		objective.Hours = append(objective.Hours, api.BurnPoint{Time: hour, Good: 12_000, Bad: badAt(i) * 12})
	}
	for _, window := range burn.Windows() {
		counts := api.BurnCounts{Good: 1000, Bad: 200}
		objective.Windows = append(objective.Windows, burn.Evaluate(window, counts, counts, 72*time.Hour, objective.Target))
	}
	return &api.BurnReport{Hosts: []string{"entry-<1>"}, Time: now, Since: objective.Since, Objectives: []api.BurnObjective{objective}}
}

func badAt(step int) int64 {
	if step >= 46 && step < 52 {
		return 150
	}
	return int64(step % 4)
}

func TestPageStandsAlone(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, Write(&out, sample()))
	text := out.String()
	require.Equal(t, 3, strings.Count(text, "<svg"))
	require.Contains(t, text, "hokkaido / prompt")
	require.Contains(t, text, "99% of answers complete within 1s")
	require.Contains(t, text, "entry-&lt;1&gt;")
	require.Contains(t, text, "1 of 1 objectives in alarm")
	for _, outside := range []string{"<script", "<link", "src=", "@import"} {
		require.NotContains(t, text, outside)
	}
}

func TestPlotsAreWellFormedWithAnyData(t *testing.T) {
	full := sample().Objectives[0]
	cases := map[string]api.BurnObjective{
		"full":  full,
		"empty": {Target: 0.9},
		"one":   {Target: 0.9, Points: full.Points[:1], Hours: full.Hours[:1], Times: full.Times[:1]},
	}
	for name, objective := range cases {
		t.Run(name, func(t *testing.T) {
			made, err := sectionOf(&objective, now)
			require.NoError(t, err)
			for _, drawing := range made.Plots {
				requireXML(t, string(drawing))
			}
		})
	}
}

func requireXML(t *testing.T, text string) {
	t.Helper()
	decoder := xml.NewDecoder(strings.NewReader(text))
	for {
		if _, err := decoder.Token(); err != nil {
			require.ErrorIs(t, err, io.EOF)
			return
		}
	}
}
