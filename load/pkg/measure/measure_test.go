package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/lib/platform"
	"chervilusher.dev/load/pkg/caller"
	"chervilusher.dev/load/pkg/experiment"
	"chervilusher.dev/load/pkg/workload"
	"chervilusher.dev/standin/pkg/office"
	"chervilusher.dev/standin/pkg/task"
)

// run has one minion of one slot and two jobs: one complete in twice its ideal, one refused.
func run() *Run {
	class := &experiment.Class{Name: "short", Deadline: jsontime.Duration(10 * time.Second)}
	owner := experiment.Owner{Name: "o", Group: "desk"}
	settings := &experiment.Settings{
		Name:    "x",
		Length:  jsontime.Duration(4 * time.Second),
		Groups:  []office.Group{{Name: "desk", Role: platform.RoleMinion, Count: 1, Slots: 1, Speeds: []float64{1}}},
		Owners:  []experiment.Owner{owner},
		Entries: []experiment.Entry{{Name: "e"}},
	}
	jobs := []workload.Job{
		{Owner: &owner, Class: class, Works: []time.Duration{time.Second}},
		{Owner: &owner, Class: class, At: time.Second, Works: []time.Duration{time.Second}},
	}
	return &Run{
		Settings: settings,
		Jobs:     jobs,
		Outcomes: []caller.Outcome{
			{Job: &jobs[0], Ended: 2 * time.Second, State: api.StateComplete, Backends: []string{"m"}},
			{Job: &jobs[1], Ended: time.Second + 5*time.Millisecond, State: api.StateRefused, RetryAfter: 2 * time.Second},
		},
		Backends: []office.MemberCounters{{Name: "m", Speed: 1, Counters: task.Counters{Starts: 1, Refused: 1}}},
		Before:   []Usage{{Counters: map[string]float64{startsCounter: 5}}},
		After:    []Usage{{Counters: map[string]float64{startsCounter: 6, lendingCounter + `{kind="borrow"}`: 2, lendingCounter + `{kind="empty"}`: 2}}},
		Samples: []Sample{
			{At: 0, Backends: []office.MemberCounters{{Name: "m"}}},
			{At: 4 * time.Second, Backends: []office.MemberCounters{{Name: "m", Counters: task.Counters{Starts: 3}}}},
		},
		Faulty:  map[string]bool{"m": true},
		Central: []time.Duration{time.Second, time.Second},
	}
}

func TestFiguresOfAWindow(t *testing.T) {
	results := Summarize(run())
	row := results.Windows[0].Rows[0]
	require.Equal(t, 2, row.Jobs)
	require.Equal(t, 1, row.Complete)
	require.InDelta(t, 0.5, row.InTime, 0.001)
	require.InDelta(t, 2, row.Ratio.P50, 0.01)
	require.InDelta(t, 1, row.Central.P50, 0.01)
	require.Equal(t, 1, row.Refusal.Count)
	require.InDelta(t, 0.005, row.Refusal.P99.Std().Seconds(), 0.0001)
	require.Equal(t, 2*time.Second, row.Return.Std())
	// One second of work in a span of four.
	require.InDelta(t, 0.25, results.Windows[0].Goodput, 0.001)
	require.InDelta(t, 0.5, results.Groups[0].Offered, 0.001)
}

func TestStartsOfAWindowAtFaultyBackends(t *testing.T) {
	figures := Summarize(run()).Windows[0]
	require.EqualValues(t, 3, figures.Starts)
	require.EqualValues(t, 3, figures.Faulty)
}

func TestMessagesForEachStart(t *testing.T) {
	results := Summarize(run())
	require.InDelta(t, 3, results.Totals.Messages, 0.001)
	require.InDelta(t, 3, results.Totals.Wasted, 0.001)
	require.InDelta(t, 1, results.Entries[0].Starts, 0.001)
}

func TestWorkCountsOnlyInsideTheSpan(t *testing.T) {
	require.InDelta(t, 0.5, run().workDone(0, 1500*time.Millisecond), 0.001)
	require.InDelta(t, 1, run().workDone(time.Second, 2*time.Second), 0.001)
}
