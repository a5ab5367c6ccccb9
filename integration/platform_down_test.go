package integration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/standin/pkg/control"
	"chervilusher.dev/standin/pkg/hostlist"
	"chervilusher.dev/standin/pkg/relay"
)

func TestWorkGoesOnWhileThePlatformIsDown(t *testing.T) {
	f := newFleet(t, plan{places: []string{"x", "x"}, minions: 2, slots: 8, workers: 2, cores: 8})
	warm := f.runMany(2, f.entries[0], func(mark string) api.Task { return poolTask(mark, 0) }, "warm")
	require.Equal(t, 2, countComplete(warm))
	for _, outage := range []control.Outage{control.OutageError, control.OutageHang} {
		t.Run(string(outage), func(t *testing.T) {
			f.office.Log.Faults().Set(control.Platform{Outage: outage})
			f.office.Hosts.Faults().Set(hostlist.Faults{Platform: control.Platform{Outage: outage}})
			time.Sleep(1500 * time.Millisecond) // longer than a lease
			for _, through := range f.entries {
				prefix := string(outage) + through.name
				minions := f.runMany(20, through, func(mark string) api.Task { return task("desk", mark, 10*time.Millisecond) }, prefix)
				require.Equal(t, 20, countComplete(minions))
				f.requireTrue(minions)
			}
			workers := f.runMany(20, f.entries[0], func(mark string) api.Task { return poolTask(mark, 10*time.Millisecond) }, string(outage)+"-pool")
			f.requireTrue(workers)
			f.office.Log.Faults().Set(control.Platform{})
			f.office.Hosts.Faults().Set(hostlist.Faults{})
		})
	}
}

func TestPlaceThatIsCutOffServesAndHeals(t *testing.T) {
	f := newFleet(t, plan{places: []string{"x", "x", "y", "y"}, minions: 4, slots: 8})
	island := f.entries[2:]
	cut := func(faults relay.Faults) {
		for _, daemon := range f.entries {
			daemon.inward.Faults().Set(faults)
		}
		for _, daemon := range island {
			daemon.log.Faults().Set(faults)
			daemon.hosts.Faults().Set(faults)
		}
	}
	handle := f.mint(f.entries[0])
	submission := job(task("desk", "across", 300*time.Millisecond))
	_, err := f.client(f.entries[0]).Submit(t.Context(), handle, submission)
	require.NoError(t, err)
	cut(relay.Faults{Cut: true})
	answer := f.once(island[0], handle, submission)
	require.Equal(t, api.RanUnknown, answer.Ran)
	for _, through := range f.entries {
		answers := f.runMany(20, through, func(mark string) api.Task { return task("desk", mark, 10*time.Millisecond) }, "cut-"+through.name)
		require.Equal(t, 20, countComplete(answers))
		f.requireTrue(answers)
	}
	cut(relay.Faults{})
	requireOwnAnswer(t, f.firstAnswer(island[0], handle, submission, patience), "across")
	f.requireAtMostOnce()
}
