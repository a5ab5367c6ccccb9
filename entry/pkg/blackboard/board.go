package blackboard

import (
	"sync"
	"sync/atomic"
)

// Board is the whole shared state of one entry host.
type Board struct {
	Configuration Configuration
	Hosts         Hosts
	Members       Members
	Dispatch      Dispatch
	Draining      atomic.Bool // no new work is accepted
}

// New returns an empty board.
func New() *Board {
	board := &Board{}
	board.Dispatch.Groups = map[string]*Group{}
	board.Dispatch.Accounts = map[string]*Account{}
	board.Configuration.Store(newEmptyConfiguration())
	board.Hosts.Store(&HostTable{})
	board.Members.Store(&MemberTable{})
	return board
}

// Dispatch is the state of queues and back ends; its lock guards all that hangs from it.
type Dispatch struct {
	sync.Mutex
	Groups   map[string]*Group
	Accounts map[string]*Account
}

// Account counts what one owner holds at this host.
type Account struct {
	Name    string
	Weight  int   // share against other owners, at least 1
	Queued  int   // tasks waiting
	Running int   // tasks started and not ended
	Refused int64 // submissions refused since the process began
	MaxWait int   // most tasks waiting
	MaxRun  int   // most tasks running; zero means no bound
}
