package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStaleCopyOfAJobDoesNotReplaceTheLiveOne guards against a call to a keeper that is read long after it was sent, when the
// caller has sent the job again: the copy that nobody waits for abandoned the one whose caller waits.
func TestStaleCopyOfAJobDoesNotReplaceTheLiveOne(t *testing.T) {
	for _, waits := range []bool{false, true} {
		h := newHarness(t)
		h.addWorkers(1, 16, 1)
		if waits {
			h.submit(h.job(1, 16, 100*time.Millisecond, time.Second, longDeadline))
		}
		stale := h.jobNamed("again", 1, 7, 300*time.Millisecond, 4*time.Second, 4*time.Second)
		stale.Call, stale.WantedAt = 1, stale.Arrived
		h.pass(resendAfter)
		live := h.jobNamed("again", 1, 7, 300*time.Millisecond, time.Second, longDeadline)
		h.submit(live)
		h.submit(stale)
		require.NotNil(t, stale.answer)
		require.Equal(t, Abandoned, stale.answer.Outcome)
		require.Nil(t, live.answer)
		h.pass(600 * time.Millisecond)
		require.Equal(t, "completed", h.outcome(live))
	}
}
