package cellhost

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// TestHomeInAnotherFailureDomainIsAHeartbeatPeerWhileItsJobsRun guards against the silence of a home going unnoticed
// in a large fleet, where hosts of other failure domains exchange no heartbeats with a keeper.
func TestHomeInAnotherFailureDomainIsAHeartbeatPeerWhileItsJobsRun(t *testing.T) {
	hosts := []blackboard.Member{{Name: "home", FailureDomain: south, Size: 1}}
	for i := range fullMeshHosts {
		hosts = append(hosts, blackboard.Member{Name: strconv.Itoa(i), FailureDomain: south, Size: 1})
	}
	c, members := newMembers(t, hosts...)
	members.SetObservers(c.keeper, c.keeper)
	c.board.claims.Store(&[]peer.Claim{{Cell: northCell, CellCount: 1, Epoch: 1}})
	members.handleHeartbeat(heartbeatOf(c, "home", "1"))
	c.clock.Advance(startDelay)
	members.tick()
	require.False(t, c.board.View().Hosts["home"].HeartbeatPeer)
	c.keeper.cell.Add(&cell.Worker{ID: "w", Group: "desk", Capacity: cell.Resources{Cores: 1000, Memory: 1}})
	now := c.clock.Now()
	job := &cell.Job{ID: "j", Home: "home", HomeIncarnation: "1", Group: "desk", Arrived: now, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	job.Tasks = []*cell.Task{{Job: job, Name: "j.0", Demand: cell.Resources{Cores: 1000, Memory: 1}, Estimate: time.Second}}
	c.keeper.cell.Submit(job, now)
	require.False(t, job.Decided())
	members.tick()
	require.True(t, c.board.View().Hosts["home"].HeartbeatPeer)
	for range 8 {
		c.clock.Advance(DefaultHeartbeatInterval)
		members.tick()
	}
	require.False(t, c.board.View().Hosts["home"].Alive)
	require.True(t, job.Decided(), "the job of a home that is not heard")
}

// TestHomeOfAForwardedJobIsAHeartbeatPeerOfItsForwarder guards against leases that end although the caller waits: the forwarder
// tells the other keeper when it last heard the home, so it must hear the home at the full rate.
func TestHomeOfAForwardedJobIsAHeartbeatPeerOfItsForwarder(t *testing.T) {
	hosts := []blackboard.Member{{Name: "home", FailureDomain: south, Size: 1}, {Name: "other", FailureDomain: south, Size: 1}}
	for i := range fullMeshHosts {
		hosts = append(hosts, blackboard.Member{Name: strconv.Itoa(i), FailureDomain: south, Size: 1})
	}
	c, members := newMembers(t, hosts...)
	home := NewHomeController(c.common, c.options, c.board, nil, c.keeper)
	members.SetCalls(home, c.keeper)
	c.board.claims.Store(&[]peer.Claim{{Cell: northCell, CellCount: 1, Epoch: 1}})
	members.handleHeartbeat(heartbeatOf(c, "home", "1"))
	c.clock.Advance(startDelay)
	members.tick()
	request := &peer.RunRequest{}
	home.addCall(&keeperCall{keeper: "other", home: "home"}, request) // as Forward does
	members.tick()
	require.True(t, c.board.View().Hosts["home"].HeartbeatPeer)
}

// TestHomeElsewhereIsCalledAtTheFullRate guards against too few heartbeats of a home in another failure domain: it does not know
// that it is a heartbeat peer of the keeper and never calls, whichever name is lower.
func TestHomeElsewhereIsCalledAtTheFullRate(t *testing.T) {
	const name = "A home" // lower than the keeper's
	hosts := []blackboard.Member{{Name: name, FailureDomain: south, Size: 1}}
	for i := range fullMeshHosts {
		hosts = append(hosts, blackboard.Member{Name: strconv.Itoa(i), FailureDomain: south, Size: 1})
	}
	c, members := newMembers(t, hosts...)
	c.board.claims.Store(&[]peer.Claim{{Cell: northCell, CellCount: 1, Epoch: 1}})
	members.handleHeartbeat(heartbeatOf(c, name, "1"))
	c.keeper.cell.Add(&cell.Worker{ID: "w", Group: "desk", Capacity: cell.Resources{Cores: 1000, Memory: 1}})
	now := c.clock.Now()
	job := &cell.Job{ID: "j", Home: name, HomeIncarnation: "1", Group: "desk", Arrived: now, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	job.Tasks = []*cell.Task{{Job: job, Name: "j.0", Demand: cell.Resources{Cores: 1000, Memory: 1}, Estimate: time.Second}}
	c.keeper.cell.Submit(job, now)
	calls := 0
	for range 30 {
		c.clock.Advance(DefaultHeartbeatInterval)
		members.tick()
		members.ticks = 1 // not the slow heartbeat to a random host
		for _, target := range members.heartbeatTargets(false) {
			if target.Name == name {
				calls++
				members.handleHeartbeat(heartbeatOf(c, name, "1")) // its answer
			}
		}
	}
	require.GreaterOrEqual(t, calls, 25, "of 30 ticks")
}
