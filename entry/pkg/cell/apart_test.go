package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// neighbourhood is a cell whose workers run the tasks of two queues, of which two fit a worker.
type neighbourhood struct {
	*harness
	random  *rand.Rand
	pace    float64 // progress of a run beside one of the other queue
	asked   int
	beside  time.Duration // run time beside the other queue
	running time.Duration
}

func newNeighbourhood(t *testing.T, keepApart bool, pace float64) *neighbourhood {
	n := &neighbourhood{harness: newHarness(t), random: rand.New(rand.NewPCG(3, 4)), pace: pace}
	n.cell.limits.KeepApart = keepApart
	n.addWorkers(8, 32, 1)
	return n
}

// queueOf returns the queue of a task, which its name begins with.
func queueOf(task string) byte { return task[0] }

// play sends jobs of one to three tasks of both queues, and slows runs beside the other queue. Each job takes an eighth
// of the room for 100 ms in the mean.
func (n *neighbourhood) play(length time.Duration, perSecond float64) (beside float64) {
	n.beside, n.running = 0, 0
	for end := n.now.Add(length); n.now.Before(end); {
		if n.random.Float64() < perSecond*step.Seconds() {
			n.asked++
			queue := string("ab"[n.random.IntN(2)])
			job := n.jobNamed(fmt.Sprintf("%s%05d", queue, n.asked), 1+n.random.IntN(3), 16, 100*time.Millisecond, 400*time.Millisecond, longDeadline)
			job.Queue = queue
			n.submit(job)
		}
		n.slow()
		n.pass(step)
	}
	return float64(n.beside) / float64(max(1, n.running))
}

// slow delays the runs beside the other queue by a step's lost progress.
func (n *neighbourhood) slow() {
	for _, worker := range n.workers {
		for key, run := range worker.running {
			n.running += step
			for other := range worker.running {
				if queueOf(other.task) != queueOf(key.task) {
					run.until = run.until.Add(time.Duration((1 - n.pace) * float64(step)))
					n.beside += step
				}
			}
		}
	}
}

// served returns how many jobs of those that were asked for are completed.
func (n *neighbourhood) served() int {
	count := 0
	for _, answer := range n.answers {
		if answer.Outcome == Completed {
			count++
		}
	}
	return count
}

func TestQueuesThatSlowEachOtherAreKeptApartWhereThereIsRoom(t *testing.T) {
	n := newNeighbourhood(t, true, 0.5)
	before := n.play(4*time.Second, 25)
	n.play(15*time.Second, 25)
	require.NotEmpty(t, n.cell.TakeInterference())
	after := n.play(10*time.Second, 25)
	require.Greater(t, before, 0.2, "they run beside each other as long as nothing is known")
	require.Less(t, after, before/3)
	plain := newNeighbourhood(t, false, 0.5)
	plain.play(29*time.Second, 25)
	require.GreaterOrEqual(t, n.served(), plain.served(), "nobody is refused for it")
	require.InDelta(t, 1, n.cell.speeds.slowness(n.cell.Worker("w00"))*n.cell.speeds.queue("a"), 0.15, "the neighbours are not taken for a slow worker")
}

func TestQueuesThatDoNotSlowEachOtherShareWorkersAsBefore(t *testing.T) {
	n, plain := newNeighbourhood(t, true, 1), newNeighbourhood(t, false, 1)
	require.Equal(t, plain.play(20*time.Second, 25), n.play(20*time.Second, 25))
	require.Empty(t, n.cell.TakeInterference())
	require.Equal(t, plain.served(), n.served())
}

// More work comes than there is room for: as many jobs are served as by a cell that keeps nothing apart.
func TestWithoutRoomApartTasksRunAsToday(t *testing.T) {
	n, plain := newNeighbourhood(t, true, 0.5), newNeighbourhood(t, false, 0.5)
	n.play(20*time.Second, 70)
	plain.play(20*time.Second, 70)
	require.GreaterOrEqual(t, n.served(), plain.served()*98/100)
}
