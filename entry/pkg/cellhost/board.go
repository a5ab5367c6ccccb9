package cellhost

import (
	"sync/atomic"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/queues"
)

// Board is what the controllers of a host share.
type Board struct {
	Draining atomic.Bool
	follows  atomic.Bool // this host is to claim a cell
	queues   atomic.Pointer[queues.Table]
	view     atomic.Pointer[View]
	workers  atomic.Pointer[map[string]peer.WorkerInfo]
	claims   atomic.Pointer[[]peer.Claim]
}

// PeerState is a host as its heartbeats show it.
type PeerState struct {
	blackboard.Member
	Claims            []peer.Claim
	UnreleasedWorkers map[string]bool // workers of other keepers that the host has not given up yet
	Loads             []cell.Load
	ClockOffset       time.Duration // this host's clock less the other's, at most the delay of one heartbeat too large
	ClockKnown        bool          // Ahead is known
	LastHeartbeat     time.Time     // when its last heartbeat came; unlike Heard it does not move with a pause of this process
	ShedFraction      float64       // the part of the jobs that it has to turn away
	HeartbeatPeer     bool          // it and this host send each other heartbeats at the usual pace
}

// View is what this host knows of all hosts, itself among them; it is not changed after it was stored.
type View struct {
	Hosts    map[string]PeerState
	Minority bool // less than half of the other hosts are heard
	Isolated bool // in addition, no other host of the place is heard
	Complete bool // each near host is heard, or its process is gone for certain
}

// IsKeeper reports whether the host keeps a cell.
func (n *PeerState) IsKeeper() bool {
	return len(n.Claims) > 0
}

// WithoutHeartbeatSince returns the near hosts whose last heartbeat came before a time.
func (v *View) WithoutHeartbeatSince(since time.Time) []string {
	var silent []string
	for name := range v.Hosts {
		if neighbour := v.Hosts[name]; neighbour.HeartbeatPeer && !neighbour.LastHeartbeat.IsZero() && neighbour.LastHeartbeat.Before(since) {
			silent = append(silent, name)
		}
	}
	return silent
}

// Table returns the view in the form that the choice of a keeper takes.
func (v *View) Table() *blackboard.MemberTable {
	table := &blackboard.MemberTable{ByName: make(map[string]blackboard.Member, len(v.Hosts))}
	for name := range v.Hosts {
		table.ByName[name] = v.Hosts[name].Member
	}
	return table
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	board := &Board{}
	board.view.Store(&View{})
	board.workers.Store(&map[string]peer.WorkerInfo{})
	board.claims.Store(&[]peer.Claim{})
	return board
}

// Queues returns the queues in force, or nil before any were read.
func (b *Board) Queues() *queues.Table {
	return b.queues.Load()
}

// View returns what is known of the hosts.
func (b *Board) View() *View {
	return b.view.Load()
}

// Workers returns the workers by name.
func (b *Board) Workers() map[string]peer.WorkerInfo {
	return *b.workers.Load()
}

// Claims returns the cells that this host keeps.
func (b *Board) Claims() []peer.Claim {
	return *b.claims.Load()
}

// outranks reports whether the first host's claim of a cell goes before the second's: a host of the cell's own place goes before others, and a later claim before an earlier one.
func (v *View) outranks(first string, firstClaim peer.Claim, second string, secondClaim peer.Claim) bool {
	firstNear := v.Hosts[first].FailureDomain == firstClaim.Cell.FailureDomain
	secondNear := v.Hosts[second].FailureDomain == secondClaim.Cell.FailureDomain
	if firstNear != secondNear {
		return firstNear
	}
	if firstClaim.Epoch != secondClaim.Epoch {
		return firstClaim.Epoch > secondClaim.Epoch
	}
	return first > second
}

// IsKeeper reports whether this host keeps a cell.
func (b *Board) IsKeeper() bool {
	return len(b.Claims()) > 0
}
