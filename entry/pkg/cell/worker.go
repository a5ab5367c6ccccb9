package cell

import "time"

// Worker is a worker as its keeper sees it.
type Worker struct {
	ID            string
	Address       string // host:port
	FailureDomain string
	Rack          string
	Kind          string // workers of one kind are about equally fast
	Group         string
	Capacity      Resources
	Leaving       bool // it has announced that it leaves, and gets no new work

	joining        bool      // its first report is pending
	releasing      bool      // it is handed over to another keeper and gets no new work
	announced      bool      // this incarnation has announced that it leaves
	held           bool      // the keeper's fencing token is in force; set by each report
	unresponsive   bool      // its last call was not answered
	loneRuns       int       // runs that must stay alone
	crashed        bool      // its process is known to have ended since the last report, by a crash or as announced
	reportedAt     time.Time // time of the last report
	polledAt       time.Time // time of the last extra poll
	viewStale      bool      // after a rejected or unanswered start, until the next report
	used           Resources
	runs           map[runKey]*Run
	listed         []*Run              // the same, sorted by task
	unknownRuns    map[runKey]struct{} // runs that this keeper did not start
	unexplained    []*Run              // lapsed while the worker was silent; the next report shows whether it had crashed
	gone           bool                // its process has ended, or it was silent for longer than a lease, since the last report
	goneAt         time.Time           // when its process was last known to have ended
	incarnation    int64
	restartedAs    int64 // incarnation for which HandleRestart was called last
	ackedSequence  int64
	clock          workerClock
	sharing        sharing
	slowness       average // run time over the estimate, adjusted for the queue's mean
	health         health
	cell           *Cell
	startsUntil    time.Time // until then no run limits the lease too much for a new one; afterwards one may
	place          int       // among the cell's workers, as of the latest outlook; negative if it is gone
	lookedAt       int64     // pass of assign for which usableNow holds
	usableNow      bool
	evacuatedSince time.Time // zero unless its failure domain is evacuated
}

type runKey struct {
	task   string
	number int
}

// Run is one execution of a task on a worker.
type Run struct {
	Task   *Task
	Number int
	Worker *Worker

	sentAt       time.Time
	finished     bool      // it has ended, or the keeper has given it up
	acceptedAt   time.Time // when the start was first confirmed
	unconfirmed  bool      // the start was not answered
	stopping     bool      // a stop was sent
	stoppedAt    time.Time // when the last stop was sent
	tombstonedAt time.Time // when a stop was first confirmed, after which a late start is rejected
	fenced       bool      // its start was not confirmed before the worker restarted, and is rejected by the raised token
	expected     time.Duration
	endsAt       time.Time // when it is expected to end unless it is overdue or stopped
	crashed      bool      // the worker has crashed while the run may have been running
	left         bool      // the worker has left, as announced, while the run may have been running
	alone        bool      // it must stay alone at its worker
	shared       sharedRun
}

// RunResult is how a run ended.
type RunResult int

// Results of a run.
const (
	RunDone RunResult = iota
	RunFailed
	RunStopped
	RunLapsed // the worker's lease expired
)

// String returns the result as logs and metrics show it.
func (h RunResult) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed"}[h]
}

// RunEntry identifies a run in a worker's report.
type RunEntry struct {
	Task string
	Run  int
}

// EndedRunEntry is an ended run in a worker's report.
type EndedRunEntry struct {
	Sequence int64 // rises with each end within one incarnation of the worker
	Task     string
	Run      int
	Result   RunResult
}

// Report is the state that a worker reports.
type Report struct {
	Incarnation int64 // its start, in Unix milliseconds
	Clock       time.Duration
	Running     []RunEntry
	Ended       []EndedRunEntry
	Partial     bool // more ends will follow
}

// workerClock relates a worker's monotonic clock to this host's.
type workerClock struct {
	reading     time.Duration // last reading of the worker's clock
	readAt      time.Time     // this host's time of the reading
	latestLease time.Duration // latest lease end that was sent, on the worker's clock
}

const (
	// minClockRate is the minimum rate of a worker's clock against true time; the platform states a deviation of 2 %.
	minClockRate = 0.98
	// lapseMargin covers the time that a worker takes to end runs whose lease has expired.
	lapseMargin = 60 * time.Millisecond
)

// known reports whether the clock was read.
func (c *workerClock) known() bool {
	return !c.readAt.IsZero()
}

// estimate returns the estimated worker's clock at the given time.
func (c *workerClock) estimate(now time.Time) time.Duration {
	return c.reading + now.Sub(c.readAt)
}

// lapsed reports whether every lease that was sent has certainly expired.
func (c *workerClock) lapsed(now time.Time) bool {
	if !c.known() {
		return true
	}
	return c.least(now) > c.latestLease+lapseMargin
}

// least returns the reading that the worker's clock has reached by the given time, however slow it is.
func (c *workerClock) least(at time.Time) time.Duration {
	return c.reading + time.Duration(minClockRate*float64(at.Sub(c.readAt)))
}

// free returns the resources that no run holds; negative after the capacity has shrunk below what is in use.
func (w *Worker) free() Resources {
	return w.Capacity.Minus(w.used)
}

// usable reports whether new runs may start on the worker.
func (w *Worker) usable(now time.Time) bool {
	return w.unusableReason(now) == reasonNone
}

// unusableReason returns why no new run may start on the worker.
func (w *Worker) unusableReason(now time.Time) UnusableReason {
	switch {
	case w.Leaving, w.releasing:
		return reasonLeaving
	case !w.held:
		return reasonNotHeld
	case w.unresponsive:
		return reasonUnresponsive
	case len(w.unknownRuns) > 0:
		return reasonUnknownRuns
	case w.viewStale:
		return reasonUnconfirmedStart
	case w.health.ejected(now):
		return reasonFailing
	case w.isLeaseShort(now):
		return reasonShortLease
	case w.hasLoneRun():
		return reasonLoneRun
	case w.evacuated(): // last, since usableFor makes an exception to it
		return reasonEvacuated
	default:
		return reasonNone
	}
}

// isExpected reports whether the worker is to take new jobs: it is not evacuated, and the keeper holds it or awaits its
// first report.
func (w *Worker) isExpected() bool {
	return (w.held || w.joining) && !w.evacuated()
}

// Held reports whether the keeper may start tasks on the worker.
func (w *Worker) Held() bool {
	return w.held
}

// Unresponsive reports whether the last waiting call to the worker was not answered; it gets no work until it answers
// again.
func (w *Worker) Unresponsive() bool {
	return w.unresponsive
}

// Idle reports whether the worker has no known runs.
func (w *Worker) Idle() bool {
	return len(w.runs) == 0 && len(w.unknownRuns) == 0
}

// AckedSequence returns the sequence number of the last end that was processed, or zero after a call without an answer: the
// worker may have started anew since, and would forget ends of that life.
func (w *Worker) AckedSequence() int64 {
	if w.unresponsive {
		return 0
	}
	return w.ackedSequence
}

// HasUnknownRuns reports whether the worker has runs that this keeper did not start.
func (w *Worker) HasUnknownRuns() bool {
	return len(w.unknownRuns) > 0
}

// Fenced reports whether the start must not be sent any more, since the worker has restarted since it was decided.
func (r *Run) Fenced() bool {
	return r.fenced
}

// Finished reports whether the run has ended or was given up.
func (r *Run) Finished() bool {
	return r.finished
}

// Unconfirmed reports whether it is unknown if the run has begun.
func (r *Run) Unconfirmed() bool {
	return r.unconfirmed && !r.finished
}
