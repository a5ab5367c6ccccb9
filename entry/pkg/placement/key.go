package placement

import "chervilusher.dev/entry/pkg/blackboard"

// minLearntRuns is how many runs a back end's learnt slowness needs to be used.
const minLearntRuns = 2

// defaultSlowness is the slowness of a back end whose speed is unknown.
const defaultSlowness = 1

// maxFailureRate bounds the failure rate used in keys, so that keys stay finite.
const maxFailureRate = 0.999

// A back end that mostly fails is ordered after all others, however fast its runs end.
const (
	failingThreshold = 0.5
	failingPenalty   = 1e9
)

// completionKey returns the relative expected run time until a task succeeds.
// An untried idle back end is ordered first, so it gets one task at a time.
func completionKey(backend *blackboard.Backend) float64 {
	slowness := backend.Slowness
	if slowness <= 0 || backend.SlownessRuns < minLearntRuns {
		slowness = defaultSlowness
		if backend.Busy == 0 && backend.FailureRate == 0 {
			return 0
		}
	}
	key := slowness / (1 - min(backend.FailureRate, maxFailureRate))
	if backend.FailureRate > failingThreshold {
		key += failingPenalty
	}
	return key
}
