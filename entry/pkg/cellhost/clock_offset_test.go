package cellhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClockOffsetFollowsClocksThatDrift guards against keeping the least offset for ever, with which heartbeats would count as
// sent earlier and earlier.
func TestClockOffsetFollowsClocksThatDrift(t *testing.T) {
	const drift = 100e-6 // of quartz clocks
	var estimate clockOffset
	start := time.Unix(1000, 0)
	for at := time.Duration(0); at < time.Hour; at += DefaultHeartbeatInterval {
		offset := time.Duration(drift * float64(at))
		delay := time.Duration(at.Milliseconds()%700) * time.Millisecond / 10 // up to 60 ms
		estimate.observe(offset+delay, start.Add(at))
		require.InDelta(t, offset, estimate.estimate, 2*drift*float64(offsetWindow), "after %s", at)
	}
}

// TestClockOffsetRisesNoFasterThanClocksDrift guards against a jump to the lag of this host once it has read each heartbeat late
// for longer than the window.
func TestClockOffsetRisesNoFasterThanClocksDrift(t *testing.T) {
	var estimate clockOffset
	now := time.Unix(1000, 0)
	estimate.observe(0, now)
	for range 3 * offsetWindow / DefaultHeartbeatInterval {
		before := estimate.estimate
		now = now.Add(DefaultHeartbeatInterval)
		estimate.observe(300*time.Millisecond, now)
		require.LessOrEqual(t, estimate.estimate-before, time.Duration(maxClockDrift*float64(DefaultHeartbeatInterval)))
	}
	now = now.Add(DefaultHeartbeatInterval)
	estimate.observe(5*time.Millisecond, now)
	require.Equal(t, 5*time.Millisecond, estimate.estimate)
}
