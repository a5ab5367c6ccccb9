package interference

import (
	"math"
	"time"
)

// MaxQueues bounds the queues whose interference is learned at a time; runs of further queues are not observed.
const MaxQueues = 8

const (
	// memory is the time in which the weight of an observation falls to 1/e. Queues that are kept apart are no longer
	// observed beside each other, so that they are tried again some memories later.
	memory = 30 * time.Second
	// queueTimeout is how long after its last run a queue's place may be given to another one.
	queueTimeout = 10 * memory
	// minSlowdown is the slowdown by one neighbour from which on tasks are kept apart: objectives leave about half of
	// a run time, of which a tenth is used up by it.
	minSlowdown = 0.10
	// endSlowdown is the slowdown below which a pair is no longer kept apart.
	endSlowdown = minSlowdown / 2
	// minZ is the number of standard errors by which a slowdown must exceed endSlowdown.
	minZ = 4
	// minNeighbours is the weight of observed runs beside a neighbour from which on a slowdown is believed.
	minNeighbours = 20
	// minWorkers is the number of workers on which a slowdown must have been seen, since a slow worker is no neighbour.
	minWorkers = 3
	// solveInterval is the number of observed jobs of a queue after which its model is solved again.
	solveInterval = 32
	// maxDeviation bounds the influence of a single run, in logarithms of the run time.
	maxDeviation = 0.7
)

// Neighbours is the mean number of other runs on the same worker while a run lasted, by the index of their queue.
type Neighbours [MaxQueues]float64

// Run is a run that has ended as expected.
type Run struct {
	Worker     string
	Ratio      float64 // run time over what task and worker lead to expect
	Neighbours Neighbours
}

// Pair is a queue whose tasks take longer beside those of a neighbour.
type Pair struct {
	Queue     string
	Neighbour string
	Slowdown  float64 // fraction of the run time, by one neighbour
	Ended     bool    // it is no longer so, or no longer known
}

// Learner holds what is known of the queues of one group of workers. Its caller must serialize all calls.
type Learner struct {
	models  [MaxQueues]model
	names   [MaxQueues]string
	seenAt  [MaxQueues]time.Time
	indexes map[string]int
	known   int // pairs with a slowdown
	changes []Pair
}

// New returns a learner without knowledge.
func New() *Learner {
	return &Learner{indexes: map[string]int{}}
}

// Index returns the index of the queue, or false if there is no place for it.
func (l *Learner) Index(queue string, now time.Time) (int, bool) {
	if index, ok := l.indexes[queue]; ok {
		l.seenAt[index] = now
		return index, true
	}
	for index, name := range l.names {
		if name == "" || now.Sub(l.seenAt[index]) > queueTimeout {
			l.replaceQueue(index, queue, now)
			return index, true
		}
	}
	return 0, false
}

// replaceQueue gives the index to another queue and forgets the earlier one.
func (l *Learner) replaceQueue(index int, queue string, now time.Time) {
	if l.names[index] != "" {
		for other := range l.models {
			l.end(index, other)
			l.end(other, index)
			l.models[other].forget(index)
		}
		delete(l.indexes, l.names[index])
	}
	l.models[index] = model{}
	l.names[index] = queue
	l.seenAt[index] = now
	l.indexes[queue] = index
}

// Observe records the runs of one job, whose tasks share the error of its estimate.
func (l *Learner) Observe(queue int, runs []Run, now time.Time) {
	if len(runs) == 0 {
		return
	}
	m := &l.models[queue]
	m.decay(now)
	m.add(runs)
	if m.jobs++; m.jobs%solveInterval == 0 {
		l.solve(queue)
	}
}

// solve updates which neighbours slow the queue's tasks.
func (l *Learner) solve(queue int) {
	m := &l.models[queue]
	estimates := m.solve()
	for neighbour, estimate := range estimates {
		slowdown := math.Expm1(estimate.effect)
		switch {
		case m.slowdowns[neighbour] > 0 && (slowdown < endSlowdown || !m.isObserved(neighbour)):
			l.end(queue, neighbour)
		case m.slowdowns[neighbour] > 0:
			m.slowdowns[neighbour] = slowdown
		case slowdown >= minSlowdown && m.isObserved(neighbour) && m.seenOn(neighbour) >= minWorkers &&
			math.Expm1(estimate.effect-minZ*estimate.deviation) > endSlowdown:
			m.slowdowns[neighbour] = slowdown
			l.known++
			l.changes = append(l.changes, Pair{Queue: l.names[queue], Neighbour: l.names[neighbour], Slowdown: slowdown})
		}
	}
}

// end records that the neighbour no longer slows the queue's tasks.
func (l *Learner) end(queue, neighbour int) {
	m := &l.models[queue]
	if m.slowdowns[neighbour] > 0 {
		l.known--
		l.changes = append(l.changes, Pair{Queue: l.names[queue], Neighbour: l.names[neighbour], Ended: true})
	}
	m.slowdowns[neighbour] = 0
	m.workers[neighbour] = [minWorkers]string{}
}

// KnowsNone reports whether no pair is known to slow each other down.
func (l *Learner) KnowsNone() bool {
	return l.known == 0
}

// Slowdown returns the fraction by which a run of the queue takes longer beside one of the neighbour; zero unless it is
// known with confidence.
func (l *Learner) Slowdown(queue, neighbour int) float64 {
	return l.models[queue].slowdowns[neighbour]
}

// Factor returns by how much longer a run of the queue takes beside these neighbours, as far as it is known.
func (l *Learner) Factor(queue int, neighbours *Neighbours) float64 {
	factor := 1.0
	for neighbour, slowdown := range l.models[queue].slowdowns {
		if slowdown > 0 {
			factor *= math.Pow(1+slowdown, neighbours[neighbour])
		}
	}
	return factor
}

// TakeChanges returns the pairs that have begun or ended to slow each other down since the last call.
func (l *Learner) TakeChanges() []Pair {
	changes := l.changes
	l.changes = nil
	return changes
}
