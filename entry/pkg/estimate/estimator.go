package estimate

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// kindGain and backendGain are the weights of a new observation in the moving averages.
const (
	kindGain    = 0.05
	backendGain = 0.1
)

type kindKey struct {
	owner string
	group string
	kind  string
}

// Estimator holds the mean run time of each kind of work and the relative slowness of each back end.
type Estimator struct {
	long  time.Duration
	kinds map[kindKey]float64 // seconds at a back end of slowness 1
}

// New returns an estimator for which work is long from the given run time on.
func New(long time.Duration) *Estimator {
	return &Estimator{long: long, kinds: map[kindKey]float64{}}
}

// Classify sets whether the task counts as long, by what was learnt or else by what was declared.
func (e *Estimator) Classify(task *blackboard.Task) {
	task.Long = e.Expect(task) >= e.long
}

// Expect returns the expected run time at a back end of slowness 1; zero when nothing is known.
func (e *Estimator) Expect(task *blackboard.Task) time.Duration {
	mean, ok := e.kinds[keyOf(task)]
	if !ok {
		return task.Declared
	}
	return time.Duration(mean * float64(time.Second))
}

// Observe takes in how long a task ran at a back end.
func (e *Estimator) Observe(task *blackboard.Task, backend *blackboard.Backend, took time.Duration) {
	key := keyOf(task)
	seconds := took.Seconds()
	mean, ok := e.kinds[key]
	if !ok || mean <= 0 {
		e.kinds[key] = seconds / slowness(backend)
		return
	}
	ratio := seconds / mean
	backend.Slowness = slowness(backend) + backendGain*(ratio-slowness(backend))
	e.kinds[key] = mean + kindGain*(seconds/slowness(backend)-mean)
}

func slowness(backend *blackboard.Backend) float64 {
	if backend.Slowness <= 0 {
		return 1
	}
	return backend.Slowness
}

func keyOf(task *blackboard.Task) kindKey {
	return kindKey{owner: task.Job.Owner, group: task.Target.Group, kind: task.Kind}
}
