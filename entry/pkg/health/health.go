package health

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
)

var (
	ejectionsTotal      = metrics.NewCounter(`chervilusher_ejections_total`)
	pausesTotal         = metrics.NewCounter(`chervilusher_pauses_total`)
	retriesTotal        = metrics.NewCounter(`chervilusher_retries_total`)
	retriesRefusedTotal = metrics.NewCounter(`chervilusher_retries_refused_total`)
)

// Delays before the next probe of an ejected back end; each failed probe doubles the delay.
const (
	minProbeDelay = time.Second
	maxProbeDelay = time.Minute
)

// Back-off times of a back end that rejected a start for lack of slots, or that fails and may not be ejected;
// each repetition doubles the time.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// ejectionMemory is how long a back end must stay in use for its past ejections no longer to count.
const ejectionMemory = time.Minute

// Health ejects back ends that fail more than the rest of their group, and keeps a retry budget for each group.
type Health struct {
	retryShare      float64 // maximum retries, as a share of starts
	maxEjectedShare float64 // maximum ejected back ends, as a share of a group
	groups          map[*blackboard.Group]*groupState
}

// groupState is the health state of one group.
type groupState struct {
	budget     *retryBudget
	total      outcomeCounts
	records    map[*blackboard.Backend]*backendRecord
	ejected    int
	backingOff map[*blackboard.Backend]struct{}
}

// backendRecord is the health state of one back end.
type backendRecord struct {
	rate       outcomeCounts
	probeDelay time.Duration // delay before the next probe
	backoff    time.Duration // delay before the next start
	successes  int           // successes since RecoveryLimit was last raised
	returnedAt time.Time     // time at which its last ejection ended
}

// New returns a health policy that limits retries to the given share of starts,
// and ejected back ends to the given share of a group.
func New(retries, eject float64) *Health {
	return &Health{retryShare: retries, maxEjectedShare: eject, groups: map[*blackboard.Group]*groupState{}}
}

// ObserveStart adds to the group's retry budget.
func (h *Health) ObserveStart(group *blackboard.Group) {
	h.stateOf(group).budget.earn(h.retryShare)
}

// TakeRetry spends retry budget on one retry and reports whether any was left.
func (h *Health) TakeRetry(group *blackboard.Group) bool {
	if !h.stateOf(group).budget.take() {
		retriesRefusedTotal.Inc()
		return false
	}
	retriesTotal.Inc()
	return true
}

// Observe records the outcome of a start.
func (h *Health) Observe(group *blackboard.Group, backend *blackboard.Backend, outcome dispatch.Outcome, now time.Time) {
	state := h.stateOf(group)
	record := state.recordOf(backend)
	switch {
	case outcome.Stopped, outcome.BadPayload: // neither says anything about the back end
		backend.Probing = false
	case outcome.Busy:
		backend.Probing = false
		state.backOff(backend, record, now)
	default:
		h.observe(group, state, backend, record, outcome.Verdict != dispatch.VerdictDone, now)
	}
}

func (h *Health) observe(group *blackboard.Group, state *groupState, backend *blackboard.Backend, record *backendRecord, failed bool, now time.Time) {
	state.total.add(failed, now)
	record.rate.add(failed, now)
	backend.FailureRate = failureRate(record.rate)
	switch {
	case backend.Ejected:
		state.observeProbe(backend, record, failed, now)
	case !failed:
		record.backoff = 0
		state.observeSuccess(backend, record)
	case backend.RecoveryLimit > 0:
		h.ejectOrBackOff(group, state, backend, record, now)
	case record.rate.worseThan(state.otherOutcomes(record.rate, now)):
		h.ejectOrBackOff(group, state, backend, record, now)
	}
}

// failureRate returns the share of failures, with one success assumed so that a single failure does not give 1.
func failureRate(counts outcomeCounts) float64 {
	return counts.failed / (counts.ended + 1)
}

func (s *groupState) otherOutcomes(own outcomeCounts, now time.Time) outcomeCounts {
	s.total.decay(now)
	return s.total.subtract(own)
}

