package reference

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"chervilusher.dev/load/pkg/workload"
)

// Fleet is the back ends of one group.
type Fleet struct {
	Speeds []float64 // one a back end
	Slots  int       // of each back end
}

// Choose returns the back end for a task among those with a free slot, or -1 for none.
type Choose func(fleet Fleet, busy []int) int

// FastestFree chooses the fastest back end that has a free slot.
func FastestFree(fleet Fleet, busy []int) int {
	best := -1
	for i, speed := range fleet.Speeds {
		if busy[i] < fleet.Slots && (best < 0 || speed > fleet.Speeds[best]) {
			best = i
		}
	}
	return best
}

// LeastBusy returns a choice of a least busy back end, ties broken by the seed.
func LeastBusy(seed uint64) Choose {
	source := rand.New(rand.NewPCG(seed, seed))
	return func(fleet Fleet, busy []int) int {
		best, ties := -1, 0
		for i := range fleet.Speeds {
			switch {
			case busy[i] >= fleet.Slots:
			case best < 0 || busy[i] < busy[best]:
				best, ties = i, 1
			case busy[i] == busy[best]:
				ties++
				if source.IntN(ties) == 0 {
					best = i
				}
			}
		}
		return best
	}
}

// ending is a running task's end.
type ending struct {
	at      time.Duration
	job     int
	backend int
}

// endings orders running tasks by their end.
type endings []ending

// Len implements heap.Interface.
func (e endings) Len() int { return len(e) }

// Less implements heap.Interface.
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }

// Swap implements heap.Interface.
func (e endings) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *endings) Push(x any) { *e = append(*e, x.(ending)) }

// Pop implements heap.Interface.
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// waiting is a task in the central queue.
type waiting struct {
	job  int
	work time.Duration
}

// central is one queue in front of a fleet, first come first served.
type central struct {
	fleet   Fleet
	choose  Choose
	busy    []int
	queue   []waiting
	running endings
	ends    []time.Duration // of each job, the latest end of its tasks
}

// Responses returns the response time of each job under one central queue without cost or deadlines.
func Responses(fleet Fleet, choose Choose, jobs []workload.Job) []time.Duration {
	state := &central{
		fleet:  fleet,
		choose: choose,
		busy:   make([]int, len(fleet.Speeds)),
		ends:   make([]time.Duration, len(jobs)),
	}
	for i, job := range jobs {
		state.runUntil(job.At)
		for _, work := range job.Works {
			state.queue = append(state.queue, waiting{job: i, work: work})
		}
		state.assign(job.At)
	}
	for len(state.running) > 0 {
		state.runUntil(state.running[0].at)
	}
	for i := range jobs {
		state.ends[i] -= jobs[i].At
	}
	return state.ends
}

func (c *central) runUntil(now time.Duration) {
	for len(c.running) > 0 && c.running[0].at <= now {
		ended := heap.Pop(&c.running).(ending)
		c.busy[ended.backend]--
		c.ends[ended.job] = max(c.ends[ended.job], ended.at)
		c.assign(ended.at)
	}
}

func (c *central) assign(now time.Duration) {
	for len(c.queue) > 0 {
		backend := c.choose(c.fleet, c.busy)
		if backend < 0 {
			return
		}
		first := c.queue[0]
		c.queue = c.queue[1:]
		c.busy[backend]++
		length := time.Duration(float64(first.work) / c.fleet.Speeds[backend])
		heap.Push(&c.running, ending{at: now + length, job: first.job, backend: backend})
	}
}
