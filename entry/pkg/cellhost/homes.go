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
}

// SeenAt implements cell.Homes. This host is always seen: its jobs' homes and keeper are one process.
func (h *homes) SeenAt(host, incarnation string) time.Time {
	if host == h.self {
		return h.clock.Now()
	}
	state, ok := h.board.View().Hosts[host]
	if !ok || state.Incarnation != incarnation {
		return time.Time{}
	}
	return state.LastHeartbeat
}
