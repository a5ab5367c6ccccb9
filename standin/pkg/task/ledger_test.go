package task

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/platform"
)

func plan(length time.Duration) Plan {
	return Plan{Length: length, Free: func() {}}
}

func TestTombstoneForbidsAStart(t *testing.T) {
	ledger := New(clockwork.NewFakeClock(), 4)
	require.Equal(t, platform.TaskAbsent, ledger.Bury("a").State)
	_, ok := ledger.Start("a", plan(0))
	require.False(t, ok)
	require.Zero(t, ledger.Counters().Starts)
}

func TestDuplicateStartsAreCounted(t *testing.T) {
	ledger := New(clockwork.NewFakeClock(), 4)
	for range 2 {
		_, ok := ledger.Start("a", plan(time.Second))
		require.True(t, ok)
	}
	require.EqualValues(t, 2, ledger.Counters().Starts)
	require.EqualValues(t, 1, ledger.Counters().Duplicates)
}

func TestThrottleStretchesTheRest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ledger := New(clock, 4)
	run, _ := ledger.Start("a", plan(10*time.Second))
	clock.Advance(5 * time.Second)
	run.Throttle(0.5)
	clock.Advance(9 * time.Second)
	require.Equal(t, platform.TaskRunning, run.Status().State)
	clock.Advance(time.Second)
	<-run.Done()
	require.Equal(t, platform.TaskDone, run.Status().State)
}

func TestBuryStopsARunningTask(t *testing.T) {
	ledger := New(clockwork.NewFakeClock(), 4)
	run, _ := ledger.Start("a", plan(time.Hour))
	require.Equal(t, platform.TaskStopped, ledger.Bury("a").State)
	<-run.Done()
	require.Zero(t, ledger.Counters().Running)
	require.EqualValues(t, 1, ledger.Counters().Stopped)
}

func TestLedgerForgetsTheOldest(t *testing.T) {
	ledger := New(clockwork.NewFakeClock(), 2)
	for _, id := range []string{"a", "b", "c"} {
		ledger.Start(id, plan(time.Hour))
	}
	require.Nil(t, ledger.Find("a"))
	require.NotNil(t, ledger.Find("b"))
	require.NotNil(t, ledger.Find("c"))
}

func TestStartsAreCountedByMark(t *testing.T) {
	ledger := New(clockwork.NewFakeClock(), 0)
	for _, id := range []string{"first", "second"} {
		_, ok := ledger.Start(id, Plan{Hang: true, Free: func() {}, Mark: "m"})
		require.True(t, ok)
	}
	ledger.Bury("third")
	_, ok := ledger.Start("third", Plan{Hang: true, Free: func() {}, Mark: "m"})
	require.False(t, ok)
	require.Equal(t, map[string]int64{"m": 2}, ledger.Marks())
}
