package cellhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
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
