package measure

import (
	"time"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/load/pkg/caller"
)

// speeds returns the speed of each back end by its name.
func (r *Run) speeds() map[string]float64 {
	speeds := make(map[string]float64, len(r.Backends))
	for _, backend := range r.Backends {
		speeds[backend.Name] = backend.Speed
	}
	return speeds
}

// workDone returns the seconds of work that back ends did within a span for jobs that were complete in time.
func (r *Run) workDone(from, to time.Duration) float64 {
	speeds := r.speeds()
	sum := 0.0
	for i := range r.Outcomes {
		if outcome := &r.Outcomes[i]; outcome.InTime() {
			sum += workWithin(outcome, speeds, from, to)
		}
	}
	return sum
}

// workWithin spreads each task's work evenly over its run, which is taken to end with the job.
func workWithin(outcome *caller.Outcome, speeds map[string]float64, from, to time.Duration) float64 {
	sum := 0.0
	for i, work := range outcome.Job.Works {
		if work == 0 || i >= len(outcome.Backends) {
			continue
		}
		speed := max(speeds[outcome.Backends[i]], 0.01)
		run := time.Duration(float64(work) / speed)
		overlap := min(outcome.Ended, to) - max(outcome.Ended-run, from)
		if overlap > 0 {
			sum += work.Seconds() * float64(overlap) / float64(run)
		}
	}
	return sum
}

func secondFigures(run *Run) []SecondFigures {
	count := int((run.Settings.Length.Std() + time.Second - 1) / time.Second)
	seconds := make([]SecondFigures, count)
	histograms := make([]ratios, count)
	for i := range seconds {
		seconds[i].At = i
		histograms[i] = newRatios()
	}
	speeds := run.speeds()
	for i := range run.Outcomes {
		outcome := &run.Outcomes[i]
		at := int(outcome.Job.At / time.Second)
		seconds[at].Jobs++
		seconds[at].Offered += outcome.Job.Work().Seconds()
		switch outcome.State {
		case api.StateComplete:
			histograms[at].add(outcome.Response(), run.ideal(outcome.Job))
		case api.StateRefused:
			seconds[at].Refused++
		case api.StateRunning, api.StateFailed, api.StateCancelled, api.StateUnknown:
		}
		if !outcome.InTime() {
			continue
		}
		last := min(int(outcome.Ended/time.Second), count-1)
		for second := at; second <= last; second++ {
			from := time.Duration(second) * time.Second
			seconds[second].Goodput += workWithin(outcome, speeds, from, from+time.Second)
		}
	}
	for i := range seconds {
		figures := histograms[i].quantiles()
		seconds[i].P50, seconds[i].P99 = figures.P50, figures.P99
	}
	return seconds
}
