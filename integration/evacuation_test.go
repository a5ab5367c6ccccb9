package integration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
)

// TestAnOperatorEvacuatesAFailureDomainAndTakesItBack has callers of both failure domains served by one of them.
func TestAnOperatorEvacuatesAFailureDomainAndTakesItBack(t *testing.T) {
	f := newFleet(t, plan{places: []string{"north", "south"}, minions: 2, slots: 4})
	program := buildCommandLine(t)
	first, second := f.entries[0], f.entries[1]
	evacuated := func(host *entry) (domains []string) {
		var status []api.EvacuationStatus
		require.Zero(t, program.run(&status, "status", "evacuations", "--entry", host.operators()))
		for _, each := range status {
			domains = append(domains, each.Domain)
		}
		return domains
	}
	require.Equal(t, 3, program.run(nil, "evacuate", "nowhere", "--entry", first.operators()), "no such failure domain")
	require.Zero(t, program.run(nil, "evacuate", "north", "--entry", first.operators()))
	require.Equal(t, 7, program.run(nil, "evacuate", "north", "--entry", second.operators()), "it is evacuated already")
	require.Eventually(t, func() bool { return len(evacuated(first)) == 1 && len(evacuated(second)) == 1 }, patience, pollEvery)

	var minions []api.MinionStatus
	require.Zero(t, program.run(&minions, "status", "minions", "--entry", second.operators()))
	for _, minion := range minions {
		require.Equal(t, minion.Place == "north", minion.Ready == api.ReadyEvacuated, minion.Name)
	}
	for _, host := range f.entries {
		caller := f.client(host)
		handle, err := caller.Mint(t.Context())
		require.NoError(t, err)
		_, err = caller.Submit(t.Context(), handle, job(task("desk", "moved", 10*time.Millisecond)))
		require.NoError(t, err)
		answer, err := caller.Wait(t.Context(), handle)
		require.NoError(t, err)
		require.Equal(t, api.StateComplete, answer.State, answer.Reason)
	}
	require.Zero(t, program.run(nil, "takeback", "north", "--entry", second.operators()))
	require.Eventually(t, func() bool { return len(evacuated(first)) == 0 }, patience, pollEvery)
}
