package task

import (
	"encoding/json"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"chervilusher.dev/lib/platform"
)

// DefaultLedgerSize is how many tasks a ledger remembers if the settings name no number.
const DefaultLedgerSize = 10_000

// Counters counts what a minion or worker did since its start.
type Counters struct {
	Starts     int64 `json:"starts"`
	Duplicates int64 `json:"duplicates"` // starts of a task that had been started before
	Answered   int64 `json:"answered"`
	Lost       int64 `json:"lost"`    // answers dropped by a fault
	Refused    int64 `json:"refused"` // starts that were turned down
	Stopped    int64 `json:"stopped"`
	Running    int64 `json:"running"`
}

// Add returns the sum of both counters.
func (c Counters) Add(other Counters) Counters {
	return Counters{
		Starts:     c.Starts + other.Starts,
		Duplicates: c.Duplicates + other.Duplicates,
		Answered:   c.Answered + other.Answered,
		Lost:       c.Lost + other.Lost,
		Refused:    c.Refused + other.Refused,
		Stopped:    c.Stopped + other.Stopped,
		Running:    c.Running + other.Running,
	}
}

// Plan is how one start of a task goes.
type Plan struct {
	Length time.Duration // run time at full share
	Value  json.RawMessage
	Fail   string
	Hang   bool   // never ends by itself
	Free   func() // called once when the run ends
	Mark   string // starts are counted by it, unless it is empty
}

// Ledger remembers the latest tasks of one minion or worker, and those that must never start.
type Ledger struct {
	clock clockwork.Clock
	size  int

	mu     sync.Mutex
	known  map[string]*Run // nil for a tombstone
	order  []string        // a ring of the known identifiers, oldest at next
	next   int
	marks  map[string]int64
	starts atomic.Int64
	twice  atomic.Int64
	ended  atomic.Int64
	stops  atomic.Int64
}

// New returns a ledger that remembers size tasks; zero means DefaultLedgerSize.
func New(clock clockwork.Clock, size int) *Ledger {
	if size <= 0 {
		size = DefaultLedgerSize
	}
	return &Ledger{clock: clock, size: size, known: map[string]*Run{}, marks: map[string]int64{}}
}

// Start runs a task by the plan; false means that a tombstone forbids it.
func (l *Ledger) Start(id string, plan Plan) (*Run, bool) {
	run := &Run{
		clock: l.clock,
		id:    id,
		value: plan.Value,
		fail:  plan.Fail,
		done:  make(chan struct{}),
		state: platform.TaskRunning,
		left:  plan.Length,
		share: 1,
	}
	run.onEnd = func(ended *Run) {
		l.ended.Add(1)
		if ended.Status().State == platform.TaskStopped {
			l.stops.Add(1)
		}
		plan.Free()
	}
	if !l.record(id, run, plan.Mark) {
		return nil, false
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	if !plan.Hang && run.state == platform.TaskRunning {
		run.resume()
	}
	return run, true
}

// record remembers the run and counts it, unless a tombstone stands.
func (l *Ledger) record(id string, run *Run, mark string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	earlier, known := l.known[id]
	if known && earlier == nil {
		return false
	}
	l.starts.Add(1)
	if mark != "" {
		l.marks[mark]++
	}
	if known {
		l.twice.Add(1)
	}
	l.remember(id, run, known)
	return true
}

// Find returns the latest run of a task, or nil.
func (l *Ledger) Find(id string) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known[id]
}

// Status returns what is known of a task.
func (l *Ledger) Status(id string) platform.TaskStatus {
	run := l.Find(id)
	if run == nil {
		return platform.TaskStatus{Task: id, State: platform.TaskAbsent}
	}
	return run.Status()
}

// Bury stops a running task, or leaves a tombstone so that an absent one never starts.
func (l *Ledger) Bury(id string) platform.TaskStatus {
	l.mu.Lock()
	run, known := l.known[id]
	if !known {
		l.remember(id, nil, false)
	}
	l.mu.Unlock()
	if run != nil {
		run.Stop()
	}
	return l.Status(id)
}

// Release stops every task that still runs.
func (l *Ledger) Release() {
	l.mu.Lock()
	runs := make([]*Run, 0, len(l.known))
	for _, run := range l.known {
		if run != nil {
			runs = append(runs, run)
		}
	}
	l.mu.Unlock()
	for _, run := range runs {
		run.Stop()
	}
}

// Marks returns how often each mark was started.
func (l *Ledger) Marks() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.marks)
}

// Counters returns the starts, duplicates, stops and running tasks; the other fields are its user's.
func (l *Ledger) Counters() Counters {
	starts := l.starts.Load()
	return Counters{
		Starts:     starts,
		Duplicates: l.twice.Load(),
		Stopped:    l.stops.Load(),
		Running:    starts - l.ended.Load(),
	}
}

// remember notes an identifier and forgets the oldest one when full; the caller holds the lock.
func (l *Ledger) remember(id string, run *Run, known bool) {
	l.known[id] = run
	if known {
		return
	}
	if len(l.order) < l.size {
		l.order = append(l.order, id)
		return
	}
	delete(l.known, l.order[l.next])
	l.order[l.next] = id
	l.next = (l.next + 1) % l.size
}
