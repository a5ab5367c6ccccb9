package burn

import (
	"fmt"
	"io"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
)

// WriteMetrics writes the burn rates and the counts of all objectives as Prometheus text.
func (r *Recorder) WriteMetrics(out io.Writer) {
	for _, objective := range r.Report("").Objectives {
		labels := "owner=" + strconv.Quote(objective.Owner) + ",objective=" + strconv.Quote(objective.Name)
		metrics.WriteCounterUint64(out, fmt.Sprintf(`chervilusher_objective_good_total{%s}`, labels), uint64(objective.Good))
		metrics.WriteCounterUint64(out, fmt.Sprintf(`chervilusher_objective_bad_total{%s}`, labels), uint64(objective.Bad))
		for _, window := range objective.Windows {
			for _, one := range []struct {
				length string
				rate   float64
			}{
				{window.Long.String(), window.Rate},
				{window.Short.String(), window.Recent},
			} {
				name := fmt.Sprintf(`chervilusher_objective_burn_rate{%s,window=%q}`, labels, one.length)
				metrics.WriteGaugeFloat64(out, name, one.rate)
			}
		}
	}
}
