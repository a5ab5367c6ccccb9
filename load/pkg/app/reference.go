package app

import (
	"fmt"
	"io"

	"chervilusher.dev/load/pkg/experiment"
	"chervilusher.dev/load/pkg/measure"
	"chervilusher.dev/load/pkg/reference"
	"chervilusher.dev/load/pkg/workload"
)

func (c *referenceCommand) execute(out io.Writer) error {
	settings, err := experiment.Load(c.Experiment)
	if err != nil {
		return err
	}
	seeds := c.Seeds
	if len(seeds) == 0 {
		seeds = []uint64{settings.Seed}
	}
	for _, seed := range seeds {
		settings.Seed = seed
		jobs := workload.Arrivals(settings)
		central := measure.Reference(settings, jobs, reference.Central(settings, jobs))
		least := measure.Reference(settings, jobs, reference.LeastBusyEver(settings, jobs))
		_, _ = fmt.Fprintf(out, "%s/%d: %d jobs; central queue p50 %.2f p99 %.2f; least busy p50 %.2f p99 %.2f\n",
			settings.Name, seed, len(jobs), central.P50, central.P99, least.P50, least.P99)
	}
	return nil
}
