package burn

import (
	"time"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/jsontime"
)

// minBad is the number of bad answers in the long window below which no alarm is raised.
const minBad = 10

// Window is a long window, the short one that shows whether the burn goes on, and the rate that raises an alarm.
type Window struct {
	Long  time.Duration
	Short time.Duration
	Limit float64
}

// Windows returns the windows of every objective, shortest first.
func Windows() []Window {
	return []Window{
		{Long: time.Hour, Short: 5 * time.Minute, Limit: 14.4},
		{Long: 6 * time.Hour, Short: 30 * time.Minute, Limit: 6},
		{Long: 72 * time.Hour, Short: 6 * time.Hour, Limit: 1},
	}
}

// Rate returns the share of bad answers over the share that the target allows; no answers burn nothing.
func Rate(counts api.BurnCounts, target float64) float64 {
	all := counts.Good + counts.Bad
	if all == 0 {
		return 0
	}
	return float64(counts.Bad) / float64(all) / (1 - target)
}

// Evaluate returns the window's rates and alarm from its counts.
func Evaluate(window Window, long, short api.BurnCounts, covered time.Duration, target float64) api.BurnWindow {
	rate := Rate(long, target)
	recent := Rate(short, target)
	return api.BurnWindow{
		Long:    jsontime.Duration(window.Long),
		Short:   jsontime.Duration(window.Short),
		Limit:   window.Limit,
		Rate:    rate,
		Recent:  recent,
		Covered: jsontime.Duration(min(covered, window.Long)),
		Alarm:   long.Bad >= minBad && rate > window.Limit && recent > window.Limit,
		Counts:  long,
		Latest:  short,
	}
}

// Quantile returns the time within which the given share of the answers came, or zero without answers.
func Quantile(times []api.BurnTime, share float64) time.Duration {
	var all int64
	for _, step := range times {
		all += step.Count
	}
	wanted := share * float64(all)
	var seen int64
	for _, step := range times {
		seen += step.Count
		if float64(seen) >= wanted {
			return step.Upto.Std()
		}
	}
	return 0
}
