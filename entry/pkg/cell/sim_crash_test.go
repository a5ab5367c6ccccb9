package cell

import (
	"time"

	"github.com/stretchr/testify/require"
)

// simCrashTime is how long a worker is away after a crash.
const simCrashTime = 3 * time.Second

// simCrashes says which tasks crash their workers, and counts starts.
type simCrashes struct {
	crashes    map[string]bool // tasks under which a worker crashes at once
	crashStart StartResult     // what the worker answers to such a start
	starts     map[string]int  // starts that a worker has carried out, by task

	checkIsolation bool            // tasks that were running at a worker when it crashed may only run alone
	alone          map[string]bool // such tasks
}

func newSimCrashes() simCrashes {
	return simCrashes{crashes: map[string]bool{}, starts: map[string]int{}, alone: map[string]bool{}}
}

// begin counts the start of a task at the worker, which crashes if the task is such a one.
func (s *simCrashes) begin(t require.TestingT, task string, sim *simWorker, now time.Time) StartResult {
	s.starts[task]++
	if s.checkIsolation && len(sim.running) > 1 {
		for running := range sim.running {
			require.False(t, s.alone[running.task], "task %s runs beside another task", running.task)
		}
	}
	if !s.crashes[task] {
		return StartAccepted
	}
	for running := range sim.running {
		s.alone[running.task] = true
	}
	sim.down, sim.backAt = true, now.Add(simCrashTime)
	sim.restart(now)
	return s.crashStart
}

// comeBack starts a worker anew that has crashed, once it was away for simCrashTime.
func (w *simWorker) comeBack(now time.Time) {
	if w.down && !w.backAt.IsZero() && !now.Before(w.backAt) {
		w.down, w.backAt = false, time.Time{}
		w.restart(now)
	}
}

// refusesConnections reports whether the worker's process has ended and the keeper can see that.
func (h *harness) refusesConnections(sim *simWorker) bool {
	return sim.down && !sim.unresponsive && !h.unreachable
}

// maxStarts returns how often a task may be started that crashes its workers.
func (s *simCrashes) maxStarts() int {
	if s.crashStart == StartAccepted {
		return maxConfirmedCrashes
	}
	return maxCrashes
}
