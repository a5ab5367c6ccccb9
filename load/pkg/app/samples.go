package app

import (
	"context"
	"slices"
	"time"

	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/load/pkg/experiment"
	"chervilusher.dev/load/pkg/fleet"
	"chervilusher.dev/load/pkg/measure"
)

// sampleWindows reads the back ends' counters at the ends of every window.
func sampleWindows(ctx context.Context, settings *experiment.Settings, running *fleet.Fleet, start time.Time) []measure.Sample {
	times := make([]time.Duration, 0, 2*len(settings.Windows))
	for _, window := range settings.Windows {
		times = append(times, window.From.Std(), window.To.Std())
	}
	slices.Sort(times)
	times = slices.Compact(times)
	samples := make([]measure.Sample, 0, len(times))
	for _, at := range times {
		sample, ok := sampleUntil(ctx, running, start, at)
		if !ok {
			return samples
		}
		samples = append(samples, sample)
	}
	return samples
}

// gapInterval is how often the starts are looked at to find gaps.
const gapInterval = 50 * time.Millisecond

// sampleUntil watches for gaps until a time, and reads the counters then.
func sampleUntil(ctx context.Context, running *fleet.Fleet, start time.Time, until time.Duration) (measure.Sample, bool) {
	gaps := measure.NewGaps(time.Since(start), running.Office.AllCounters().Backends)
	for {
		at := time.Since(start)
		backends := running.Office.AllCounters().Backends
		gaps.Note(at, backends)
		if at >= until {
			longest, name := gaps.Longest()
			gap := measure.Gap{Length: jsontime.Duration(longest), Backend: name}
			return measure.Sample{At: until, Backends: backends, Gap: gap}, true
		}
		select {
		case <-ctx.Done():
			return measure.Sample{}, false
		case <-time.After(min(until-at, gapInterval)):
		}
	}
}

// faultyBackends returns the names of the back ends that some fault of the experiment names.
func faultyBackends(settings *experiment.Settings, running *fleet.Fleet) map[string]bool {
	faulty := map[string]bool{}
	for _, fault := range settings.Faults {
		if fault.Backends == nil {
			continue
		}
		for _, name := range running.Chosen(fault.Backends) {
			faulty[name] = true
		}
	}
	return faulty
}
