package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All workers take 1.7 times the estimate. Whether this is attributed to the queue or to the workers, the typical run
// time must match the observed one.
func TestTypicalRunTimeMatchesObservedRuns(t *testing.T) {
	const estimate = 100 * time.Millisecond
	s := newSpeeds()
	worker := &Worker{ID: "w", Kind: "slow"}
	for range 100 {
		task := &Task{Job: &Job{Queue: "q"}, Estimate: estimate}
		s.observe(&Run{Task: task, Worker: worker}, 170*time.Millisecond)
	}
	require.InDelta(t, 170, float64(s.typical("q", estimate).Milliseconds()), 10)
	require.InDelta(t, 170, float64(s.expected(&Task{Job: &Job{Queue: "q"}, Estimate: estimate}, worker).Milliseconds()), 10)
}

// TestRunsThatTookNoTimeTeachNothing guards against means of zero, by which later ratios are divided.
func TestRunsThatTookNoTimeTeachNothing(t *testing.T) {
	s := newSpeeds()
	worker := &Worker{ID: "w", Kind: "slow"}
	task := &Task{Job: &Job{Queue: "q"}, Estimate: time.Second}
	for range 100 {
		s.observe(&Run{Task: task, Worker: worker}, 0)
	}
	require.Equal(t, time.Second, s.typical("q", time.Second))
	require.Equal(t, time.Second, s.expected(task, worker))
}
