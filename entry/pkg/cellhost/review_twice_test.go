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

// TestHeartbeatsThatAreReadLateForAMinuteCountFromWhenTheyWereSent guards against a clock offset that rises without bound on a
// host that reads every heartbeat late; the budget has 40 ms for it.
func TestHeartbeatsThatAreReadLateForAMinuteCountFromWhenTheyWereSent(t *testing.T) {
	c, members := newMembers(t, blackboard.Member{Name: "b", FailureDomain: north, Size: 1})
	members.handleHeartbeat(heartbeatOf(c, "b", "1"))
	var sent time.Time
	for range 600 {
		late := heartbeatOf(c, "b", "1")
		sent = c.clock.Now()
		c.clock.Advance(DefaultHeartbeatInterval)
		members.handleHeartbeat(late)
	}
	members.publish()
	require.WithinDuration(t, sent, c.board.View().Hosts["b"].LastHeartbeat, 40*time.Millisecond)
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
