package estimate

import (
	"math"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// Weights of an observation in the moving averages, and the cap on the ratio of one run time to the mean.
const (
	kindGain    = 0.02
	backendGain = 0.02
	recentGain  = 0.2
	maxRatio    = 4
)

// Bounds for detecting a sudden change of a back end's speed: how far its recent runs differ from the average.
const (
	speedChangeRatio = 2
	speedChangeRuns  = 5 // number of runs that the new slowness counts for
	typicalVariance  = 0.25
)

// halfTrustRuns is the number of runs at which a kind's mean is trusted half.
const halfTrustRuns = 10

// maxKinds bounds how many kinds of task are kept for one group.
const maxKinds = 100_000

type kindKey struct {
	account string
	name    string
}

// kindStats are the learnt run times of one kind of task.
type kindStats struct {
	mean      float64 // seconds, at a back end of slowness 1
	deviation float64 // mean absolute deviation, in seconds
	runs      int
}

// Estimator learns the run time of each kind of task and the relative slowness of each back end.
type Estimator struct {
	longAfter time.Duration
	groups    map[string]map[kindKey]*kindStats
}

// New returns an estimator that classifies tasks as long from the given expected run time.
func New(long time.Duration) *Estimator {
	return &Estimator{longAfter: long, groups: map[string]map[kindKey]*kindStats{}}
}

// Classify sets the task's expected run time and class from what was learnt, or else from what was declared.
func (e *Estimator) Classify(task *blackboard.Task) {
	learnt, ok := e.groups[task.Target.Group][kindKeyOf(task)]
	if !ok {
		task.Expected = task.Declared
		task.Long = task.Declared >= e.longAfter
		return
	}
	task.Expected = seconds(learnt.mean)
	task.Deviation = seconds(learnt.deviation)
	task.Long = task.Expected >= e.longAfter
}

// Observe records how long a task ran at a back end.
func (e *Estimator) Observe(task *blackboard.Task, backend *blackboard.Backend, runTime time.Duration) {
	ran := math.Max(runTime.Seconds(), minSeconds)
	learnt, ok := e.groups[task.Target.Group][kindKeyOf(task)]
	if !ok {
		learnt = e.addKind(task, ran/slowness(backend))
		learnt.runs = 1
		backend.SlownessRuns++
		backend.Slowness = slowness(backend)
		return
	}
	observeBackend(backend, math.Min(ran/learnt.mean, maxRatio), learnt.trust())
	learnt.update(ran / slowness(backend))
}

// observeBackend updates a back end's slowness from the ratio of a run time to its kind's mean, weighted by trust.
func observeBackend(backend *blackboard.Backend, ratio, trust float64) {
	before := slowness(backend)
	backend.SlownessRuns++
	backend.Slowness = before + trust*gain(backendGain, backend.SlownessRuns)*(ratio-before)
	if backend.RecentSlowness <= 0 {
		backend.RecentSlowness = before
	}
	backend.RecentSlowness += trust * recentGain * (ratio - backend.RecentSlowness)
	if backend.SlownessRuns < speedChangeRuns {
		return
	}
	if backend.RecentSlowness > speedChangeRatio*backend.Slowness || backend.RecentSlowness*speedChangeRatio < backend.Slowness {
		backend.Slowness = backend.RecentSlowness
		backend.SlownessRuns = speedChangeRuns
	}
}

// trust returns the weight, from 0 to 1, of one run in a back end's slowness:
// low for kinds with few runs, whose mean is inaccurate, and for kinds whose run times vary much.
func (k *kindStats) trust() float64 {
	variation := k.deviation / k.mean
	known := float64(k.runs) / float64(k.runs+halfTrustRuns)
	return known * math.Min(1, typicalVariance/(variation*variation))
}

// minSeconds keeps means and ratios above zero.
const minSeconds = 1e-6

// ObserveOverrun records that a task has run for at least the given time and is still running.
func (e *Estimator) ObserveOverrun(task *blackboard.Task, runTime time.Duration) {
	if _, ok := e.groups[task.Target.Group][kindKeyOf(task)]; !ok {
		e.addKind(task, runTime.Seconds())
	}
}

func (e *Estimator) addKind(task *blackboard.Task, mean float64) *kindStats {
	kinds, ok := e.groups[task.Target.Group]
	if !ok || len(kinds) >= maxKinds {
		kinds = map[kindKey]*kindStats{}
		e.groups[task.Target.Group] = kinds
	}
	learnt := &kindStats{mean: mean, deviation: mean / 2}
	kinds[kindKeyOf(task)] = learnt
	return learnt
}

// Rescale normalises slowness so that 1 is the mean; speed is the present mean over the group's slots.
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

func (k *kindStats) update(ran float64) {
	k.runs++
	weight := gain(kindGain, k.runs)
	k.deviation += weight * (math.Abs(ran-k.mean) - k.deviation)
	k.mean += weight * (ran - k.mean)
}

// gain weights the first observations equally and later ones by the given weight.
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

func kindKeyOf(task *blackboard.Task) kindKey {
	return kindKey{account: task.Job.Account, name: task.Kind}
}
