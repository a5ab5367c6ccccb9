package health

import (
	"math"
	"time"
)

// halfLife is the half-life of the weight of past outcomes.
const halfLife = 5 * time.Second

// outcomeCounts counts outcomes with exponentially decaying weight.
type outcomeCounts struct {
	ended     float64
	failed    float64
	decayedAt time.Time
}

// decay reduces the counts' weight up to the given time.
func (r *outcomeCounts) decay(now time.Time) {
	if elapsed := now.Sub(r.decayedAt); elapsed > 0 && !r.decayedAt.IsZero() {
		factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		r.ended *= factor
		r.failed *= factor
	}
	r.decayedAt = now
}

func (r *outcomeCounts) add(failed bool, now time.Time) {
	r.decay(now)
	r.ended++
	if failed {
		r.failed++
	}
}

// Thresholds that separate a failing back end from one with random failures.
const (
	minFailureRate      = 0.01 // failure rate assumed of the other back ends at least
	maxExcessRate       = 0.1  // tolerated failure rate above that of the others
	maxExcessFailures   = 2    // tolerated failures above the number expected at the others' rate
	maxExcessDeviations = 3    // tolerated standard deviations above the number expected at the others' rate
)

// worseThan reports whether the failure rate is significantly higher than that of the others.
func (r *outcomeCounts) worseThan(others outcomeCounts) bool {
	share := minFailureRate
	if others.ended >= 1 {
		share = math.Max(share, others.failed/others.ended)
	}
	if r.ended <= 0 || r.failed/r.ended < share+maxExcessRate {
		return false
	}
	deviation := math.Sqrt(r.ended * share * math.Max(0, 1-share))
	return r.failed-r.ended*share > maxExcessDeviations*deviation+maxExcessFailures
}

// subtract returns the counts without those of one back end.
func (r *outcomeCounts) subtract(own outcomeCounts) outcomeCounts {
	return outcomeCounts{ended: math.Max(0, r.ended-own.ended), failed: math.Max(0, r.failed-own.failed)}
}
