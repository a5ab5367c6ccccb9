package common

import (
	"fmt"
	"slices"

	"github.com/VictoriaMetrics/metrics"
)

// ReportEvacuations logs which failure domains are evacuated now and were not before, and the other way round, and sets
// their metrics.
func (c *Common) ReportEvacuations(before, now []string, source string) {
	line := c.Log.WithField("source", source)
	for _, domain := range now {
		if !slices.Contains(before, domain) {
			evacuated(domain).Set(1)
			line.WithField("place", domain).Info("failure domain evacuated; it gets no new tasks")
		}
	}
	for _, domain := range before {
		if !slices.Contains(now, domain) {
			evacuated(domain).Set(0)
			line.WithField("place", domain).Info("failure domain taken back")
		}
	}
}

func evacuated(domain string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf(`chervilusher_evacuated{place=%q}`, domain), nil)
}
