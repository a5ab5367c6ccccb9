package measure

import (
	"slices"
	"strings"
	"time"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/load/pkg/caller"
	"chervilusher.dev/load/pkg/experiment"
	"chervilusher.dev/load/pkg/workload"
	"chervilusher.dev/standin/pkg/office"
)

// Run is the raw material of the figures.
type Run struct {
	Settings *experiment.Settings
	Jobs     []workload.Job
	Outcomes []caller.Outcome
	Backends []office.MemberCounters
	Repeats  int64 // starts of work that had started before
	Samples  []Sample
	Faulty   map[string]bool // names of the back ends that some fault names
	Before   []Usage         // of each entry host, at the first arrival
	After    []Usage         // of each entry host, after the last answer
	Central  []time.Duration
	Date     time.Time
	Build    string
}

// Summarize returns the figures of a run.
func Summarize(run *Run) *Results {
	results := &Results{
		Settings: *run.Settings,
		Date:     run.Date,
		Build:    run.Build,
		Backends: run.Backends,
		Counters: grownCounters(run),
		Groups:   groupFigures(run),
		Seconds:  secondFigures(run),
	}
	results.Entries = entryFigures(run)
	results.Totals = totals(run, results.Counters)
	for _, window := range windowsOf(run.Settings) {
		results.Windows = append(results.Windows, windowFigures(run, window))
	}
	all := newRatios()
	for i := range run.Outcomes {
		if outcome := &run.Outcomes[i]; outcome.State == api.StateComplete {
			all.add(outcome.Response(), run.ideal(outcome.Job))
		}
	}
	results.Shares = all.points()
	return results
}

// ideal returns the response of a job that waits for nothing.
func (r *Run) ideal(job *workload.Job) time.Duration {
	group := r.Settings.Group(job.Owner.Group)
	return job.Ideal(experiment.MedianSpeed(group), r.Settings.Trips.Std())
}

// capacity returns the seconds of work that all groups do in a second.
func (r *Run) capacity() float64 {
	sum := 0.0
	for i := range r.Settings.Groups {
		sum += experiment.Capacity(&r.Settings.Groups[i])
	}
	return sum
}

func windowsOf(settings *experiment.Settings) []experiment.Window {
	if len(settings.Windows) > 0 {
		return settings.Windows
	}
	return []experiment.Window{{Name: "all", To: settings.Length}}
}

func totals(run *Run, counters []Counter) Totals {
	sum := Totals{Jobs: len(run.Jobs), Repeats: run.Repeats}
	lag, cancels := newSpans(), newSpans()
	for i := range run.Outcomes {
		outcome := &run.Outcomes[i]
		sum.Tasks += len(outcome.Job.Works)
		lag.add(outcome.Sent - outcome.Job.At)
		if outcome.Foreign {
			sum.Foreign++
		}
		if outcome.Mismatch {
			sum.Mismatches++
		}
		if outcome.Cancelled > 0 {
			sum.Cancels++
			cancels.add(outcome.Cancelled)
		}
	}
	for _, backend := range run.Backends {
		sum.Starts += backend.Starts
		sum.Duplicates += backend.Duplicates
		sum.Refused += backend.Refused
	}
	sum.SendLag = lag.at(99)
	if sum.Cancels > 0 {
		sum.CancelP99 = cancels.at(99)
	}
	sum.Messages, sum.Wasted = messages(counters, sum)
	return sum
}

// Names of the entry hosts' counters that count messages.
const (
	startsCounter  = "chervilusher_starts_total"
	stopsCounter   = "chervilusher_stops_total"
	lendingCounter = "chervilusher_lending_calls_total"
)

// Kinds of lending calls; an empty or failed one is counted under borrow or push too.
const (
	lendingEmpty  = `kind="empty"`
	lendingFailed = `kind="failed"`
)

// messages returns the entry hosts' messages for each start, and those of them that moved no work.
func messages(counters []Counter, sum Totals) (all, wasted float64) {
	if sum.Starts == 0 {
		return 0, 0
	}
	for _, counter := range counters {
		name, _, _ := strings.Cut(counter.Name, "{")
		switch name {
		case lendingCounter:
			if strings.Contains(counter.Name, lendingEmpty) || strings.Contains(counter.Name, lendingFailed) {
				wasted += counter.Value
			} else {
				all += counter.Value
			}
		case startsCounter, stopsCounter:
			all += counter.Value
		}
	}
	wasted += float64(sum.Refused)
	return all / float64(sum.Starts), wasted / float64(sum.Starts)
}

func grownCounters(run *Run) []Counter {
	growth := map[string]float64{}
	for i := range run.After {
		if run.After[i].Counters == nil {
			continue // The host is gone, and its counters with it.
		}
		for name, value := range run.After[i].Counters {
			growth[name] += value - run.Before[i].Counters[name]
		}
	}
	names := make([]string, 0, len(growth))
	for name := range growth {
		names = append(names, name)
	}
	slices.Sort(names)
	counters := make([]Counter, 0, len(names))
	for _, name := range names {
		counters = append(counters, Counter{Name: name, Value: growth[name]})
	}
	return counters
}

func groupFigures(run *Run) []GroupFigures {
	figures := make([]GroupFigures, 0, len(run.Settings.Groups))
	for i := range run.Settings.Groups {
		group := &run.Settings.Groups[i]
		work := 0.0
		for j := range run.Jobs {
			if run.Jobs[j].Owner.Group == group.Name {
				work += run.Jobs[j].Work().Seconds()
			}
		}
		capacity := experiment.Capacity(group)
		figures = append(figures, GroupFigures{
			Name:     group.Name,
			Capacity: capacity,
			Offered:  work / (capacity * run.Settings.Length.Std().Seconds()),
			Median:   experiment.MedianSpeed(group),
		})
	}
	return figures
}

func entryFigures(run *Run) []EntryFigures {
	figures := make([]EntryFigures, 0, len(run.After))
	for i, host := range run.Settings.Entries {
		before, after := run.Before[i], run.After[i]
		if after.Counters == nil {
			figures = append(figures, EntryFigures{Host: host})
			continue
		}
		figure := EntryFigures{
			Host:   host,
			CPU:    jsontime.Duration(after.Cost.CPU - before.Cost.CPU),
			Memory: after.Cost.Memory,
			Bytes:  after.Cost.Bytes - before.Cost.Bytes,
			Starts: after.Counters[startsCounter] - before.Counters[startsCounter],
		}
		if figure.Starts > 0 {
			figure.CPUStart = jsontime.Duration(float64(figure.CPU) / figure.Starts)
		}
		figures = append(figures, figure)
	}
	return figures
}

// Reference returns the quantiles of computed responses against the ideal, over the jobs of the first window.
func Reference(settings *experiment.Settings, jobs []workload.Job, responses []time.Duration) Quantiles {
	run := &Run{Settings: settings}
	window := windowsOf(settings)[0]
	ratio := newRatios()
	for i := range jobs {
		if jobs[i].At >= window.From.Std() && jobs[i].At < window.To.Std() {
			ratio.add(responses[i], run.ideal(&jobs[i]))
		}
	}
	return ratio.quantiles()
}
