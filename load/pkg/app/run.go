package app

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/load/pkg/caller"
	"chervilusher.dev/load/pkg/experiment"
	"chervilusher.dev/load/pkg/fleet"
	"chervilusher.dev/load/pkg/measure"
	"chervilusher.dev/load/pkg/reference"
	"chervilusher.dev/load/pkg/report"
	"chervilusher.dev/load/pkg/workload"
)

// directoryPermissions of the results' directory.
const directoryPermissions = 0o755

func (c *runCommand) execute(ctx context.Context, out io.Writer) error {
	if err := os.MkdirAll(c.Output, directoryPermissions); err != nil {
		return errors.WithStack(err)
	}
	settings, err := experiment.Load(c.Experiment)
	if err != nil {
		return err
	}
	if err = c.override(settings); err != nil {
		return err
	}
	seeds := c.Seeds
	if len(seeds) == 0 {
		seeds = []uint64{settings.Seed}
	}
	for _, seed := range seeds {
		settings.Seed = seed
		if err := c.runOnce(ctx, settings, out); err != nil {
			return errors.Wrapf(err, "experiment %s, seed %d", settings.Name, seed)
		}
	}
	return nil
}

// override puts the command line's settings in place of the experiment's.
func (c *runCommand) override(settings *experiment.Settings) error {
	settings.Name += c.Suffix
	for _, part := range []struct {
		text string
		into *json.RawMessage
	}{{c.Policy, &settings.Entry.Policy}, {c.Lease, &settings.Entry.Lease}} {
		if part.text == "" {
			continue
		}
		if !json.Valid([]byte(part.text)) {
			return errors.Errorf("%q is not JSON", part.text)
		}
		*part.into = json.RawMessage(part.text)
	}
	return nil
}

// runOnce runs the experiment with one seed and writes its results.
func (c *runCommand) runOnce(ctx context.Context, settings *experiment.Settings, out io.Writer) error {
	jobs := workload.Arrivals(settings)
	running, err := fleet.New(ctx, settings, c.Entry)
	if err != nil {
		return err
	}
	defer running.Close()
	run, err := play(ctx, settings, running, jobs)
	if err != nil {
		return err
	}
	run.Build = c.Build
	results := measure.Summarize(run)
	base := filepath.Join(c.Output, fmt.Sprintf("%s-%d", settings.Name, settings.Seed))
	if err = report.WriteJSON(base+".json", results); err != nil {
		return err
	}
	if err = report.WriteHTML(base+".html", results); err != nil {
		return err
	}
	return report.WriteText(out, results)
}

// play sends the jobs while the faults come, and reads what the run cost.
func play(ctx context.Context, settings *experiment.Settings, running *fleet.Fleet, jobs []workload.Job) (*measure.Run, error) {
	before, err := usages(ctx, running)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		running.PlayFaults(ctx, settings.Faults, start)
	}()
	hosts := make([]caller.Host, 0, len(running.Entries))
	for _, process := range running.Entries {
		hosts = append(hosts, caller.Host{Address: process.Addresses.Caller, Size: process.Host.Size})
	}
	samples := make(chan []measure.Sample, 1)
	go func() { samples <- sampleWindows(ctx, settings, running, start) }()
	sender := caller.New(settings, hosts)
	outcomes := sender.Run(ctx, jobs, start)
	<-faults
	after, err := usages(ctx, running)
	if err != nil {
		return nil, err
	}
	return &measure.Run{
		Settings: settings,
		Jobs:     jobs,
		Outcomes: outcomes,
		Backends: running.Office.AllCounters().Backends,
		Repeats:  running.Office.Recorder.Repeats(),
		Samples:  <-samples,
		Faulty:   faultyBackends(settings, running),
		Before:   before,
		After:    after,
		Central:  reference.Central(settings, jobs),
		Date:     start.UTC(),
	}, nil
}

// usages reads the cost and the counters of every entry host; one that does not answer has none.
func usages(ctx context.Context, running *fleet.Fleet) ([]measure.Usage, error) {
	all := make([]measure.Usage, 0, len(running.Entries))
	for _, process := range running.Entries {
		cost, err := process.Cost()
		if err != nil {
			all = append(all, measure.Usage{})
			continue
		}
		counters, err := process.Counters(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, measure.Usage{Cost: cost, Counters: counters})
	}
	return all, nil
}
