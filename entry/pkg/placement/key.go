package placement

import "chervilusher.dev/entry/pkg/blackboard"

// enoughRuns is how many runs make a back end's learnt slowness worth relying on.
const enoughRuns = 2

// unknownSlowness is assumed of a back end whose speed is not known.
const unknownSlowness = 1

// maxFailing bounds the weight of failures, so that keys stay finite.
const maxFailing = 0.999

// A back end that mostly fails goes behind all others, however fast it ends.
const (
	mostlyFailing = 0.5
	behindAll     = 1e9
)

// keyOf returns the expected run time against the usual until a task succeeds; a back end that was not tried goes first, with one task at a time.
func keyOf(backend *blackboard.Backend) float64 {
	slowness := backend.Slowness
	if slowness <= 0 || backend.SlownessRuns < enoughRuns {
		slowness = unknownSlowness
		if backend.Busy == 0 && backend.FailureRate == 0 {
			return 0
		}
	}
	key := slowness / (1 - min(backend.FailureRate, maxFailing))
	if backend.FailureRate > mostlyFailing {
		key += behindAll
	}
	return key
}
