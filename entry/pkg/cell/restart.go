package cell

import "time"

// HasRestarted reports whether the worker has started anew under its ID, of which HandleRestart was not told yet.
func (w *Worker) HasRestarted(report *Report) bool {
	return w.incarnation != 0 && report.Incarnation != w.incarnation && report.Incarnation != w.restartedAs
}

// HandleRestart keeps new runs off a worker that has started anew until a report under a raised fencing token arrives.
// The new process knows neither the token nor the stops of before, and a lease on the earlier clock is not past on its own:
// it accepts starts of before that are carried out late, up to the first call with the raised token.
func (c *Cell) HandleRestart(worker *Worker, report *Report, now time.Time) Effects {
	var effects Effects
	c.recordCrash(worker, AnotherIncarnation, now, &effects)
	worker.restartedAs = report.Incarnation
	worker.held = false
	worker.joining = true
	worker.ackedSequence = 0
	for _, run := range worker.listed {
		if run.acceptedAt.IsZero() {
			run.fenced = true
		}
	}
	return effects
}
