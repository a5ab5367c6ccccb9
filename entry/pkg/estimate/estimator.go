package estimate

import (
	"math"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// Weights of a new observation in the moving averages, and how far one observation counts.
const (
	kindGain    = 0.02
	backendGain = 0.02
	recentGain  = 0.2
	maxRatio    = 4
)

// Bounds for a back end whose speed has changed at once: its recent runs are that far from what was learnt.
const (
	changeRatio   = 2
	changeLearnt  = 5 // runs that the new slowness counts as learnt from
	usualVariance = 0.25
)

// fewRuns is how many runs of a kind of work make its mean half as telling as a long known one.
const fewRuns = 10

// maxKinds bounds how many kinds of work are remembered for one group.
const maxKinds = 100_000

type kindKey struct {
	owner string
	kind  string
}

// kind is what was learnt of one kind of work.
type kind struct {
	mean      float64 // seconds at a back end of slowness 1
	deviation float64 // mean distance from the mean, in seconds
	runs      int
}

// Estimator learns the run time of each kind of work and the relative slowness of each back end.
type Estimator struct {
	long   time.Duration
	groups map[string]map[kindKey]*kind
}

// New returns an estimator for which work is long from the given run time on.
func New(long time.Duration) *Estimator {
	return &Estimator{long: long, groups: map[string]map[kindKey]*kind{}}
}

// Classify sets the task's expected run time and whether it counts as long, by what was learnt or else by what was declared.
func (e *Estimator) Classify(task *blackboard.Task) {
	learnt, ok := e.groups[task.Target.Group][keyOf(task)]
	if !ok {
		task.Expected = task.Declared
		task.Long = task.Declared >= e.long
		return
	}
	task.Expected = seconds(learnt.mean)
	task.Deviation = seconds(learnt.deviation)
	task.Long = task.Expected >= e.long
}

// Observe takes in how long a task ran at a back end.
func (e *Estimator) Observe(task *blackboard.Task, backend *blackboard.Backend, took time.Duration) {
	ran := math.Max(took.Seconds(), minSeconds)
	learnt, ok := e.groups[task.Target.Group][keyOf(task)]
	if !ok {
		learnt = e.learn(task, ran/slowness(backend))
		learnt.runs = 1
		backend.SlownessRuns++
		backend.Slowness = slowness(backend)
		return
	}
	observeBackend(backend, math.Min(ran/learnt.mean, maxRatio), learnt.trust())
	learnt.average(ran / slowness(backend))
}

// observeBackend takes in one run time against the usual; a kind of work whose run times vary much counts for less.
func observeBackend(backend *blackboard.Backend, ratio, trust float64) {
	before := slowness(backend)
	backend.SlownessRuns++
	backend.Slowness = before + trust*gain(backendGain, backend.SlownessRuns)*(ratio-before)
	if backend.RecentSlowness <= 0 {
		backend.RecentSlowness = before
	}
	backend.RecentSlowness += trust * recentGain * (ratio - backend.RecentSlowness)
	if backend.SlownessRuns < changeLearnt {
		return
	}
	if backend.RecentSlowness > changeRatio*backend.Slowness || backend.RecentSlowness*changeRatio < backend.Slowness {
		backend.Slowness = backend.RecentSlowness
		backend.SlownessRuns = changeLearnt
	}
}

// trust returns how much one run tells of a back end's speed, from 0 to 1; the mean of few runs is too far off the truth to tell much.
func (k *kind) trust() float64 {
	variation := k.deviation / k.mean
	known := float64(k.runs) / float64(k.runs+fewRuns)
	return known * math.Min(1, usualVariance/(variation*variation))
}

// minSeconds keeps means and ratios above zero.
const minSeconds = 1e-6

// ObserveOverrun takes in that a task has run for at least the given time and goes on.
func (e *Estimator) ObserveOverrun(task *blackboard.Task, took time.Duration) {
	if _, ok := e.groups[task.Target.Group][keyOf(task)]; !ok {
		e.learn(task, took.Seconds())
	}
}

func (e *Estimator) learn(task *blackboard.Task, mean float64) *kind {
	kinds, ok := e.groups[task.Target.Group]
	if !ok || len(kinds) >= maxKinds {
		kinds = map[kindKey]*kind{}
		e.groups[task.Target.Group] = kinds
	}
	learnt := &kind{mean: mean, deviation: mean / 2}
	kinds[keyOf(task)] = learnt
	return learnt
}

// Rescale makes a back end of slowness 1 the typical one; speed is the present mean over the group's slots.
func (e *Estimator) Rescale(group *blackboard.Group, speed float64) {
	for _, backend := range group.Backends {
		backend.Slowness *= speed
		backend.RecentSlowness *= speed
	}
	for _, learnt := range e.groups[group.Name] {
		learnt.mean /= speed
		learnt.deviation /= speed
	}
}

func (k *kind) average(ran float64) {
	k.runs++
	weight := gain(kindGain, k.runs)
	k.deviation += weight * (math.Abs(ran-k.mean) - k.deviation)
	k.mean += weight * (ran - k.mean)
}

// gain lets the first observations count evenly and later ones by the given weight.
func gain(weight float64, observations int) float64 {
	return math.Max(weight, 1/float64(observations+1))
}

func slowness(backend *blackboard.Backend) float64 {
	if backend.Slowness <= 0 {
		return 1
	}
	return backend.Slowness
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

func keyOf(task *blackboard.Task) kindKey {
	return kindKey{owner: task.Job.Account, kind: task.Kind}
}
