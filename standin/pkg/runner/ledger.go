package runner

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Ledger notes what runs at all runners and what is broken by it.
type Ledger struct {
	mu       sync.Mutex
	running  map[string]map[string]int // runs of a task, by the runner
	starts   map[string]int            // by job
	startsAt map[string]int            // by runner
	crashes  map[string]int            // by task: runners that crashed while it ran there
	after    map[string]int            // by task: starts after crashBudget crashes
	breaches []string
}

const (
	// crashBudget is how many runners a task may crash before its starts are counted.
	crashBudget = 3
	// startBudget is how many starts after that are one too many.
	startBudget = 3
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		running: map[string]map[string]int{}, starts: map[string]int{}, startsAt: map[string]int{},
		crashes: map[string]int{}, after: map[string]int{},
	}
}

func (l *Ledger) begin(runner, job, task string, run int, at time.Time) {
	l.beginLate(runner, job, task, run, at)
	l.countStart(task, at)
}

// beginLate is begin for a start that was ordered in an earlier life of the runner, which its caller cannot prevent.
func (l *Ledger) beginLate(runner, job, task string, run int, at time.Time) {
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

// countStart counts a start against the crashes under its task.
func (l *Ledger) countStart(task string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashes[task] >= crashBudget {
		l.after[task]++
	}
	if l.after[task] == startBudget {
		l.breaches = append(l.breaches, fmt.Sprintf("%s task %s has started %d times after %d runners had crashed under it",
			at.Format(time.RFC3339Nano), task, startBudget, l.crashes[task]))
	}
}

// crash notes that the runner has crashed while the task ran there.
func (l *Ledger) crash(runner, task string) {
	l.mu.Lock()
	l.crashes[task]++
	l.mu.Unlock()
	l.end(runner, task)
}

// Crashes returns how many runs were lost in crashes.
func (l *Ledger) Crashes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := 0
	for _, count := range l.crashes {
		lost += count
	}
	return lost
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

// RunningOf returns the tasks of a job that run, each with its runners.
func (l *Ledger) RunningOf(job string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var running []string
	for task, runners := range l.running {
		if of, _, _ := strings.Cut(task, "."); of == job {
			running = append(running, fmt.Sprintf("%s at %v", task, slices.Sorted(maps.Keys(runners))))
		}
	}
	return running
}

// Running returns how many tasks run.
func (l *Ledger) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running)
}
