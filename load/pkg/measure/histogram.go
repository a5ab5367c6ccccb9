package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chervilusher.dev/lib/jsontime"
)

// Bounds of the histograms: ratios in thousandths, times in microseconds.
const (
	ratioUnit        = 1000
	longestRatio     = 10_000 * ratioUnit
	longestMicros    = int64(time.Hour / time.Microsecond)
	significantDigit = 3
	curveSteps       = 400
)

// ratios is a histogram of response against ideal.
type ratios struct {
	histogram *hdrhistogram.Histogram
}

func newRatios() ratios {
	return ratios{histogram: hdrhistogram.New(1, longestRatio, significantDigit)}
}

func (r ratios) add(response, ideal time.Duration) {
	value := int64(float64(response) / float64(ideal) * ratioUnit)
	_ = r.histogram.RecordValue(min(max(value, 1), longestRatio))
}

func (r ratios) quantiles() Quantiles {
	at := func(percent float64) float64 {
		return float64(r.histogram.ValueAtQuantile(percent)) / ratioUnit
	}
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9)}
}

// points returns the cumulative distribution.
func (r ratios) points() []Point {
	if r.histogram.TotalCount() == 0 {
		return nil
	}
	points := make([]Point, 0, curveSteps+1)
	for step := range curveSteps + 1 {
		share := float64(step) / curveSteps
		points = append(points, Point{X: float64(r.histogram.ValueAtQuantile(share*100)) / ratioUnit, Y: share})
	}
	return points
}

// spans is a histogram of times.
type spans struct {
	histogram *hdrhistogram.Histogram
}

func newSpans() spans {
	return spans{histogram: hdrhistogram.New(1, longestMicros, significantDigit)}
}

func (s spans) add(length time.Duration) {
	_ = s.histogram.RecordValue(min(max(length.Microseconds(), 1), longestMicros))
}

func (s spans) at(percent float64) jsontime.Duration {
	return jsontime.Duration(time.Duration(s.histogram.ValueAtQuantile(percent)) * time.Microsecond)
}

func (s spans) summary() Spans {
	return Spans{Count: int(s.histogram.TotalCount()), P50: s.at(50), P99: s.at(99)}
}
