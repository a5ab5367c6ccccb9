package share

import (
	"cmp"
	"slices"
)

const (
	// floorShare is the part of the mean share of what it offers that each queue gets, whatever its priority.
	floorShare = 0.8
	// floorOverload is the ratio of what is offered to the capacity up to which floorShare holds. Beyond it the floor falls, so
	// that room is left for priorities to decide about.
	floorOverload = 1.5
)

// Demand is the rate of work that a queue offers.
type Demand struct {
	Queue    string
	Priority int // 0 is the most urgent
	Rate     float64
}

// Divide returns the rate of work that each queue may have of the capacity. A queue that offers no more than its max-min fair
// share gets all of it. The others divide what is left: each gets a floor in proportion to what it offers, and the rest goes
// to the most urgent one that can use it.
func Divide(capacity float64, demands []Demand) map[string]float64 {
	rates := make(map[string]float64, len(demands))
	beyond, left := fillSmall(capacity, demands, rates)
	offered := 0.0
	for _, demand := range beyond {
		offered += demand.Rate
	}
	if offered <= 0 || left <= 0 {
		return rates
	}
	floor := floorShare * min(1, floorOverload*left/offered) * left / offered
	for _, demand := range beyond {
		rates[demand.Queue] = floor * demand.Rate
	}
	left -= floor * offered
	slices.SortStableFunc(beyond, func(a, b Demand) int { return cmp.Compare(a.Priority, b.Priority) })
	for len(beyond) > 0 && left > 0 {
		equal := 1
		for equal < len(beyond) && beyond[equal].Priority == beyond[0].Priority {
			equal++
		}
		left -= fillEqual(beyond[:equal], 1-floor, left, rates)
		beyond = beyond[equal:]
	}
	return rates
}

// fillSmall gives each queue that offers no more than an equal part of the capacity all that it offers, and returns the other
// queues and what is left for them.
func fillSmall(capacity float64, demands []Demand, rates map[string]float64) (beyond []Demand, left float64) {
	beyond = slices.Clone(demands)
	slices.SortStableFunc(beyond, func(a, b Demand) int { return cmp.Compare(a.Rate, b.Rate) })
	for len(beyond) > 0 && beyond[0].Rate <= capacity/float64(len(beyond)) {
		rates[beyond[0].Queue] = beyond[0].Rate
		capacity -= beyond[0].Rate
		beyond = beyond[1:]
	}
	return beyond, capacity
}

// fillEqual divides what is left among queues of one priority, in proportion to what they offer, of which they lack that
// part. It returns how much they took.
func fillEqual(demands []Demand, lacking, left float64, rates map[string]float64) float64 {
	lack := 0.0
	for _, demand := range demands {
		lack += lacking * demand.Rate
	}
	if lack <= 0 {
		return 0
	}
	given := min(1, left/lack)
	for _, demand := range demands {
		rates[demand.Queue] += given * lacking * demand.Rate
	}
	return given * lack
}
