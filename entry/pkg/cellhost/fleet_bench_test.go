package cellhost

import (
	"fmt"
	"testing"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// fleetDomains and workersPerHost are those of the users' large deployments.
const (
	// fleetDomains and workersPerHost are those of the users' large deployments.
	fleetDomains   = 5
	workersPerHost = 10
)

func fleetDomain(i int) string { return fmt.Sprintf("place%d", i%fleetDomains) }

// newFleet returns the first host of a fleet in which each cell has a keeper; that host keeps none.
func newFleet(hosts int) *claimant {
	c := newClaimant("host000", fleetDomain(0))
	workers := map[string]peer.WorkerInfo{}
	for i := range hosts * workersPerHost {
		id := fmt.Sprintf("worker%05d", i)
		workers[id] = peer.WorkerInfo{ID: id, FailureDomain: fleetDomain(i), Group: "desk", Address: id + ":1", Capacity: cell.Resources{Cores: 16000}}
	}
	c.board.workers.Store(&workers)
	cells := cellsFor(hosts*workersPerHost/fleetDomains, 1)
	c.cells = map[string]int{}
	for domain := range fleetDomains {
		c.cells[fleetDomain(domain)] = cells
	}
	for i := range hosts {
		var claims []peer.Claim
		if index := i/fleetDomains - 1; index >= 0 && index < cells {
			claims = append(claims, peer.Claim{Cell: peer.CellKey{FailureDomain: fleetDomain(i), Index: index}, CellCount: cells, Epoch: int64(1 + i)})
		}
		c.addHost(fmt.Sprintf("host%03d", i), fleetDomain(i), 100, claims...)
	}
	c.board.view.Store(c.view)
	return c
}

// BenchmarkClaims measures one claim check of a host that keeps no cell; it is due 20 times a second.
func BenchmarkClaims(b *testing.B) {
	for _, hosts := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c := newFleet(hosts)
			b.ReportAllocs()
			for b.Loop() {
				c.tick()
			}
		})
	}
}

// BenchmarkView measures the cost of one rebuild of the view; heartbeats cause up to 20 a second.
func BenchmarkView(b *testing.B) {
	for _, hosts := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c := newFleet(hosts)
			members := c.members
			var listed []string
			for name := range c.view.Hosts {
				listed = append(listed, name)
			}
			setHosts(c, listed)
			for name, state := range c.view.Hosts {
				members.handleHeartbeat(&peer.Heartbeat{Name: name, Incarnation: name, Claims: state.Claims, Loads: []cell.Load{{Group: "desk", FreeSlots: 3}}, Clock: c.clock.Now().UnixNano()})
			}
			b.ReportAllocs()
			for b.Loop() {
				members.publish()
			}
		})
	}
}

// BenchmarkSources measures the choice of the peers that serve changes to a host; it is due 20 times a second.
func BenchmarkSources(b *testing.B) {
	for _, hosts := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c := newFleet(hosts)
			relay := NewRelayController(c.common, c.options, c.board, nil, peer.NewServer(), c.directory)
			c.readAt(c.clock.Now().Add(time.Hour))
			b.ReportAllocs()
			for b.Loop() {
				relay.ReadsDirectory()
			}
		})
	}
}

// setHosts sets the members of a host to those of its view.
func setHosts(c *claimant, names []string) {
	hosts := make([]blackboard.Member, 0, len(names))
	for _, name := range names {
		hosts = append(hosts, c.view.Hosts[name].Member)
	}
	c.members.SetHosts(hosts, map[string]bool{})
}
