package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// world produces runs of queues on workers with true effects that the learner does not see.
type world struct {
	random  *rand.Rand
	learner *Learner
	now     time.Time
	effects map[[2]int]float64 // logarithm by queue and neighbour
	slow    map[string]float64 // ratio of workers whose slowness is not known yet
	beside  func(queue, worker int) Neighbours
}

func newWorld(effects map[[2]int]float64) *world {
	w := &world{random: rand.New(rand.NewPCG(1, 2)), learner: New(), now: time.Unix(1e9, 0), effects: effects, slow: map[string]float64{}}
	for _, queue := range []string{"a", "b", "c"} {
		w.learner.Index(queue, w.now)
	}
	w.beside = func(queue, _ int) (found Neighbours) {
		for other := range 3 {
			if other != queue && w.random.Float64() < 0.4 {
				found[other] = w.random.Float64()
			}
		}
		return found
	}
	return w
}

// play observes jobs of the queue with that many tasks, a hundred jobs a second. Estimates are off by up to 40 %.
func (w *world) play(queue, jobs, tasks int) {
	for range jobs {
		w.now = w.now.Add(10 * time.Millisecond)
		wrong := 0.6 + 0.8*w.random.Float64()
		runs := make([]Run, tasks)
		for i := range runs {
			worker := w.random.IntN(16)
			name := fmt.Sprint("w", worker)
			runs[i] = Run{Worker: name, Ratio: wrong * math.Exp(0.15*w.random.NormFloat64()), Neighbours: w.beside(queue, worker)}
			if slow, ok := w.slow[name]; ok {
				runs[i].Ratio *= slow
			}
			for neighbour, count := range runs[i].Neighbours {
				runs[i].Ratio *= math.Exp(w.effects[[2]int{queue, neighbour}] * count)
			}
		}
		w.learner.Observe(queue, runs, w.now)
	}
}

func (w *world) requireNone(t *testing.T) {
	t.Helper()
	for queue := range 3 {
		for neighbour := range 3 {
			require.Zero(t, w.learner.Slowdown(queue, neighbour), "%d beside %d", queue, neighbour)
		}
	}
}

func TestTwoQueuesThatSlowEachOther(t *testing.T) {
	w := newWorld(map[[2]int]float64{{0, 1}: 0.3, {1, 0}: 0.5})
	w.play(0, 400, 4)
	w.play(1, 400, 4)
	require.InDelta(t, math.Expm1(0.3), w.learner.Slowdown(0, 1), 0.1)
	require.InDelta(t, math.Expm1(0.5), w.learner.Slowdown(1, 0), 0.15)
	require.Zero(t, w.learner.Slowdown(0, 2))
	require.Len(t, w.learner.TakeChanges(), 2)
	require.Empty(t, w.learner.TakeChanges())
	require.InDelta(t, math.Exp(0.3), w.learner.Factor(0, &Neighbours{1: 1, 2: 3}), 0.1)
}

// The innocent queue's tasks always run where those of the one that slows others do.
func TestInnocentQueueBesideAGuiltyOne(t *testing.T) {
	w := newWorld(map[[2]int]float64{{0, 1}: 0.4})
	w.beside = func(int, int) (found Neighbours) {
		if w.random.Float64() < 0.5 {
			found[1] = w.random.Float64()
			found[2] = 0.5*found[1] + 0.5*w.random.Float64()
		}
		return found
	}
	w.play(0, 1000, 4)
	require.Positive(t, w.learner.Slowdown(0, 1))
	require.Zero(t, w.learner.Slowdown(0, 2))
}

func TestNoEffectIsFoundWhereThereIsNone(t *testing.T) {
	w := newWorld(nil)
	for range 20 {
		for queue := range 3 {
			w.play(queue, 200, 1+queue*3)
		}
		w.requireNone(t)
	}
}

func TestFewRunsChangeNothing(t *testing.T) {
	w := newWorld(map[[2]int]float64{{0, 1}: 0.5})
	w.play(0, solveInterval-1, 2)
	w.requireNone(t)
}

// Tasks of the neighbour run on two workers alone, which turn slow.
func TestSlowWorkerIsNoNeighboursDoing(t *testing.T) {
	w := newWorld(nil)
	w.beside = func(_, worker int) (found Neighbours) {
		if worker < 2 {
			found[1] = 1
		}
		return found
	}
	w.slow["w0"], w.slow["w1"] = 4, 4
	w.play(0, 2000, 4)
	w.requireNone(t)
}

func TestEffectThatEnds(t *testing.T) {
	w := newWorld(map[[2]int]float64{{0, 1}: 0.4})
	w.play(0, 400, 4)
	require.Positive(t, w.learner.Slowdown(0, 1))
	clear(w.effects)
	w.play(0, 8000, 4)
	w.requireNone(t)
	changes := w.learner.TakeChanges()
	require.Len(t, changes, 2)
	require.True(t, changes[1].Ended)
}

// Tasks that are kept apart are no longer seen together, so that what is known of them must end by itself.
func TestPairThatIsNotSeenTogetherIsForgotten(t *testing.T) {
	w := newWorld(map[[2]int]float64{{0, 1}: 0.4})
	w.play(0, 400, 4)
	require.Positive(t, w.learner.Slowdown(0, 1))
	w.beside = func(int, int) Neighbours { return Neighbours{} }
	w.play(0, 30000, 1)
	w.requireNone(t)
}

func TestJobsOfOneTaskAreComparedWithEarlierOnes(t *testing.T) {
	w := newWorld(map[[2]int]float64{{0, 1}: 0.5})
	w.play(0, 2000, 1)
	require.Positive(t, w.learner.Slowdown(0, 1))
	require.Zero(t, w.learner.Slowdown(0, 2))
}

func TestQueuesAreBounded(t *testing.T) {
	l, now := New(), time.Unix(1e9, 0)
	for i := range MaxQueues {
		_, ok := l.Index(fmt.Sprint(i), now)
		require.True(t, ok)
	}
	_, ok := l.Index("further", now)
	require.False(t, ok)
	later := now.Add(queueTimeout + time.Second)
	index, ok := l.Index("further", later)
	require.True(t, ok)
	require.Zero(t, index)
	_, ok = l.Index("0", later)
	require.True(t, ok, "another place is free by now")
}