// ejectOrBackOff ejects the back end, or backs off from it if the group has no ejections left.
func (h *Health) ejectOrBackOff(group *blackboard.Group, state *groupState, backend *blackboard.Backend, record *backendRecord, now time.Time) {
	state.recount(group)
	if state.ejected+1 > int(h.maxEjectedShare*float64(len(group.Backends))) {
		state.backOff(backend, record, now)
		return
	}
	if now.Sub(record.returnedAt) > ejectionMemory {
		record.probeDelay = 0
	}
	state.ejected++
	backend.Ejected = true
	backend.Probing = false
	backend.RecoveryLimit = 0
	record.delayProbe(backend, now)
	ejectionsTotal.Inc()
}

// recount counts the ejected back ends and drops records of those that left the group.
func (s *groupState) recount(group *blackboard.Group) {
	s.ejected = 0
	for backend := range s.records {
		if group.Backends[backend.Name] != backend {
			delete(s.records, backend)
			delete(s.backingOff, backend)
			continue
		}
		if backend.Ejected {
			s.ejected++
		}
	}
}

// delayProbe schedules the next probe with exponential back-off.
func (r *backendRecord) delayProbe(backend *blackboard.Backend, now time.Time) {
	r.probeDelay = min(max(2*r.probeDelay, minProbeDelay), maxProbeDelay)
	backend.NextProbe = now.Add(r.probeDelay)
}

// observeProbe processes the outcome of a probe; outcomes of starts from before the ejection are ignored.
func (s *groupState) observeProbe(backend *blackboard.Backend, record *backendRecord, failed bool, now time.Time) {
	if !backend.Probing {
		return
	}
	backend.Probing = false
	if failed {
		record.delayProbe(backend, now)
		return
	}
	s.ejected--
	backend.Ejected = false
	backend.RecoveryLimit = 1
	backend.FailureRate = 0
	record.rate = outcomeCounts{}
	record.successes = 0
	record.returnedAt = now
}

// observeSuccess doubles the slots of a recovering back end each time that all of them have succeeded.
func (s *groupState) observeSuccess(backend *blackboard.Backend, record *backendRecord) {
	if backend.RecoveryLimit == 0 {
		return
	}
	if record.successes++; record.successes < backend.RecoveryLimit {
		return
	}
	record.successes = 0
	backend.RecoveryLimit *= 2
	if backend.RecoveryLimit >= backend.Slots {
		backend.RecoveryLimit = 0
	}
}

// backOff keeps tasks from the back end for an exponentially growing time.
func (s *groupState) backOff(backend *blackboard.Backend, record *backendRecord, now time.Time) {
	if now.Before(backend.BackoffUntil) {
		return
	}
	record.backoff = min(max(2*record.backoff, minBackoff), maxBackoff)
	backend.BackoffUntil = now.Add(record.backoff)
	s.backingOff[backend] = struct{}{}
	pausesTotal.Inc()
}

// Tick returns the back ends whose back-off has ended.
func (h *Health) Tick(group *blackboard.Group, now time.Time) []*blackboard.Backend {
	state := h.stateOf(group)
	if len(state.records) > 2*len(group.Backends) {
		state.recount(group)
	}
	if len(state.backingOff) == 0 {
		return nil
	}
	changed := make([]*blackboard.Backend, 0, len(state.backingOff))
	for backend := range state.backingOff {
		if now.Before(backend.BackoffUntil) {
			continue
		}
		delete(state.backingOff, backend)
		changed = append(changed, backend)
	}
	return changed
}

func (h *Health) stateOf(group *blackboard.Group) *groupState {
	state, ok := h.groups[group]
	if !ok {
		state = &groupState{
			budget:     newRetryBudget(),
			records:    map[*blackboard.Backend]*backendRecord{},
			backingOff: map[*blackboard.Backend]struct{}{},
		}
		h.groups[group] = state
	}
	return state
}

func (s *groupState) recordOf(backend *blackboard.Backend) *backendRecord {
	record, ok := s.records[backend]
	if !ok {
		record = &backendRecord{}
		s.records[backend] = record
	}
	return record
}
