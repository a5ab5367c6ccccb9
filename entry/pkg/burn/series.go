package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/burn"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/jsontime"
)

const (
	fineStep     = 10 * time.Second
	fineLength   = time.Hour
	coarseStep   = 5 * time.Minute
	coarseLength = 72 * time.Hour
	pointsLength = 6 * time.Hour
	hoursWidth   = time.Hour

	// longestTime is the longest response time that histograms tell apart.
	longestTime = time.Hour
	// histogramDigits is the number of significant digits of a response time.
	histogramDigits = 1
	// histogramLength is how long one histogram is filled before the next one.
	histogramLength = 24 * time.Hour
	// histogramCount is the number of histograms that are kept.
	histogramCount = 3
)

// series counts the answers to one objective.
type series struct {
	objective configuration.Objective
	since     time.Time
	good      int64
	bad       int64
	fine      *ring
	coarse    *ring
	times     [histogramCount]*hdrhistogram.Histogram // the newest first
	filled    time.Time                               // when the newest was begun
}

func newSeries(objective configuration.Objective, now time.Time) *series {
	made := &series{
		objective: objective,
		since:     now,
		fine:      newRing(fineStep, fineLength),
		coarse:    newRing(coarseStep, coarseLength),
		filled:    now,
	}
	for i := range made.times {
		made.times[i] = hdrhistogram.New(1, longestTime.Milliseconds(), histogramDigits)
	}
	return made
}

// add counts one answer; only a complete one has a response time.
func (s *series) add(now time.Time, complete bool, took time.Duration) {
	s.rotate(now)
	good := complete && (s.objective.Latency == 0 || took <= s.objective.Latency.Std())
	if good {
		s.good++
	} else {
		s.bad++
	}
	s.fine.add(now, good)
	s.coarse.add(now, good)
	if complete {
		milliseconds := min(max(took.Milliseconds(), 1), longestTime.Milliseconds())
		_ = s.times[0].RecordValue(milliseconds) // in range by the line above
	}
}

// rotate empties the oldest histogram when the newest is full, so that the reported times are of the last days.
func (s *series) rotate(now time.Time) {
	for now.Sub(s.filled) >= histogramLength {
		if now.Sub(s.filled) >= histogramLength*histogramCount {
			s.filled = now
			for _, histogram := range s.times {
				histogram.Reset()
			}
			return
		}
		oldest := s.times[histogramCount-1]
		oldest.Reset()
		copy(s.times[1:], s.times[:histogramCount-1])
		s.times[0] = oldest
		s.filled = s.filled.Add(histogramLength)
	}
}

func (s *series) report(owner string, now time.Time) api.BurnObjective {
	s.rotate(now)
	report := api.BurnObjective{
		Owner:   owner,
		Name:    s.objective.Name,
		Service: s.objective.Service,
		Pool:    s.objective.Pool,
		Target:  s.objective.Target,
		Latency: s.objective.Latency,
		Since:   s.since,
		Good:    s.good,
		Bad:     s.bad,
		Times:   s.reportTimes(),
		Points:  s.coarse.points(now, pointsLength, coarseStep),
		Hours:   s.coarse.points(now, coarseLength, hoursWidth),
	}
	for _, window := range burn.Windows() {
		long := s.sum(now, window.Long)
		short := s.sum(now, window.Short)
		report.Windows = append(report.Windows, burn.Evaluate(window, long, short, now.Sub(s.since), s.objective.Target))
	}
	return report
}

func (s *series) sum(now time.Time, length time.Duration) api.BurnCounts {
	if length <= fineLength {
		return s.fine.sum(now, length)
	}
	return s.coarse.sum(now, length)
}

func (s *series) reportTimes() []api.BurnTime {
	all := hdrhistogram.New(1, longestTime.Milliseconds(), histogramDigits)
	for _, histogram := range s.times {
		all.Merge(histogram)
	}
	var times []api.BurnTime
	for _, bar := range all.Distribution() {
		if bar.Count > 0 {
			upto := jsontime.Duration(time.Duration(bar.To) * time.Millisecond)
			times = append(times, api.BurnTime{Upto: upto, Count: bar.Count})
		}
	}
	return times
}
