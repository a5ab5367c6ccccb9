package cell

import (
	"math"
	"time"
)

const (
	// slownessGain is the weight of a new run in a worker's slowness, which covers about the last ten runs.
	slownessGain = 0.1
	// meanGain is the weight of a new run in the mean of a kind of worker or of a queue.
	meanGain = 0.03
	// ratioLimit bounds the influence of a single run.
	ratioLimit = 5
)

// average is an exponential moving average that starts as the plain mean of its first values.
type average struct {
	value float64
	count int
}

func (a *average) add(value, gain float64) {
	a.count++
	a.value += math.Max(gain, 1/float64(a.count)) * (value - a.value)
}

// speeds learns the ratio of run times to estimates.
type speeds struct {
	kinds        map[string]*average // by kind of worker
	queues       map[string]*average
	meanSlowness average // of the workers that ran something
}

func newSpeeds() speeds {
	return speeds{kinds: map[string]*average{}, queues: map[string]*average{}}
}

// expected returns the expected run time of the task on the worker.
func (s *speeds) expected(task *Task, worker *Worker) time.Duration {
	return time.Duration(s.length(task) * s.slowness(worker))
}

// length returns the expected run time on a worker of slowness 1, in nanoseconds.
func (s *speeds) length(task *Task) float64 {
	return float64(task.Estimate) * s.queue(task.Job.Queue)
}

// typical returns the expected run time of an estimate of the queue on a worker of mean slowness.
func (s *speeds) typical(queue string, estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * s.queue(queue) * blendedValue(&s.meanSlowness))
}

func (s *speeds) queue(name string) float64 {
	return blendedValue(s.queues[name])
}

// Number of runs from which on a mean is fully trusted; before, it is blended with a default.
const (
	meanTrustRuns   = 10
	workerTrustRuns = 4
)

// slowness returns the worker's own mean, blended with that of its kind while it has few runs.
func (s *speeds) slowness(worker *Worker) float64 {
	if worker.slowness.count >= workerTrustRuns {
		return worker.slowness.value
	}
	assumed := blendedValue(s.kinds[worker.Kind])
	trust := float64(worker.slowness.count) / workerTrustRuns
	return trust*worker.slowness.value + (1-trust)*assumed
}

func blendedValue(mean *average) float64 {
	if mean == nil {
		return 1
	}
	trust := math.Min(1, float64(mean.count)/meanTrustRuns)
	return trust*mean.value + 1 - trust
}

// observe records the run time of a run.
func (s *speeds) observe(run *Run, took time.Duration) {
	if run.Task.Estimate <= 0 || took <= 0 {
		return
	}
	ratio := math.Min(float64(took)/float64(run.Task.Estimate), ratioLimit)
	queue := s.queue(run.Task.Job.Queue)
	slow := s.slowness(run.Worker)
	s.meanSlowness.add(slow, meanGain)
	meanOf(s.queues, run.Task.Job.Queue).add(ratio/slow, meanGain)
	meanOf(s.kinds, run.Worker.Kind).add(ratio/queue, meanGain)
	run.Worker.slowness.add(ratio/queue, slownessGain)
}

func meanOf(means map[string]*average, name string) *average {
	found, ok := means[name]
	if !ok {
		found = &average{}
		means[name] = found
	}
	return found
}
