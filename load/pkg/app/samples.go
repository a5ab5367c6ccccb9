package app

import (
	"context"
	"slices"
	"time"

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
		select {
		case <-ctx.Done():
			return samples
		case <-time.After(time.Until(start.Add(at))):
		}
		samples = append(samples, measure.Sample{At: at, Backends: running.Office.AllCounters().Backends})
	}
	return samples
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
