package cellhost

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/peer"
)

const (
	// crowdBandwidth and crowdRecord are the store's bytes a second and those of a worker's entry.
	crowdBandwidth = 80 << 20
	crowdRecord    = 300
	// crowdWrites is how many entries ten workers a host write a second.
	crowdWrites = workersPerHost / 1.5
	crowdStep   = 100 * time.Millisecond
)

// crowd is the hosts of a fleet that start together, on one clock, with a store that shares its bandwidth among those
// who read, and a network without delay.
type crowd struct {
	clock  *claimant
	relays []*RelayController
	end    float64 // of the directory's log
}

func newCrowd(hosts, keepers int) *crowd {
	first := newClaimant("host-000", north)
	c := &crowd{clock: first}
	view := &View{Hosts: map[string]PeerState{}}
	for i := range hosts {
		name := fmt.Sprintf("host-%03d", i)
		state := PeerState{Member: blackboard.Member{Name: name, FailureDomain: north, Size: 100, Alive: true, Incarnation: name}, ClockKnown: true}
		if i < keepers {
			state.Claims = []peer.Claim{{Cell: peer.CellKey{FailureDomain: north, Index: i}, CellCount: keepers, Epoch: 1}}
		}
		view.Hosts[name] = state
	}
	for i := range hosts {
		name := fmt.Sprintf("host-%03d", i)
		board := NewBoard()
		board.view.Store(view)
		claims := view.Hosts[name].Claims
		board.claims.Store(&claims)
		directory := NewDirectoryController(first.common, board)
		relay := NewRelayController(first.common, Options{Name: name, FailureDomain: north}, board, nil, peer.NewServer(), directory)
		c.relays = append(c.relays, relay)
	}
	return c
}

// pass reads, tells and writes for a step.
func (c *crowd) pass() {
	c.clock.clock.Advance(crowdStep)
	now := c.clock.clock.Now()
	c.end += crowdWrites * float64(len(c.relays)) * crowdStep.Seconds()
	var readers []*RelayController
	for _, relay := range c.relays {
		if relay.ReadsDirectory() && relay.directory.Position() < int64(c.end) {
			readers = append(readers, relay)
		}
	}
	for _, relay := range readers {
		from := relay.directory.Position()
		records := int64(crowdBandwidth * crowdStep.Seconds() / float64(len(readers)) / crowdRecord)
		change := &DirectoryChange{From: from, Next: min(from+records, int64(c.end))}
		if change.Next == int64(c.end) {
			change.CompleteAt = now
		}
		relay.directory.Apply(change)
	}
	for _, relay := range c.relays {
		c.fetch(relay, now)
	}
}

// fetch has a host ask its first source when it is due.
func (c *crowd) fetch(relay *RelayController, now time.Time) {
	sources := relay.sources(relay.board.View())
	if now.Sub(relay.lastFetch) < relay.fetchInterval() || slices.Contains(sources, relay.options.Name) || len(sources) == 0 {
		return
	}
	relay.lastFetch = now
	for _, source := range c.relays {
		if source.options.Name == sources[0] {
			since := relay.directory.Position()
			relay.applyChanges(sources[0], since, source.directory.ChangesSince(&peer.ChangesRequest{Since: since, AllowFull: true}), now)
			return
		}
	}
}

// oldest returns the longest time for which a host has not known the whole directory.
func (c *crowd) oldest() time.Duration {
	age := time.Duration(0)
	for _, relay := range c.relays {
		age = max(age, c.clock.clock.Since(relay.directory.LastRead()))
	}
	return age
}

// TestCrowdThatStartsTogetherKnowsTheDirectory is the load in which all hosts of a large fleet start at once and the log
// grows as fast as the store can send it to all of them: a worker that leaves must get no task 3 s later.
func TestCrowdThatStartsTogetherKnowsTheDirectory(t *testing.T) {
	for _, hosts := range []int{crowdedHosts, 300} {
		for _, keepers := range []int{0, hosts / 5} {
			t.Run(fmt.Sprintf("%d hosts, %d keepers", hosts, keepers), func(t *testing.T) {
				c := newCrowd(hosts, keepers)
				c.end = float64(3 * workersPerHost * hosts) // written before the hosts start
				for range 6 * time.Second / crowdStep {
					c.pass()
				}
				bound := otherFetchInterval + keeperFetchInterval
				for i := range keepers {
					require.Less(t, c.clock.clock.Since(c.relays[i].directory.LastRead()), 3*keeperFetchInterval, "a keeper")
				}
				require.Less(t, c.oldest(), bound+keeperFetchInterval)
			})
		}
	}
}
