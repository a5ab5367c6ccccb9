package integration

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/logservice"
	"chervilusher.dev/standin/pkg/relay"
)

// inForceWithin is the target: a change is in force everywhere after so long.
const inForceWithin = 18 * time.Second

// TestFreshHostTakesItsStateFromAPeer restarts hosts with nothing while the platform is out of their reach.
func TestFreshHostTakesItsStateFromAPeer(t *testing.T) {
	f := newFleet(t, plan{places: []string{"x", "x", "x"}, minions: 3, slots: 4})
	for _, fresh := range []*entry{f.entries[0], f.entries[2]} {
		before, err := fresh.status()
		require.NoError(t, err)
		fresh.log.Faults().Set(relay.Faults{Cut: true})
		fresh.hosts.Faults().Set(relay.Faults{Cut: true})
		fresh.kill()
		fresh.start()
		begin := time.Now()
		require.Eventually(t, func() bool {
			status, err := fresh.status()
			return err == nil && status.Configuration.Next >= before.Configuration.Next
		}, patience, pollEvery)
		t.Logf("%s had the configuration from a peer after %s", fresh.name, time.Since(begin).Round(10*time.Millisecond))
		caller := f.client(fresh)
		var tries atomic.Int64
		require.Eventually(t, func() bool {
			answer, err := caller.Run(t.Context(), api.Submission{Tasks: []api.Task{task("desk", fmt.Sprint(fresh.name, "-", tries.Add(1)), 0)}})
			return err == nil && answer.State == api.StateComplete
		}, patience, pollEvery)
		fresh.log.Faults().Set(relay.Faults{})
		fresh.hosts.Faults().Set(relay.Faults{})
	}
}

// TestCutOffPlaceTakesChangesFromPeers publishes while one host cannot reach the log, and measures until the change is in force there.
func TestCutOffPlaceTakesChangesFromPeers(t *testing.T) {
	f := newFleet(t, plan{places: []string{"x", "y", "y"}, minions: 2, slots: 4})
	cutOff := f.entries[0]
	cutOff.log.Faults().Set(relay.Faults{Cut: true})
	log := logservice.New("http://"+f.office.Log.Address(), http.DefaultClient)
	document := configuration.Document{Owner: "another"}
	offset, err := log.Append(t.Context(), configuration.Stream, configuration.Record{
		Type: configuration.RecordPublish, Publish: "second", Author: "tests", Document: &document,
	})
	require.NoError(t, err)
	for _, daemon := range []*entry{f.entries[1], f.entries[2], cutOff} {
		begin := time.Now()
		require.Eventually(t, func() bool {
			status, err := daemon.status()
			return err == nil && status.Configuration.Next > offset
		}, inForceWithin, pollEvery, daemon.name)
		t.Logf("%s: in force after %s more", daemon.name, time.Since(begin).Round(10*time.Millisecond))
	}
}
