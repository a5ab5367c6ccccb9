package blackboard

import (
	"math"
	"strings"
	"time"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

// Group is a set of interchangeable endpoints or workers with the queue of the tasks that wait for them.
type Group struct {
	Name          string
	Role          platform.Role
	Backends      map[string]*Backend
	Queue         Queue
	Capacity      Capacity              // summed from Backends periodically
	Synced        time.Time             // when the placement policy last read every back end
	Searched      time.Time             // last search for a back end to reserve for a wide task
	Busy          int                   // slots held by this host's tasks
	LongLoad      map[string]float64    // seconds of run time per second that long tasks take at slowness 1, by failure domain
	ShortLoadPeak map[string]float64    // recent peak of the same load by short tasks, by failure domain
	Backlogs      Backlogs              // waiting work, by client account
	Demands       map[DemandKey]*Demand // waiting tasks, by what they require
}

// DemandKey identifies a Demand: the resources and the failure domains that tasks require.
type DemandKey struct {
	Need           api.Need
	FailureDomains string // comma-separated
}

// Demand counts the waiting tasks that require the same resources and failure domains.
type Demand struct {
	Need           api.Need
	FailureDomains []string // empty means all
	Tasks          int
}

// AddWaiting adds count to the waiting tasks that require the same as the task; -1 removes one.
func (g *Group) AddWaiting(task *Task, count int) {
	key := DemandKey{Need: task.Need, FailureDomains: strings.Join(task.Target.FailureDomains, ",")}
	demand, ok := g.Demands[key]
	if !ok {
		demand = &Demand{Need: task.Need, FailureDomains: task.Target.FailureDomains}
		g.Demands[key] = demand
	}
	demand.Tasks += count
	if demand.Tasks == 0 {
		delete(g.Demands, key)
	}
}

// AdmitsLong reports whether another long task may start in the failure domain.
func (g *Group) AdmitsLong(domain string) bool {
	return g.LongLoad[domain] < g.Capacity.LongRate[domain]
}

// Queue holds a group's waiting tasks in the order in which they are to start.
type Queue interface {
	// Push adds a task.
	Push(task *Task)
	// Pop removes and returns the next task for which fits returns true, or nil.
	Pop(fits func(task *Task) bool) *Task
	// Remove removes a task and reports whether it was in the queue.
	Remove(task *Task) bool
	// Len returns the number of waiting tasks.
	Len() int
}

// Backend is one endpoint or worker as this host sees it.
type Backend struct {
	Name          string
	Address       string // host:port
	FailureDomain string
	Rack          string
	Group         string
	Role          platform.Role
	Leaving       bool // it gets no new tasks
	Evacuated     bool // its failure domain is evacuated, so that it gets no new tasks
	Slots         int  // concurrent tasks of all hosts together
	Connections   int  // connections that this host may open to it; zero means unbounded
	Cores         float64
	Memory        int64 // bytes
	Accelerators  int

	Granted      int       // slots that this host may use now
	GrantedUntil time.Time // expiry of the grant; zero means never
	Busy         int       // slots held by this host's tasks
	Peak         int       // peak of Busy since the borrower last checked for idle slots
	Starts       int       // tasks started at this back end
	Lease        Lease     // of a worker, while this host is its lender
	LeaseExpiry  time.Time // expiry of the worker's lease under which its slots were lent; zero for endpoints

	FencingToken int64 // of the worker's lease; zero for endpoints

	Share    int // this host's share of the slots when all hosts want theirs; zero when Granted is exact
	Recalled int // slots to return to the lender once they are free
	Overlent int // granted slots that get no new tasks and are to be returned, since the back end has shrunk

	Ejected        bool      // it gets only probes
	NextProbe      time.Time // earliest start of the next probe while ejected
	Probing        bool      // a probe is in progress
	RecoveryLimit  int       // most slots used during recovery from an ejection; zero means unbounded
	BackoffUntil   time.Time // it gets no tasks before this time
	ReservedFor    *Task     // wide task for which its free slots are reserved
	Slowness       float64   // learnt run time relative to the typical one; zero means unknown
	RecentSlowness float64   // Slowness over the last few runs
	SlownessRuns   int       // number of runs from which Slowness was learnt
	FailureRate    float64   // share of recent starts that failed, 0 to 1
}

// Lease is a lender's exclusive right to use a worker.
type Lease struct {
	Fence int64     // fencing token; zero without a lease
	Until time.Time // already reduced by the safety margin
}

// Leased reports whether this host may lend the back end's slots; those of a worker require its lease.
func (b *Backend) Leased(now time.Time) bool {
	return b.Role == platform.RoleMinion || (b.Lease.Fence != 0 && now.Before(b.Lease.Until))
}

// IsClosed reports whether it gets no new tasks.
func (b *Backend) IsClosed() bool {
	return b.Leaving || b.Evacuated
}

// Expected returns the number of slots that this host can count on, including those that it would have to borrow.
func (b *Backend) Expected(now time.Time) int {
	if b.GrantExpired(now) {
		return b.Share
	}
	return max(b.Granted, b.Share)
}

// Free returns the number of further slots that this host may use at the back end now.
func (b *Backend) Free(now time.Time) int {
	if b.IsClosed() || b.GrantExpired(now) || now.Before(b.BackoffUntil) {
		return 0
	}
	return max(0, b.Usable()-b.Busy)
}

// Usable returns the number of granted slots that new tasks may use.
func (b *Backend) Usable() int {
	usable := b.Granted - b.Overlent
	if b.RecoveryLimit > 0 {
		usable = min(usable, b.RecoveryLimit)
	}
	return usable
}

// GrantExpired reports whether the grant has expired.
func (b *Backend) GrantExpired(now time.Time) bool {
	return !b.GrantedUntil.IsZero() && !now.Before(b.GrantedUntil)
}

// Width returns the number of slots that a task takes at the back end.
// It exceeds Slots when the task can never run there.
func (b *Backend) Width(need api.Need) int {
	if b.Role == platform.RoleMinion {
		return 1
	}
	width := 1.0
	width = math.Max(width, share(need.Cores, b.Cores)*float64(b.Slots))
	width = math.Max(width, share(float64(need.Memory), float64(b.Memory))*float64(b.Slots))
	width = math.Max(width, share(float64(need.Accelerators), float64(b.Accelerators))*float64(b.Slots))
	return int(math.Ceil(width - roundingSlack))
}

// roundingSlack keeps floating-point errors from widening a task by one slot.
const roundingSlack = 1e-9

// impossibleShare is the share of a resource that the back end does not have.
const impossibleShare = 1e6

func share(need, have float64) float64 {
	if need <= 0 {
		return 0
	}
	if have <= 0 {
		return impossibleShare
	}
	return need / have
}
