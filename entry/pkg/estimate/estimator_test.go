package estimate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/estimate"
)

const long = 2 * time.Second

func newTask(kind string, declared time.Duration) *blackboard.Task {
	return &blackboard.Task{
		Job: &blackboard.Job{Account: "hokkaido"}, Target: &blackboard.Target{Group: "desk"}, Kind: kind, Declared: declared,
	}
}

func TestDeclaredRunTimeIsReplacedByLearntOne(t *testing.T) {
	estimator := estimate.New(long)
	task := newTask("check", 30*time.Second)
	estimator.Classify(task)
	require.True(t, task.Long)
	require.Equal(t, 30*time.Second, task.Expected)
	for range 5 {
		estimator.Observe(task, &blackboard.Backend{}, 100*time.Millisecond)
	}
	estimator.Classify(task)
	require.False(t, task.Long)
	require.InDelta(t, 0.1, task.Expected.Seconds(), 0.01)
}

func TestOverrunOfAnUnknownKindMakesItLong(t *testing.T) {
	estimator := estimate.New(long)
	task := newTask("surprise", time.Second)
	estimator.ObserveOverrun(task, long)
	estimator.Classify(task)
	require.True(t, task.Long)
}

func TestSpeedsAreLearntInTheirOrder(t *testing.T) {
	speeds := []float64{0.5, 0.7, 1, 1.4, 2}
	for seed := range uint64(3) {
		random := rand.New(rand.NewPCG(seed, 1))
		estimator := estimate.New(long)
		backends := make([]blackboard.Backend, len(speeds))
		for range 400 {
			for i, speed := range speeds {
				run := 0.05 + 0.95*random.Float64()
				estimator.Observe(newTask("check", 0), &backends[i], time.Duration(run/speed*float64(time.Second)))
			}
		}
		for i := 1; i < len(speeds); i++ {
			require.Less(t, backends[i].Slowness, backends[i-1].Slowness, "seed %d", seed)
		}
		require.InDelta(t, 4, backends[0].Slowness/backends[4].Slowness, 0.8)
	}
}

func TestSuddenChangeOfSpeedIsLearntWithinAFewRuns(t *testing.T) {
	estimator := estimate.New(long)
	task := newTask("check", 0)
	var steady, changed blackboard.Backend
	for range 500 {
		estimator.Observe(task, &steady, 500*time.Millisecond)
		estimator.Observe(task, &changed, 500*time.Millisecond)
	}
	runs := 0
	for ; changed.Slowness < 2*steady.Slowness; runs++ {
		estimator.Observe(task, &changed, 5*time.Second)
	}
	require.LessOrEqual(t, runs, 10)
}

func TestRescaleKeepsExpectedRunTimes(t *testing.T) {
	estimator := estimate.New(long)
	task := newTask("check", 0)
	group := &blackboard.Group{Name: "desk", Backends: map[string]*blackboard.Backend{"fast": {}}}
	for range 100 {
		estimator.Observe(task, group.Backends["fast"], time.Second)
	}
	before := group.Backends["fast"].Slowness
	estimator.Classify(task)
	expected := time.Duration(float64(task.Expected) * before)
	estimator.Rescale(group, 4)
	estimator.Classify(task)
	require.InDelta(t, 4*before, group.Backends["fast"].Slowness, 1e-9)
	require.InDelta(t, expected.Seconds(), task.Expected.Seconds()*group.Backends["fast"].Slowness, 1e-6)
}
