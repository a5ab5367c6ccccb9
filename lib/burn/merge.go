package burn

import (
	"cmp"
	"slices"
	"time"

	"chervilusher.dev/lib/api"
)

// identity names an objective in the reports of several hosts; a changed one is another.
type identity struct {
	owner   string
	name    string
	service string
	pool    string
	target  float64
	latency time.Duration
}

// Merge adds up the reports of several hosts; the sum is whole only since the latest of their beginnings.
func Merge(reports []*api.BurnReport) *api.BurnReport {
	merged := &api.BurnReport{Objectives: []api.BurnObjective{}}
	byIdentity := map[identity]*api.BurnObjective{}
	var order []identity
	for _, report := range reports {
		merged.Hosts = append(merged.Hosts, report.Hosts...)
		merged.Time = later(merged.Time, report.Time)
		merged.Since = later(merged.Since, report.Since)
		for i := range report.Objectives {
			objective := &report.Objectives[i]
			key := identityOf(objective)
			sum, ok := byIdentity[key]
			if !ok {
				copied := *objective
				byIdentity[key] = &copied
				order = append(order, key)
				continue
			}
			add(sum, objective)
		}
	}
	for _, key := range order {
		merged.Objectives = append(merged.Objectives, *byIdentity[key])
	}
	return merged
}

func identityOf(objective *api.BurnObjective) identity {
	return identity{
		owner: objective.Owner, name: objective.Name, service: objective.Service, pool: objective.Pool,
		target: objective.Target, latency: objective.Latency.Std(),
	}
}

func add(sum, other *api.BurnObjective) {
	sum.Since = later(sum.Since, other.Since)
	sum.Good += other.Good
	sum.Bad += other.Bad
	sum.Times = addTimes(sum.Times, other.Times)
	sum.Points = addPoints(sum.Points, other.Points)
	sum.Hours = addPoints(sum.Hours, other.Hours)
	windows := make([]api.BurnWindow, 0, len(sum.Windows))
	for _, window := range sum.Windows {
		for _, twin := range other.Windows {
			if twin.Long == window.Long {
				window = addWindows(window, twin, sum.Target)
			}
		}
		windows = append(windows, window)
	}
	sum.Windows = windows
}

func addWindows(left, right api.BurnWindow, target float64) api.BurnWindow {
	window := Window{Long: left.Long.Std(), Short: left.Short.Std(), Limit: left.Limit}
	covered := min(left.Covered, right.Covered).Std()
	return Evaluate(window, addCounts(left.Counts, right.Counts), addCounts(left.Latest, right.Latest), covered, target)
}

func addCounts(left, right api.BurnCounts) api.BurnCounts {
	return api.BurnCounts{Good: left.Good + right.Good, Bad: left.Bad + right.Bad}
}

// addTimes adds the counts of equal times; all hosts use the same steps.
func addTimes(left, right []api.BurnTime) []api.BurnTime {
	counts := map[time.Duration]int64{}
	for _, step := range slices.Concat(left, right) {
		counts[step.Upto.Std()] += step.Count
	}
	sum := make([]api.BurnTime, 0, len(counts))
	for _, step := range slices.Concat(left, right) {
		if count, ok := counts[step.Upto.Std()]; ok {
			sum = append(sum, api.BurnTime{Upto: step.Upto, Count: count})
			delete(counts, step.Upto.Std())
		}
	}
	slices.SortFunc(sum, func(a, b api.BurnTime) int { return cmp.Compare(a.Upto, b.Upto) })
	return sum
}

func addPoints(left, right []api.BurnPoint) []api.BurnPoint {
	sum := make([]api.BurnPoint, 0, max(len(left), len(right)))
	sorted := slices.Concat(left, right)
	slices.SortStableFunc(sorted, func(a, b api.BurnPoint) int { return a.Time.Compare(b.Time) })
	for _, point := range sorted {
		if last := len(sum) - 1; last >= 0 && sum[last].Time.Equal(point.Time) {
			sum[last].Good += point.Good
			sum[last].Bad += point.Bad
			continue
		}
		sum = append(sum, point)
	}
	return sum
}

func later(left, right time.Time) time.Time {
	if right.After(left) {
		return right
	}
	return left
}
