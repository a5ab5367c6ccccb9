package admission

import (
	"math"
	"time"
)

// Dimensions of a meter, which covers meterWindow in two halves.
const (
	meterWindow     = time.Second
	meterBins       = 10
	binWidth        = meterWindow / meterBins
	halfBins        = meterBins / 2
	halfWindow      = meterWindow / 2
	surgeDeviations = 2 // standard deviations above capacity that count as a surge, so that chance does not look like overload
)

// bin sums the work offered within binWidth.
type bin struct {
	work        float64 // seconds of slot time
	squaredWork float64 // sum of the squared work of the jobs, which estimates the variance of work
}

// meter sums the work offered in the last second, admitted or refused.
type meter struct {
	bins   [meterBins]bin
	newest int64 // number of the newest bin, counted from the Unix epoch
}

// add records one job's work.
func (m *meter) add(work time.Duration, now time.Time) {
	m.advance(now)
	current := &m.bins[m.newest%meterBins]
	current.work += work.Seconds()
	current.squaredWork += work.Seconds() * work.Seconds()
}

// advance clears the bins that are out of the window.
func (m *meter) advance(now time.Time) {
	number := now.UnixNano() / int64(binWidth)
	for range min(number-m.newest, meterBins) {
		m.newest++
		m.bins[m.newest%meterBins] = bin{}
	}
	m.newest = max(m.newest, number)
}

// sum adds up the bins of ages from up to until; the newest has age 0.
func (m *meter) sum(from, until int64) bin {
	var total bin
	for age := from; age < until; age++ {
		part := m.bins[(m.newest-age+meterBins)%meterBins]
		total.work += part.work
		total.squaredWork += part.squaredWork
	}
	return total
}

// exceeds reports whether more work was offered in the window than the given rate serves.
func (m *meter) exceeds(rate float64) bool {
	return m.sum(0, meterBins).work > rate*meterWindow.Seconds()
}

// surges reports whether each half of the window was offered significantly more work than the given rate serves.
func (m *meter) surges(rate float64) bool {
	for _, half := range []bin{m.sum(0, halfBins), m.sum(halfBins, meterBins)} {
		if half.work-surgeDeviations*math.Sqrt(half.squaredWork) <= rate*halfWindow.Seconds() {
			return false
		}
	}
	return true
}
