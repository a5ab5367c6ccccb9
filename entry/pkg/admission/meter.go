package admission

import (
	"math"
	"time"
)

// Bounds of a meter, which looks back over meterTime in two halves.
const (
	meterTime  = time.Second
	meterBins  = 10
	binTime    = meterTime / meterBins
	halfBins   = meterBins / 2
	halfTime   = meterTime / 2
	deviations = 2 // that a half has to lie above what is served, so that chance does not look like overload
)

// bin sums what was offered within binTime.
type bin struct {
	work    float64 // seconds of slot time
	squares float64 // of the jobs' work, which tell how much chance there is in the sum
}

// meter sums the work that was offered in the last second, whether it was admitted or refused.
type meter struct {
	bins   [meterBins]bin
	newest int64 // number of the newest bin since the Unix epoch
}

// add counts one job's work.
func (m *meter) add(work time.Duration, now time.Time) {
	m.advance(now)
	current := &m.bins[m.newest%meterBins]
	current.work += work.Seconds()
	current.squares += work.Seconds() * work.Seconds()
}

// advance clears the bins that have become too old.
func (m *meter) advance(now time.Time) {
	number := now.UnixNano() / int64(binTime)
	for range min(number-m.newest, meterBins) {
		m.newest++
		m.bins[m.newest%meterBins] = bin{}
	}
	m.newest = max(m.newest, number)
}

// sum adds up bins by their age; the newest has age 0.
func (m *meter) sum(from, until int64) bin {
	var total bin
	for age := from; age < until; age++ {
		part := m.bins[(m.newest-age+meterBins)%meterBins]
		total.work += part.work
		total.squares += part.squares
	}
	return total
}

// exceeds reports whether more was offered than the given rate does.
func (m *meter) exceeds(rate float64) bool {
	return m.sum(0, meterBins).work > rate*meterTime.Seconds()
}

// surges reports whether in each of the two halves more was offered than the given rate does, and not by chance.
func (m *meter) surges(rate float64) bool {
	for _, half := range []bin{m.sum(0, halfBins), m.sum(halfBins, meterBins)} {
		if half.work-deviations*math.Sqrt(half.squares) <= rate*halfTime.Seconds() {
			return false
		}
	}
	return true
}
