package cellhost

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// homes implements cell.Homes by the heartbeats of other hosts.
type homes struct {
	self  string
	board *Board
	clock clockwork.Clock
	// decidedAt is when the keeper made its last decision; a reading of the clock for each waiting job costs a system call.
	decidedAt *time.Time
}

// SeenAt implements cell.Homes. This host is always seen: its jobs' homes and keeper are one process.
func (h *homes) SeenAt(host, incarnation string) time.Time {
	if host == h.self && h.decidedAt != nil {
		return *h.decidedAt
	}
	if host == h.self {
		return h.clock.Now()
	}
	state, ok := h.board.View().Hosts[host]
	if !ok || state.Incarnation != incarnation {
		return time.Time{}
	}
	return state.LastHeartbeat
}
