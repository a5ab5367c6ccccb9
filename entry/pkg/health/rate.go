package health

import (
	"math"
	"time"
)

// halfLife is the time in which past outcomes lose half of their weight.
const halfLife = 5 * time.Second

// rate counts outcomes whose weight falls with time.
type rate struct {
	ended  float64
	failed float64
	at     time.Time
}

// fade lets the counts lose weight up to the given time.
func (r *rate) fade(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 && !r.at.IsZero() {
		factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		r.ended *= factor
		r.failed *= factor
	}
	r.at = now
}

func (r *rate) add(failed bool, now time.Time) {
	r.fade(now)
	r.ended++
	if failed {
		r.failed++
	}
}

// Bounds for telling a back end that fails from one with bad luck.
const (
	minShare       = 0.01 // share of failures that is assumed of any group
	minExcess      = 0.1  // share of failures above the others' that is borne
	minFailures    = 2    // failures above the others' share that are borne
	deviationsOver = 3    // standard deviations above the others' share that are borne
)

// worseThan reports whether the outcomes are worse than those of the others beyond bad luck.
func (r *rate) worseThan(others rate) bool {
	share := minShare
	if others.ended >= 1 {
		share = math.Max(share, others.failed/others.ended)
	}
	if r.ended <= 0 || r.failed/r.ended < share+minExcess {
		return false
	}
	deviation := math.Sqrt(r.ended * share * math.Max(0, 1-share))
	return r.failed-r.ended*share > deviationsOver*deviation+minFailures
}

// without returns the counts less those of one back end.
func (r *rate) without(one rate) rate {
	return rate{ended: math.Max(0, r.ended-one.ended), failed: math.Max(0, r.failed-one.failed)}
}
