package measure

import (
	"cmp"
	"slices"
	"time"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/load/pkg/caller"
	"chervilusher.dev/load/pkg/experiment"
)

// allClasses and allOwners name the rows that sum up.
const (
	allClasses = "all"
	allOwners  = "all"
)

// rowBuilder gathers one row.
type rowBuilder struct {
	row      Row
	ratio    ratios
	central  ratios
	response spans
	refusal  spans
	inTime   int
	returns  time.Duration
	endings  map[Ending]int
}

func newRowBuilder(owner, class string) *rowBuilder {
	return &rowBuilder{
		row:      Row{Owner: owner, Class: class},
		ratio:    newRatios(),
		central:  newRatios(),
		response: newSpans(),
		refusal:  newSpans(),
		endings:  map[Ending]int{},
	}
}

func (b *rowBuilder) add(outcome *caller.Outcome, ideal, central time.Duration) {
	b.row.Jobs++
	b.endings[Ending{State: outcome.State, Code: outcome.Code, Ran: outcome.Ran}]++
	b.central.add(central, ideal)
	if outcome.InTime() {
		b.inTime++
	}
	switch outcome.State {
	case api.StateComplete:
		b.row.Complete++
		b.row.Work += outcome.Job.Work().Seconds()
		b.ratio.add(outcome.Response(), ideal)
		b.response.add(outcome.Response())
	case api.StateRefused:
		b.refusal.add(outcome.Response())
		b.returns += outcome.RetryAfter
	case api.StateRunning, api.StateFailed, api.StateCancelled, api.StateUnknown:
	}
}

func (b *rowBuilder) build() Row {
	row := b.row
	row.Ratio = b.ratio.quantiles()
	row.Central = b.central.quantiles()
	row.Response = b.response.summary()
	row.Refusal = b.refusal.summary()
	if row.Jobs > 0 {
		row.InTime = float64(b.inTime) / float64(row.Jobs)
	}
	if row.Refusal.Count > 0 {
		row.Return = jsontime.Duration(b.returns / time.Duration(row.Refusal.Count))
	}
	for ending, jobs := range b.endings {
		ending.Jobs = jobs
		row.Endings = append(row.Endings, ending)
	}
	slices.SortFunc(row.Endings, func(x, y Ending) int {
		return cmp.Or(cmp.Compare(y.Jobs, x.Jobs), cmp.Compare(x.Code, y.Code), cmp.Compare(x.Ran, y.Ran))
	})
	return row
}

func windowFigures(run *Run, window experiment.Window) WindowFigures {
	builders := []*rowBuilder{newRowBuilder(allOwners, allClasses)}
	find := func(owner, class string) *rowBuilder {
		for _, builder := range builders {
			if builder.row.Owner == owner && builder.row.Class == class {
				return builder
			}
		}
		builders = append(builders, newRowBuilder(owner, class))
		return builders[len(builders)-1]
	}
	for i := range run.Outcomes {
		outcome := &run.Outcomes[i]
		if outcome.Job.At < window.From.Std() || outcome.Job.At >= window.To.Std() {
			continue
		}
		ideal := run.ideal(outcome.Job)
		builders[0].add(outcome, ideal, run.Central[i])
		find(outcome.Job.Owner.Name, allClasses).add(outcome, ideal, run.Central[i])
		find(outcome.Job.Owner.Name, outcome.Job.Class.Name).add(outcome, ideal, run.Central[i])
	}
	figures := WindowFigures{Window: window}
	for _, builder := range builders {
		figures.Rows = append(figures.Rows, builder.build())
	}
	figures.Starts, figures.Faulty = startsWithin(run, window)
	if last := sampleAt(run, window.To.Std()); last != nil {
		figures.Gap = last.Gap
	}
	length := (window.To - window.From).Std()
	done := run.workDone(window.From.Std(), window.To.Std())
	figures.Goodput = done / (run.capacity() * length.Seconds())
	return figures
}

// startsWithin returns the starts between the samples at a window's ends, and those of them at faulty back ends.
func startsWithin(run *Run, window experiment.Window) (all, faulty int64) {
	first, last := sampleAt(run, window.From.Std()), sampleAt(run, window.To.Std())
	if first == nil || last == nil {
		return 0, 0
	}
	for i, backend := range last.Backends {
		starts := backend.Starts - first.Backends[i].Starts
		all += starts
		if run.Faulty[backend.Name] {
			faulty += starts
		}
	}
	return all, faulty
}

func sampleAt(run *Run, at time.Duration) *Sample {
	for i := range run.Samples {
		if run.Samples[i].At == at {
			return &run.Samples[i]
		}
	}
	return nil
}
