package cellhost

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/cell"
)

// stoppingRetry is when to come back with a job that this host could not end before it stops; others can take it at once.
const stoppingRetry = time.Second

// errStopping cancels the jobs that are open when this host stops.
var errStopping = errors.New("this host stops before the job has ended")

// StopAt tells when the open jobs will be abandoned. A job that comes from now on is refused if it could not end before.
func (h *HomeController) StopAt(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopsAt = at
}

// AbandonJobs abandons the open jobs, refuses all that come from now on, and returns the number of the abandoned.
func (h *HomeController) AbandonJobs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	for _, cancel := range h.openJobs {
		cancel(errStopping)
	}
	return len(h.openJobs)
}

// limitToStop returns the submission with a deadline before this host stops, or nil if the job can no longer end by then.
// The caller holds the lock.
func (h *HomeController) limitToStop(submission *Submission) *Submission {
	if h.stopsAt.IsZero() {
		return submission
	}
	latest := h.stopsAt.Add(-answerMargin)
	if !submission.Deadline.After(latest) && !h.stopped {
		return submission
	}
	if h.stopped || h.common.Clock.Now().Add(submission.longestEstimate()).After(latest) {
		return nil
	}
	limited := *submission
	limited.Deadline = latest
	return &limited
}

// refuseStopping answers a job that could not end before this host stops.
func (h *HomeController) refuseStopping(submission *Submission) *cell.Answer {
	countStopping(cell.Refused)
	h.common.Log.WithField("job", submission.ID).WithField("queue", submission.Queue.Name).
		WithField("estimate", submission.longestEstimate().String()).Info("refused a job that cannot end before this host stops")
	return &cell.Answer{Outcome: cell.Refused, Reason: "this host stops before the job could end", RetryAfter: stoppingRetry}
}

// countStopping counts the jobs whose time a stop of their home has cut short.
func countStopping(outcome cell.Outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`chervilusher_cell_stopping_total{outcome=%q}`, outcome)).Inc()
}
