package cell

import "time"

// CrashEvidence is how a keeper learnt that the process of a worker has ended.
type CrashEvidence string

// Kinds of evidence, as logs show them. Silence, timeouts and connections that break are none: workers that are cut off
// or slow show the same.
const (
	ConnectionRefused  CrashEvidence = "connection refused"
	AnotherIncarnation CrashEvidence = "another incarnation"
)

// CrashedWorker describes a worker whose process has ended, for the log.
type CrashedWorker struct {
	Worker   string
	Evidence CrashEvidence
	Tasks    []string // that may have been running
}

// HandleCrash records evidence that the process of an unresponsive worker has ended. Its runs stay accounted for until
// their lease has lapsed, since a network may refuse connections as well.
func (c *Cell) HandleCrash(worker *Worker, evidence CrashEvidence, _ time.Time) Effects {
	var effects Effects
	c.recordCrash(worker, evidence, &effects)
	return effects
}

// recordCrash marks the runs at the worker, once for each incarnation of it.
func (c *Cell) recordCrash(worker *Worker, evidence CrashEvidence, effects *Effects) {
	if !worker.held || worker.crashed {
		return
	}
	worker.crashed = true
	crashed := CrashedWorker{Worker: worker.ID, Evidence: evidence}
	for _, run := range worker.sortedRuns() {
		run.crashed = true
		crashed.Tasks = append(crashed.Tasks, run.Task.Name)
	}
	effects.Crashes = append(effects.Crashes, crashed)
}

// resultName returns the result of the run as logs show it.
func (r *Run) resultName(result RunResult) string {
	if r.crashed && result == RunLapsed {
		return "crashed"
	}
	return result.String()
}
