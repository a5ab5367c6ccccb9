package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilusher.dev/entry/pkg/blackboard"
)

const (
	interval = 500 * time.Millisecond
	suspect  = 1250 * time.Millisecond
)

var start = time.Unix(1000, 0)

func newTracker() *Tracker {
	tracker := New(Options{Self: "a", FailureDomain: "north", HeartbeatInterval: interval, SuspectTimeout: suspect, RecoveryHeartbeats: 3})
	tracker.SetHosts([]blackboard.Member{
		{Name: "a", FailureDomain: "north", Size: 1},
		{Name: "b", FailureDomain: "north", Size: 1},
		{Name: "far", FailureDomain: "south", Size: 1},
	}, start)
	return tracker
}

func alive(tracker *Tracker, name string) bool {
	return tracker.Table().ByName[name].Alive
}

func TestHostIsSuspectedAndRecoversAfterConsecutiveHeartbeats(t *testing.T) {
	tracker := newTracker()
	now := start
	for range 4 {
		now = now.Add(interval)
		tracker.Tick(now)
	}
	require.False(t, alive(tracker, "b"))
	require.True(t, alive(tracker, "far"), "hosts of other failure domains are not suspected")

	for heartbeats := range 3 {
		require.False(t, alive(tracker, "b"), "after %d heartbeats", heartbeats)
		now = now.Add(interval)
		tracker.RecordHeartbeat("b", "i1", false, now)
		tracker.Tick(now)
	}
	require.True(t, alive(tracker, "b"))
}

func TestPauseOfThisProcessDoesNotSuspectOthers(t *testing.T) {
	tracker := newTracker()
	now := start
	tracker.RecordHeartbeat("b", "i1", false, now)
	tracker.Tick(now)
	now = now.Add(time.Minute)
	_, paused := tracker.Tick(now)
	require.True(t, paused)
	require.True(t, alive(tracker, "b"))
}

func TestHeartbeatOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	tracker := newTracker()
	tracker.RecordHeartbeat("b", "i1", false, start)
	require.True(t, tracker.RecordHeartbeat("b", "i2", false, start))
	require.False(t, tracker.RecordHeartbeat("b", "i1", true, start))
	require.False(t, tracker.Table().ByName["b"].Leaving)
}

func TestHostReportsThatItIsLeaving(t *testing.T) {
	tracker := newTracker()
	require.True(t, tracker.RecordHeartbeat("b", "i1", true, start))
	require.True(t, tracker.Table().ByName["b"].Leaving)
}

// TestHostThatIsHeardOutlivesItsRecord guards against hosts that forget a live one, since an append that dropped its record in
// an earlier life was carried out late.
func TestHostThatIsHeardOutlivesItsRecord(t *testing.T) {
	tracker := newTracker()
	tracker.options.KeepHeard = true
	without := []blackboard.Member{{Name: "a", FailureDomain: "north", Size: 1}, {Name: "far", FailureDomain: "south", Size: 1}}
	now := start
	tracker.RecordHeartbeat("b", "i1", false, now)
	for range 10 {
		now = now.Add(interval)
		tracker.SetHosts(without, now)
		tracker.RecordHeartbeat("b", "i1", false, now)
		tracker.Tick(now)
		require.True(t, alive(tracker, "b"))
	}
	for range 3 {
		now = now.Add(interval)
		tracker.Tick(now)
	}
	require.NotContains(t, tracker.Table().ByName, "b", "it is silent")
	require.Contains(t, tracker.Table().ByName, "far", "it has a record")
}

// TestHostWithoutARecordIsForgotten has hosts without a record that were never heard, or leave.
func TestHostWithoutARecordIsForgotten(t *testing.T) {
	tracker := newTracker()
	tracker.options.KeepHeard = true
	tracker.RecordHeartbeat("b", "i1", true, start)
	tracker.SetHosts([]blackboard.Member{{Name: "a", FailureDomain: "north", Size: 1}}, start)
	require.Len(t, tracker.Table().ByName, 1)
}

// TestSuspicionIsBounded checks at random times that a host is never suspected before the timeout, and always within a
// tick after it.
func TestSuspicionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := newTracker()
		now, heard := start, start
		steady := true // heard without a gap since it last was alive
		for range 200 {
			step := time.Duration(rapid.IntRange(50, 500).Draw(t, "ms")) * time.Millisecond
			now = now.Add(step)
			if rapid.IntRange(0, 2).Draw(t, "hear") == 0 {
				tracker.RecordHeartbeat("b", "i1", false, now)
				heard = now
			}
			tracker.Tick(now)
			silent := now.Sub(heard)
			if silent > suspect {
				steady = false
				require.False(t, alive(tracker, "b"))
			}
			if steady {
				require.True(t, alive(tracker, "b"))
			}
			steady = steady || alive(tracker, "b")
		}
	})
}
