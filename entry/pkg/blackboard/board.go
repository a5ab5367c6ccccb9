package blackboard

import (
	"sync"
	"sync/atomic"
)

// Board is the state of one entry host that its controllers share.
type Board struct {
	Configuration Configuration
	Hosts         Hosts
	Members       Members
	Dispatch      Dispatch
	Draining      atomic.Bool // no new submissions are accepted
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

// Dispatch is the state of queues and back ends; its lock guards everything reachable from it.
type Dispatch struct {
	sync.Mutex
	Groups   map[string]*Group
	Accounts map[string]*Account
}

// Account holds the counters and limits of one client account at this host.
type Account struct {
	Name    string
	Weight  int   // weight of its share relative to other accounts, at least 1
	Queued  int   // waiting tasks
	Running int   // running tasks
	Refused int64 // submissions refused since the process started
	MaxWait int   // limit of Queued
	MaxRun  int   // limit of Running; zero means unbounded
}
