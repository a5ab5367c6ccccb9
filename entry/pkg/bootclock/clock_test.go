package bootclock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/bootclock"
)

func TestClockIsNearTheTimeOfDayAndGoesOn(t *testing.T) {
	clock := bootclock.New()
	require.WithinDuration(t, time.Now(), clock.Now(), time.Second)
	before := clock.Now()
	time.Sleep(20 * time.Millisecond)
	require.GreaterOrEqual(t, clock.Since(before), 20*time.Millisecond)
	require.Negative(t, clock.Until(before))
}
