package dispatch

import (
	"math"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// maxCapacityAge is the age at which a group's cached capacity is summed again.
const maxCapacityAge = 100 * time.Millisecond

// maxSpeedDrift is how far a group's mean speed may differ from 1 before speeds are rescaled.
const maxSpeedDrift = 0.05

// syncInterval is the longest time for which the placement relies on updates alone before it visits all back ends.
const syncInterval = time.Second

// refreshCapacity recomputes the group's capacity if the cached value is out of date.
func (e *Engine) refreshCapacity(group *blackboard.Group, now time.Time) {
	if now.Sub(group.Capacity.Summed) < maxCapacityAge && group.Capacity.Backends == len(group.Backends) {
		return
	}
	if now.Sub(group.Synced) >= syncInterval || group.Capacity.Backends != len(group.Backends) {
		e.policies.Placement.Sync(group)
		group.Synced = now
	}
	group.Capacity = e.sumCapacity(group, now)
	if speed := group.Capacity.Rate / float64(max(1, group.Capacity.Slots)); math.Abs(speed-1) > maxSpeedDrift && group.Capacity.Slots > 0 {
		e.policies.Estimator.Rescale(group, speed)
		e.policies.Placement.Sync(group)
		group.Capacity = e.sumCapacity(group, now)
	}
}

func (e *Engine) sumCapacity(group *blackboard.Group, now time.Time) blackboard.Capacity {
	capacity := blackboard.Capacity{Summed: now, Backends: len(group.Backends), LongRate: map[string]float64{}}
	shapes := map[blackboard.Shape]bool{}
	var slownessHistogram tiers
	held := map[string]float64{}
	for _, backend := range group.Backends {
		if backend.IsClosed() {
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
		slownessHistogram.add(slowness(backend), rate)
	}
	capacity.SlownessBound = slownessHistogram.quantile(slowQuantile * capacity.Rate)
	elapsed := now.Sub(group.Capacity.Summed)
	for domain, rate := range capacity.LongRate {
		capacity.LongRate[domain] = rate - min((1-e.limits.LongShare)*rate, shortReserveFactor*updateShortPeak(group, domain, held[domain], elapsed))
	}
	return capacity
}

// shortReserveFactor times the recent peak of short work is kept free for short work,
// unless that takes more than the share that long work leaves.
const shortReserveFactor = 2

// peakHalfLife is the half-life with which the recorded peak of short work decays.
const peakHalfLife = 10 * time.Second

// updateShortPeak returns the decayed peak of short work's load in the failure domain;
// held is the present load of short and long work together.
func updateShortPeak(group *blackboard.Group, domain string, held float64, elapsed time.Duration) float64 {
	faded := group.ShortLoadPeak[domain] * math.Exp2(-elapsed.Seconds()/peakHalfLife.Seconds())
	peak := max(0, held-group.LongLoad[domain], faded)
	group.ShortLoadPeak[domain] = peak
	return peak
}

func slowness(backend *blackboard.Backend) float64 {
	if backend.Slowness <= 0 {
		return 1
	}
	return backend.Slowness
}

// slowQuantile is the share of starts that the bound on the slowness covers.
const slowQuantile = 0.99

// Buckets of the slowness histogram; each bound is bucketFactor times the one before it.
const (
	bucketCount  = 64
	bucketFactor = 1.1
	firstBucket  = 0.05
)

// slownessHistogram holds the capacity rate of each slowness bucket.
type tiers [bucketCount]float64

func (t *tiers) add(slowness, rate float64) {
	tier := int(math.Ceil(math.Log(slowness/firstBucket) / math.Log(bucketFactor)))
	t[min(max(tier, 0), bucketCount-1)] += rate
}

// quantile returns the bound of the first bucket at which the cumulative rate reaches the given rate.
func (t *tiers) quantile(rate float64) float64 {
	sum := 0.0
	for tier := range t {
		sum += t[tier]
		if sum >= rate {
			return firstBucket * math.Pow(bucketFactor, float64(tier))
		}
	}
	return firstBucket * math.Pow(bucketFactor, bucketCount-1)
}
