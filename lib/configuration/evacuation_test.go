package configuration

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilusher.dev/lib/platform"
)

func evacuationRecord(t require.TestingT, offset int64, domain string, evacuated bool) platform.Record {
	raw, err := json.Marshal(Record{Type: RecordEvacuation, Publish: fmt.Sprint(offset), Author: "host", Domain: domain, Evacuated: evacuated})
	require.NoError(t, err)
	return platform.Record{Offset: offset, Data: raw}
}

func TestEvacuationsAreFolded(t *testing.T) {
	state := NewState()
	for i, test := range []struct {
		domain    string
		evacuated bool
		reason    string
		domains   []string
	}{
		{"north", true, "", []string{"north"}},
		{"north", true, "evacuated already, by host", []string{"north"}},
		{"south", false, "is not evacuated", []string{"north"}},
		{"south", true, "", []string{"north", "south"}},
		{"north", false, "", []string{"south"}},
		{"north", false, "is not evacuated", []string{"south"}},
		{"", true, "names no failure domain", []string{"south"}},
		{"north", true, "", []string{"north", "south"}},
	} {
		before := state.EvacuatedDomains()
		older := state
		next, decision := state.Step(evacuationRecord(t, int64(i), test.domain, test.evacuated))
		require.Contains(t, decision.Reason, test.reason)
		require.Equal(t, test.reason == "", decision.Evacuation != nil)
		require.Equal(t, test.domains, next.EvacuatedDomains())
		require.Equal(t, before, older.EvacuatedDomains(), "a state that others hold does not change")
		state = next
	}
	require.Len(t, state.Rejections, 4)
}

func TestSnapshotCarriesEvacuations(t *testing.T) {
	state := NewState().Apply(evacuationRecord(t, 0, "north", true))
	raw, err := json.Marshal(Record{Type: RecordSnapshot, State: state})
	require.NoError(t, err)
	require.True(t, ParseSnapshot(platform.Record{Offset: 1, Data: raw}).IsEvacuated("north"))
}

// TestDeltasOfPeersUndoNeitherStartNorEnd has hosts read the log at random and tell each other; each one that is at an
// offset knows exactly what was evacuated there.
func TestDeltasOfPeersUndoNeitherStartNorEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []platform.Record
		states := []*State{NewState()} // after each offset
		hosts := []*State{NewState(), NewState(), NewState()}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			host := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				domain := rapid.SampledFrom([]string{"north", "south", "west"}).Draw(t, "domain")
				record := evacuationRecord(t, int64(len(log)), domain, rapid.Bool().Draw(t, "evacuated"))
				log = append(log, record)
				states = append(states, states[len(states)-1].Apply(record))
			case 1:
				for _, record := range log[hosts[host].Next:rapid.Int64Range(hosts[host].Next, int64(len(log))).Draw(t, "until")] {
					hosts[host] = hosts[host].Apply(record)
				}
			case 2:
				teller := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "teller")]
				from := rapid.Int64Range(0, teller.Next).Draw(t, "from")
				hosts[host] = hosts[host].Merge(teller.Since(from))
			}
			require.Equal(t, states[hosts[host].Next].EvacuatedDomains(), hosts[host].EvacuatedDomains())
		}
	})
}
