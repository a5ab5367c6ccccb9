package burn_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilusher.dev/entry/pkg/burn"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/jsontime"
)

var (
	desk     = []burn.Target{{Service: "desk"}}
	complete = &api.Answer{State: api.StateComplete}
	broken   = &api.Answer{State: api.StateFailed, Code: api.CodeTaskFailed}
)

func stateWith(objectives ...configuration.Objective) *configuration.State {
	return &configuration.State{Owners: map[string]*configuration.Accepted{
		"hokkaido": {Document: configuration.Document{Owner: "hokkaido", Objectives: objectives}},
	}}
}

func prompt(target float64) configuration.Objective {
	return configuration.Objective{Name: "prompt", Service: "desk", Latency: jsontime.Duration(time.Second), Target: target}
}

func newRecorder(objectives ...configuration.Objective) (*burn.Recorder, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 4, 1, 0, 0, 0, 0, time.UTC))
	state := stateWith(objectives...)
	return burn.New("entry-1", clock, func() *configuration.State { return state }), clock
}

func only(t *testing.T, recorder *burn.Recorder) api.BurnObjective {
	t.Helper()
	report := recorder.Report("hokkaido")
	require.Len(t, report.Objectives, 1)
	return report.Objectives[0]
}

func TestWhatCountsAsGood(t *testing.T) {
	cases := []struct {
		name   string
		answer *api.Answer
		took   time.Duration
		good   int64
		bad    int64
	}{
		{"in time", complete, time.Second, 1, 0},
		{"late", complete, time.Second + 1, 0, 1},
		{"failed", broken, 0, 0, 1},
		{"overload", &api.Answer{State: api.StateRefused, Code: api.CodeOverload}, 0, 0, 1},
		{"own quota", &api.Answer{State: api.StateRefused, Code: api.CodeQuota}, 0, 0, 0},
		{"cancelled", &api.Answer{State: api.StateCancelled, Code: api.CodeCancelled}, 0, 0, 0},
		{"planned stop", &api.Answer{State: api.StateRefused, Code: api.CodeDraining}, 0, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			recorder, _ := newRecorder(prompt(0.99))
			recorder.Record("hokkaido", desk, test.answer, test.took)
			recorder.Record("kerlouan", desk, test.answer, test.took)
			recorder.Record("hokkaido", []burn.Target{{Pool: "desk"}}, test.answer, test.took)
			objective := only(t, recorder)
			require.Equal(t, test.good, objective.Good)
			require.Equal(t, test.bad, objective.Bad)
		})
	}
}

func TestAlarmNeedsBothWindows(t *testing.T) {
	recorder, clock := newRecorder(prompt(0.99))
	for range 100 {
		recorder.Record("hokkaido", desk, broken, 0)
	}
	require.True(t, only(t, recorder).Windows[0].Alarm)
	clock.Advance(10 * time.Minute)
	for range 100 {
		recorder.Record("hokkaido", desk, complete, 0)
	}
	window := only(t, recorder).Windows[0]
	require.InDelta(t, 50, window.Rate, 0.001)
	require.Zero(t, window.Recent)
	require.False(t, window.Alarm)
	require.Equal(t, 10*time.Minute, window.Covered.Std())
}

func TestAChangedObjectiveBeginsAnew(t *testing.T) {
	clock := clockwork.NewFakeClock()
	state := stateWith(prompt(0.99))
	recorder := burn.New("entry-1", clock, func() *configuration.State { return state })
	recorder.Record("hokkaido", desk, broken, 0)
	clock.Advance(time.Minute)
	state = stateWith(prompt(0.99))
	require.EqualValues(t, 1, only(t, recorder).Bad)
	state = stateWith(prompt(0.9))
	objective := only(t, recorder)
	require.Zero(t, objective.Bad)
	require.Equal(t, clock.Now(), objective.Since)
	require.Equal(t, clock.Now().Add(-time.Minute), recorder.Report("").Since)
}

func TestTimesAreOfTheLastDays(t *testing.T) {
	recorder, clock := newRecorder(prompt(0.99))
	recorder.Record("hokkaido", desk, complete, 200*time.Millisecond)
	require.Len(t, only(t, recorder).Times, 1)
	clock.Advance(48 * time.Hour)
	require.Len(t, only(t, recorder).Times, 1)
	clock.Advance(24 * time.Hour)
	require.Empty(t, only(t, recorder).Times)
}

// event is one answer of a random history.
type event struct {
	at  time.Time
	bad bool
}

// naive counts the events in the steps that a window of the length covers at now.
func naive(events []event, now time.Time, length, step time.Duration) api.BurnCounts {
	first := now.Truncate(step).Add(step - length)
	var total api.BurnCounts
	for _, one := range events {
		switch {
		case one.at.Before(first):
		case one.bad:
			total.Bad++
		default:
			total.Good++
		}
	}
	return total
}

func TestWindowsAgreeWithTheWholeHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recorder, clock := newRecorder(prompt(0.99))
		require.Len(t, recorder.Report("").Objectives, 1)
		var events []event
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			clock.Advance(time.Duration(rapid.Int64Range(0, int64(2*time.Hour)).Draw(t, "gap")))
			bad := rapid.Bool().Draw(t, "bad")
			answer := complete
			if bad {
				answer = broken
			}
			recorder.Record("hokkaido", desk, answer, 0)
			events = append(events, event{at: clock.Now(), bad: bad})
		}
		clock.Advance(time.Duration(rapid.Int64Range(0, int64(10*time.Hour)).Draw(t, "last")))
		objective := recorder.Report("").Objectives[0]
		require.EqualValues(t, len(events), objective.Good+objective.Bad)
		for _, window := range objective.Windows {
			require.Equal(t, naive(events, clock.Now(), window.Long.Std(), stepOf(window.Long)), window.Counts, window.Long)
			require.Equal(t, naive(events, clock.Now(), window.Short.Std(), stepOf(window.Short)), window.Latest, window.Short)
		}
	})
}

func stepOf(length jsontime.Duration) time.Duration {
	if length.Std() <= time.Hour {
		return 10 * time.Second
	}
	return 5 * time.Minute
}
