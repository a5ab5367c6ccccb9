package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUsualRunTimeIsThatOfTheRunsSeen has workers that all take 1.7 times the estimate: whether that is put down to the queue
// or to the workers, a task's usual run time is what runs have taken.
func TestUsualRunTimeIsThatOfTheRunsSeen(t *testing.T) {
	const estimate = 100 * time.Millisecond
	s := newSpeeds()
	worker := &Worker{ID: "w", Kind: "slow"}
	for range 100 {
		task := &Task{Job: &Job{Queue: "q"}, Estimate: estimate}
		s.observe(&Run{Task: task, Worker: worker}, 170*time.Millisecond)
	}
	require.InDelta(t, 170, float64(s.usual("q", estimate).Milliseconds()), 10)
	require.InDelta(t, 170, float64(s.expected(&Task{Job: &Job{Queue: "q"}, Estimate: estimate}, worker).Milliseconds()), 10)
}
