package cell

import "time"

// Worker is one worker as its keeper sees it.
type Worker struct {
	ID            string
	Address       string // host:port
	FailureDomain string
	Rack          string
	Kind          string // workers of one kind are about equally fast
	Group         string
	Capacity      Resources
	Leaving       bool // it gets no new work

	joining  bool      // its first report is awaited
	held     bool      // the keeper's token is in force and nothing unknown runs there
	silent   bool      // its last call was not answered
	reported time.Time // when its last report came
	looked   time.Time // when a look was last asked for
	stale    bool      // it has rejected a start or not answered one, so that what is known of it may be wrong until its next report
	used     Resources
	runs     map[runKey]*Run
	foreign  map[runKey]struct{} // runs that the keeper knows nothing of
	born     int64
	acked    int64
	clock    workerClock
	slowness average // run time against the estimate, and against the queue's usual
	health   health
	doubted  map[string]bool // the cell's homes that were not heard lately
}

type runKey struct {
	task   string
	number int
}

// Run is one start of a task at a worker.
type Run struct {
	Task   *Task
	Number int
	Worker *Worker

	sent     time.Time
	over     bool      // it has ended, or the keeper has given it up
	taken    time.Time // when the worker's answer to the start came
	unsure   bool      // the start was not answered
	stopping bool      // a stop was sent
	stopped  time.Time // when the last stop was sent
	buried   time.Time // when a stop was first answered
	expected time.Duration
}

// RunResult tells how a run ended.
type RunResult int

// Ends of a run.
const (
	RunDone RunResult = iota
	RunFailed
	RunStopped
	RunLapsed // the worker's lease ran out
)

// String returns the end as logs and metrics name it.
func (h RunResult) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed"}[h]
}

// RunEntry names a run in a worker's list.
type RunEntry struct {
	Task string
	Run  int
}

// EndedRunEntry is an ended run in a worker's list.
type EndedRunEntry struct {
	Sequence int64 // rises with each end of one life of the worker
	Task     string
	Run      int
	Result   RunResult
}

// Report is what a worker tells of itself.
type Report struct {
	Incarnation int64 // start of its present life, in Unix milliseconds
	Clock       time.Duration
	Running     []RunEntry
	Ended       []EndedRunEntry
	Partial     bool // more ends are to come
}

// workerClock relates a worker's steady clock to this host's.
type workerClock struct {
	read    time.Duration // the worker's clock
	at      time.Time     // when the call that read it was sent
	longest time.Duration // latest lease end that was sent, on the worker's clock
}

const (
	// slowestClock is how slow a worker's clock may be against true time; the platform states 2 %.
	slowestClock = 0.98
	// lapseMargin covers the time that a worker takes to end what has lapsed.
	lapseMargin = 60 * time.Millisecond
)

// known reports whether the clock was read.
func (c *workerClock) known() bool {
	return !c.at.IsZero()
}

// estimate returns the worker's clock at a time.
func (c *workerClock) estimate(now time.Time) time.Duration {
	return c.read + now.Sub(c.at)
}

// lapsed reports whether every lease that was sent has run out for certain.
func (c *workerClock) lapsed(now time.Time) bool {
	if !c.known() {
		return true
	}
	least := c.read + time.Duration(slowestClock*float64(now.Sub(c.at)))
	return least > c.longest+lapseMargin
}

// free returns the room that no run holds.
func (w *Worker) free() Resources {
	return w.Capacity.Minus(w.used)
}

// usable reports whether new runs may start at the worker.
func (w *Worker) usable(now time.Time) bool {
	return w.outOfUse(now) == inUse
}

// outOfUse returns why no new run may start at the worker.
func (w *Worker) outOfUse(now time.Time) UnusableReason {
	switch {
	case w.Leaving:
		return usedNoMore
	case !w.held:
		return notHeld
	case w.silent:
		return unanswered
	case len(w.foreign) > 0:
		return unknownRuns
	case w.stale:
		return unsureStart
	case w.health.paused(now):
		return failing
	case w.isDoubted():
		return homeUnheard
	default:
		return inUse
	}
}

// isPromising reports whether the worker is in use, or will be as far as is known.
func (w *Worker) isPromising() bool {
	return w.held || w.joining
}

// isDoubted reports whether a home may be gone of which something runs here; a lease is the worker's as a whole, so each
// renewal would keep that alive too.
func (w *Worker) isDoubted() bool {
	if len(w.doubted) == 0 {
		return false
	}
	for _, run := range w.runs {
		if w.doubted[run.Task.Job.Home] {
			return true
		}
	}
	return false
}

// Held reports whether the keeper may start tasks there.
func (w *Worker) Held() bool {
	return w.held
}

// Unresponsive reports whether the last call that waited for the worker was not answered; it gets no work before it answers again.
func (w *Worker) Unresponsive() bool {
	return w.silent
}

// Idle reports whether nothing that the keeper knows of runs there.
func (w *Worker) Idle() bool {
	return len(w.runs) == 0 && len(w.foreign) == 0
}

// AckedSequence returns the number of the last end that was taken in.
func (w *Worker) AckedSequence() int64 {
	return w.acked
}

// Lease returns the lease's end on the worker's clock that a call sent now should carry, or false while nothing may be extended.
func (w *Worker) Lease(now time.Time, length time.Duration) (time.Duration, bool) {
	if !w.clock.known() || len(w.foreign) > 0 || w.isDoubted() {
		return 0, false
	}
	end := w.clock.estimate(now) + length
	w.clock.longest = max(w.clock.longest, end)
	return end, true
}

// HasUnknownRuns reports whether something runs there that the keeper did not start.
func (w *Worker) HasUnknownRuns() bool {
	return len(w.foreign) > 0
}

// Finished reports whether the run has ended, or was given up.
func (r *Run) Finished() bool {
	return r.over
}

// Unconfirmed reports whether it is not known if the run has begun.
func (r *Run) Unconfirmed() bool {
	return r.unsure && !r.over
}
