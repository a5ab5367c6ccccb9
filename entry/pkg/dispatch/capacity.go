package dispatch

import (
	"math"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// summedAge is how old a group's summed capacity may grow.
const summedAge = 100 * time.Millisecond

// maxDrift is how far a group's mean speed may be from 1 until speeds are rescaled.
const maxDrift = 0.05

// syncAge is how long the placement may rely on being told of changes.
const syncAge = time.Second

// refresh sums the group's capacity when the last sum is old.
func (e *Engine) refresh(group *blackboard.Group, now time.Time) {
	if now.Sub(group.Capacity.Summed) < summedAge && group.Capacity.Backends == len(group.Backends) {
		return
	}
	if now.Sub(group.Synced) >= syncAge || group.Capacity.Backends != len(group.Backends) {
		e.policies.Placement.Sync(group)
		group.Synced = now
	}
	group.Capacity = e.sum(group, now)
	if speed := group.Capacity.Rate / float64(max(1, group.Capacity.Slots)); math.Abs(speed-1) > maxDrift && group.Capacity.Slots > 0 {
		e.policies.Estimator.Rescale(group, speed)
		e.policies.Placement.Sync(group)
		group.Capacity = e.sum(group, now)
	}
}

func (e *Engine) sum(group *blackboard.Group, now time.Time) blackboard.Capacity {
	capacity := blackboard.Capacity{Summed: now, Backends: len(group.Backends), LongRate: map[string]float64{}}
	shapes := map[blackboard.Shape]bool{}
	var tiers tiers
	held := map[string]float64{}
	for _, backend := range group.Backends {
		if backend.Leaving {
			continue
		}
		if key := backend.Shape(); !shapes[key] {
			shapes[key] = true
			capacity.Shapes = append(capacity.Shapes, backend)
		}
		held[backend.FailureDomain] += float64(backend.Busy) / slowness(backend)
		if backend.Ejected {
			continue
		}
		expected := backend.Expected(now)
		capacity.Slots += expected
		rate := float64(expected) / slowness(backend)
		capacity.Rate += rate
		capacity.LongRate[backend.FailureDomain] += rate
		tiers.add(slowness(backend), rate)
	}
	capacity.SlownessBound = tiers.below(nearlyAll * capacity.Rate)
	elapsed := now.Sub(group.Capacity.Summed)
	for place, rate := range capacity.LongRate {
		capacity.LongRate[place] = rate - min((1-e.limits.LongShare)*rate, shortReserve*notePeak(group, place, held[place], elapsed))
	}
	return capacity
}

// shortReserve is how many times the recent peak of short work is kept free for it, within what the share for long work leaves.
const shortReserve = 2

// peakHalfLife is the time in which a peak of short work loses half of its weight.
const peakHalfLife = 10 * time.Second

// notePeak returns the highest recent speed that short work held in the place; all held speed is given.
func notePeak(group *blackboard.Group, place string, held float64, elapsed time.Duration) float64 {
	faded := group.ShortLoadPeak[place] * math.Exp2(-elapsed.Seconds()/peakHalfLife.Seconds())
	peak := max(0, held-group.LongLoad[place], faded)
	group.ShortLoadPeak[place] = peak
	return peak
}

func slowness(backend *blackboard.Backend) float64 {
	if backend.Slowness <= 0 {
		return 1
	}
	return backend.Slowness
}

// nearlyAll is the share of starts that a bound on the slowness has to cover.
const nearlyAll = 0.99

// Steps of slowness: each is tierStep times the one before it.
const (
	tierCount = 64
	tierStep  = 1.1
	firstTier = 0.05
)

// tiers sums rates by slowness.
type tiers [tierCount]float64

func (t *tiers) add(slowness, rate float64) {
	tier := int(math.Ceil(math.Log(slowness/firstTier) / math.Log(tierStep)))
	t[min(max(tier, 0), tierCount-1)] += rate
}

// below returns the slowness that the given part of the summed rate stays below.
func (t *tiers) below(rate float64) float64 {
	sum := 0.0
	for tier := range t {
		sum += t[tier]
		if sum >= rate {
			return firstTier * math.Pow(tierStep, float64(tier))
		}
	}
	return firstTier * math.Pow(tierStep, tierCount-1)
}
