package cellhost

import (
	"sync/atomic"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/queues"
)

// Board is the state that the controllers of a host share.
type Board struct {
	Draining atomic.Bool
	claiming atomic.Bool // this host is to claim a cell
	queues   atomic.Pointer[queues.Table]
	view     atomic.Pointer[View]
	workers  atomic.Pointer[map[string]peer.WorkerInfo]
	claims   atomic.Pointer[[]peer.Claim]

	evacuations     atomic.Pointer[peer.Evacuations]
	directoryReadAt atomic.Pointer[time.Time]
}

// PeerState is a host as its heartbeats describe it.
type PeerState struct {
	blackboard.Member
	Claims            []peer.Claim
	UnreleasedWorkers map[string]bool // workers of other keepers that the host has not released yet
	Loads             []cell.Load
	ClockOffset       time.Duration // this host's clock minus the peer's, too large by at most the delay of one heartbeat
	ClockKnown        bool          // ClockOffset is known
	LastHeartbeat     time.Time     // when it sent its last heartbeat, on this host's clock; unlike LastSeen unaffected by delays
	ShedFraction      float64       // the share of jobs that it has to shed
	Excesses          []peer.Excess // queues of which it cannot start all jobs in time
	Gone              bool          // its silence is long, so that it counts for nothing
	HeartbeatPeer     bool          // it and this host exchange heartbeats at the full rate
	WitnessesStarts   bool          // it can be a witness of starts
}

// View is what this host knows of all hosts, including itself; it is immutable once stored.
type View struct {
	Hosts    map[string]PeerState
	Minority bool // fewer than half of the heartbeat peers are heard
	Isolated bool // in addition, no other host of the failure domain is heard
	Complete bool // each heartbeat peer is heard, or its process has ended

	Gone       int // hosts that count for nothing any more, as their silence is long
	DomainSize int // hosts of this host's failure domain that are not gone, including this one
}

// Size returns how many hosts the fleet has, without those that are gone.
func (v *View) Size() int {
	return len(v.Hosts) - v.Gone
}

// IsKeeper reports whether the host keeps a cell.
func (n *PeerState) IsKeeper() bool {
	return len(n.Claims) > 0
}

// keepsOpenCell reports whether the host keeps a cell that is not evacuated.
func (n *PeerState) keepsOpenCell(evacuations *peer.Evacuations) bool {
	for _, claim := range n.Claims {
		if !evacuations.Covers(claim.Cell.FailureDomain) {
			return true
		}
	}
	return false
}

// Table returns the view as a member table, as the choice of a keeper takes it.
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
	board.evacuations.Store(&peer.Evacuations{})
	board.directoryReadAt.Store(&time.Time{})
	return board
}

// Queues returns the queues in force, or nil before any were read.
func (b *Board) Queues() *queues.Table {
	return b.queues.Load()
}

// View returns the current view of the hosts.
func (b *Board) View() *View {
	return b.view.Load()
}

// Workers returns the workers by name.
func (b *Board) Workers() map[string]peer.WorkerInfo {
	return *b.workers.Load()
}

// DirectoryReadAt returns as of when the workers are known.
func (b *Board) DirectoryReadAt() time.Time {
	return *b.directoryReadAt.Load()
}

// Claims returns this host's claims of cells.
func (b *Board) Claims() []peer.Claim {
	return *b.claims.Load()
}

// Evacuations returns the failure domains that are evacuated.
func (b *Board) Evacuations() *peer.Evacuations {
	return b.evacuations.Load()
}

// outranks reports whether the first host's claim of a cell takes precedence: a host of the cell's own failure domain
// precedes others, and a later claim an earlier one.
func (v *View) outranks(first string, firstClaim peer.Claim, second string, secondClaim peer.Claim) bool {
	firstLocal := v.Hosts[first].FailureDomain == firstClaim.Cell.FailureDomain
	secondLocal := v.Hosts[second].FailureDomain == secondClaim.Cell.FailureDomain
	if firstLocal != secondLocal {
		return firstLocal
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
