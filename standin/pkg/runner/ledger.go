package runner

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Ledger notes what runs at all runners and what is broken by it.
type Ledger struct {
	mu       sync.Mutex
	running  map[string]map[string]int // runs of a task, by the runner
	starts   map[string]int            // by job
	startsAt map[string]int            // by runner
	breaches []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{running: map[string]map[string]int{}, starts: map[string]int{}, startsAt: map[string]int{}}
}

func (l *Ledger) begin(runner, job, task string, run int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, number := range l.running[task] {
		l.breaches = append(l.breaches, fmt.Sprintf("%s task %s runs twice: run %d at %s and run %d at %s", at.Format(time.RFC3339Nano), task, run, runner, number, other))
	}
	if l.running[task] == nil {
		l.running[task] = map[string]int{}
	}
	l.running[task][runner] = run
	l.starts[job]++
	l.startsAt[runner]++
}

func (l *Ledger) end(runner, task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running[task], runner)
	if len(l.running[task]) == 0 {
		delete(l.running, task)
	}
}

func (l *Ledger) breach(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaches = append(l.breaches, fmt.Sprintf(format, values...))
}

// Breaches returns what was broken so far.
func (l *Ledger) Breaches() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.breaches)
}

// Starts returns how many tasks of a job have begun.
func (l *Ledger) Starts(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[job]
}

// StartsAt returns how many tasks have begun at a runner.
func (l *Ledger) StartsAt(runner string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startsAt[runner]
}

// Running returns how many tasks run.
func (l *Ledger) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running)
}
