package cell

import (
	"math"
	"time"
)

const (
	// slownessGain is the weight of a new run in a worker's slowness; about the last ten runs count.
	slownessGain = 0.1
	// usualGain is the weight of a new run in the mean of a kind of worker or of a queue.
	usualGain = 0.03
	// ratioLimit bounds how far one run counts.
	ratioLimit = 5
)

// average is a moving mean that starts with the plain mean of its first values.
type average struct {
	value float64
	count int
}

func (a *average) add(value, gain float64) {
	a.count++
	a.value += math.Max(gain, 1/float64(a.count)) * (value - a.value)
}

// speeds learns how long tasks run against their estimates.
type speeds struct {
	kinds         map[string]*average // of worker
	queues        map[string]*average
	usualSlowness average // of the workers that ran something
}

func newSpeeds() speeds {
	return speeds{kinds: map[string]*average{}, queues: map[string]*average{}}
}

// expected returns how long the task is expected to run at the worker.
func (s *speeds) expected(task *Task, worker *Worker) time.Duration {
	return time.Duration(s.length(task) * s.slowness(worker))
}

// length returns how long the task would run at a worker without slowness, in nanoseconds.
func (s *speeds) length(task *Task) float64 {
	return float64(task.Estimate) * s.queue(task.Job.Queue)
}

// usual returns how long an estimate of the queue's takes at a worker of usual speed.
func (s *speeds) usual(queue string, estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * s.queue(queue) * valueOf(&s.usualSlowness, usualRuns))
}

func (s *speeds) queue(name string) float64 {
	return valueOf(s.queues[name], usualRuns)
}

// Runs from which on a mean is believed in full; before, it is mixed with what is assumed.
const (
	usualRuns  = 10
	workerRuns = 4
)

// slowness returns the worker's own figure, mixed with that of its kind while it has run little.
func (s *speeds) slowness(worker *Worker) float64 {
	if worker.slowness.count >= workerRuns {
		return worker.slowness.value
	}
	assumed := valueOf(s.kinds[worker.Kind], usualRuns)
	trust := float64(worker.slowness.count) / workerRuns
	return trust*worker.slowness.value + (1-trust)*assumed
}

func valueOf(mean *average, trusted int) float64 {
	if mean == nil {
		return 1
	}
	trust := math.Min(1, float64(mean.count)/float64(trusted))
	return trust*mean.value + 1 - trust
}

// observe takes in how long a run took.
func (s *speeds) observe(run *Run, took time.Duration) {
	if run.Task.Estimate <= 0 {
		return
	}
	ratio := math.Min(float64(took)/float64(run.Task.Estimate), ratioLimit)
	queue := s.queue(run.Task.Job.Queue)
	slow := s.slowness(run.Worker)
	s.usualSlowness.add(slow, usualGain)
	mean(s.queues, run.Task.Job.Queue).add(ratio/slow, usualGain)
	mean(s.kinds, run.Worker.Kind).add(ratio/queue, usualGain)
	run.Worker.slowness.add(ratio/queue, slownessGain)
}

func mean(means map[string]*average, name string) *average {
	found, ok := means[name]
	if !ok {
		found = &average{}
		means[name] = found
	}
	return found
}
