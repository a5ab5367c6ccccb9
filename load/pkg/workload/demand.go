package workload

import (
	"math"
	"time"

	"chervilusher.dev/load/pkg/experiment"
)

// step is one phase of an owner's demand.
type step struct {
	phase experiment.Phase
	rate  float64 // jobs a second, without the swing
}

// demand is how many jobs a second an owner brings over time.
type demand struct {
	steps []step
}

func newDemand(settings *experiment.Settings, owner *experiment.Owner) demand {
	meanTasks := owner.MeanTasks()
	var all demand
	for _, phase := range owner.Phases {
		rate := settings.TaskRate(owner, phase) / meanTasks
		all.steps = append(all.steps, step{phase: phase, rate: rate})
	}
	return all
}

// at returns the jobs a second at a time.
func (d demand) at(at time.Duration) float64 {
	var current step
	for _, candidate := range d.steps {
		if at >= candidate.phase.From.Std() {
			current = candidate
		}
	}
	if current.phase.Swing == 0 {
		return current.rate
	}
	turns := float64(at-current.phase.From.Std()) / float64(current.phase.Period)
	return current.rate * (1 + current.phase.Swing*math.Sin(2*math.Pi*turns))
}

// highest returns a bound on the jobs a second at any time.
func (d demand) highest() float64 {
	top := 0.0
	for _, candidate := range d.steps {
		top = max(top, candidate.rate*(1+candidate.phase.Swing))
	}
	return top
}
