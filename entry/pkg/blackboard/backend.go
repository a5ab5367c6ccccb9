package blackboard

import (
	"math"
	"strings"
	"time"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

// Group is a set of equal minions or workers and the queue of work that waits for them.
type Group struct {
	Name          string
	Role          platform.Role
	Backends      map[string]*Backend
	Queue         Queue
	Capacity      Capacity              // summed from Backends at intervals
	Synced        time.Time             // when the placement last took in every back end
	Searched      time.Time             // when a back end was last looked for to be kept free for a wide task
	Busy          int                   // slots that this host's tasks hold
	LongLoad      map[string]float64    // run time that running long work does in a second, in seconds at a back end of slowness 1, by place
	ShortLoadPeak map[string]float64    // the same of short work, its recent peak, by place
	Backlogs      Backlogs              // waiting work, by owner
	Demands       map[DemandKey]*Demand // waiting work, by the room that it needs
}

// DemandKey tells kinds of room apart.
type DemandKey struct {
	Need           api.Need
	FailureDomains string // joined by commas
}

// Demand counts waiting tasks that need the same room.
type Demand struct {
	Need           api.Need
	FailureDomains []string // failure domains; empty means all
	Tasks          int
}

// AddWaiting counts a waiting task, or takes it out again with -1.
func (g *Group) AddWaiting(task *Task, count int) {
	key := DemandKey{Need: task.Need, FailureDomains: strings.Join(task.Target.FailureDomains, ",")}
	room, ok := g.Demands[key]
	if !ok {
		room = &Demand{Need: task.Need, FailureDomains: task.Target.FailureDomains}
		g.Demands[key] = room
	}
	room.Tasks += count
	if room.Tasks == 0 {
		delete(g.Demands, key)
	}
}

// AdmitsLong reports whether more long work may start in the place.
func (g *Group) AdmitsLong(place string) bool {
	return g.LongLoad[place] < g.Capacity.LongRate[place]
}

// Queue holds the waiting tasks of a group in the order in which they are to start.
type Queue interface {
	// Push adds a task.
	Push(task *Task)
	// Pop removes and returns the next task that fits, or nil.
	Pop(fits func(task *Task) bool) *Task
	// Remove takes a task out, and reports whether it was in the queue.
	Remove(task *Task) bool
	// Len returns how many tasks wait.
	Len() int
}

// Backend is one minion or worker as this host sees it.
type Backend struct {
	Name          string
	Address       string // host:port
	FailureDomain string
	Rack          string
	Group         string
	Role          platform.Role
	Leaving       bool // it gets no new work
	Slots         int  // tasks that it runs at once, for all hosts together
	Connections   int  // that this host may open to it; zero means no bound
	Cores         float64
	Memory        int64 // bytes
	Accelerators  int

	Granted      int       // slots that this host may use now
	GrantedUntil time.Time // when the grant lapses; zero means that it does not
	Busy         int       // slots that this host's tasks hold
	Peak         int       // most slots busy since the lender last looked
	Starts       int       // tasks started here
	Lease        Lease     // of a worker, while this host is its keeper
	LeaseExpiry  time.Time // when the worker's lease lapses under which its slots were lent; zero for minions

	FencingToken int64 // fencing token of the worker's lease; zero for minions

	Share    int // slots that this host can count on while others want theirs; zero when Granted tells
	Recalled int // slots that go back to the keeper when they come free

	Ejected        bool      // it gets no work but probes
	NextProbe      time.Time // when the next probe may start, while ejected
	Probing        bool      // one probe is under way
	RecoveryLimit  int       // most slots used while it comes back after an ejection; zero means no bound
	BackoffUntil   time.Time // it gets no work before this time
	ReservedFor    *Task     // the wide task that its free slots are kept for
	Slowness       float64   // learnt run time against the usual; zero means unknown
	RecentSlowness float64   // Slowness of the last few runs
	SlownessRuns   int       // runs that Slowness was learnt from
	FailureRate    float64   // share of recent starts that failed, 0 to 1
}

// Lease is the right of a keeper to use a worker.
type Lease struct {
	Fence int64     // fencing token; zero when this host has no lease
	Until time.Time // less the margin
}

// Leased reports whether this host may lend the back end's slots: a worker's only under its lease.
func (b *Backend) Leased(now time.Time) bool {
	return b.Role == platform.RoleMinion || (b.Lease.Fence != 0 && now.Before(b.Lease.Until))
}

// Expected returns how many slots this host can count on, those that it would have to borrow among them.
func (b *Backend) Expected(now time.Time) int {
	if b.GrantExpired(now) {
		return b.Share
	}
	return max(b.Granted, b.Share)
}

// Free returns how many more slots this host may use at the back end at the given time.
func (b *Backend) Free(now time.Time) int {
	if b.Leaving || b.GrantExpired(now) || now.Before(b.BackoffUntil) {
		return 0
	}
	granted := b.Granted
	if b.RecoveryLimit > 0 {
		granted = min(granted, b.RecoveryLimit)
	}
	return max(0, granted-b.Busy)
}

// GrantExpired reports whether the grant has run out.
func (b *Backend) GrantExpired(now time.Time) bool {
	return !b.GrantedUntil.IsZero() && !now.Before(b.GrantedUntil)
}

// Width returns how many slots a task takes at the back end; it is larger than Slots when the task can never run there.
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

// roundingSlack keeps floating-point noise from widening a task by a slot.
const roundingSlack = 1e-9

// impossibleShare stands for a need that the back end has nothing of.
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
