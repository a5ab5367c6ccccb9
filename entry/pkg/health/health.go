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
	firstProbeDelay = time.Second
	lastProbeDelay  = time.Minute
)

// Delays before the next start at a back end that had no room, or that fails and may not be ejected; each repetition doubles the delay.
const (
	firstPause = 20 * time.Millisecond
	lastPause  = time.Second
)

// forgetAfter is how long a back end that came back must do well until its past ejections no longer count.
const forgetAfter = time.Minute

// Health ejects back ends that fail more than the rest of their group, and keeps a retry budget for each group.
type Health struct {
	retries float64 // share of starts
	eject   float64 // share of a group
	groups  map[*blackboard.Group]*state
}

// state is what is known of one group.
type state struct {
	budget  *budget
	all     rate
	records map[*blackboard.Backend]*record
	ejected int
	paused  map[*blackboard.Backend]struct{}
}

// record is what is known of one back end.
type record struct {
	rate     rate
	delay    time.Duration // before the next probe
	pause    time.Duration // before the next start
	passed   int           // successes in a row at the present Limit
	returned time.Time     // when its last ejection ended
}

// New returns a health policy that lets retries be at most the given share of starts, and ejects at most the given share of a group.
func New(retries, eject float64) *Health {
	return &Health{retries: retries, eject: eject, groups: map[*blackboard.Group]*state{}}
}

// ObserveStart earns retry budget.
func (h *Health) ObserveStart(group *blackboard.Group) {
	h.state(group).budget.earn(h.retries)
}

// TakeRetry spends retry budget for one more start, and reports whether there was any.
func (h *Health) TakeRetry(group *blackboard.Group) bool {
	if !h.state(group).budget.take() {
		retriesRefusedTotal.Inc()
		return false
	}
	retriesTotal.Inc()
	return true
}

// Observe takes in how a start ended.
func (h *Health) Observe(group *blackboard.Group, backend *blackboard.Backend, outcome dispatch.Outcome, now time.Time) {
	state := h.state(group)
	record := state.record(backend)
	switch {
	case outcome.Stopped:
		backend.Probing = false
	case outcome.Busy:
		backend.Probing = false
		state.pauseFor(backend, record, now)
	default:
		h.observe(group, state, backend, record, outcome.Verdict != dispatch.VerdictDone, now)
	}
}

func (h *Health) observe(group *blackboard.Group, state *state, backend *blackboard.Backend, record *record, failed bool, now time.Time) {
	state.all.add(failed, now)
	record.rate.add(failed, now)
	backend.FailureRate = failing(record.rate)
	switch {
	case backend.Ejected:
		state.probed(backend, record, failed, now)
	case !failed:
		record.pause = 0
		state.passed(backend, record)
	case backend.RecoveryLimit > 0:
		h.ejectOrPause(group, state, backend, record, now)
	case record.rate.worseThan(state.others(record.rate, now)):
		h.ejectOrPause(group, state, backend, record, now)
	}
}

// failing returns the share of failures, with one success assumed so that a single failure does not count as all.
func failing(counts rate) float64 {
	return counts.failed / (counts.ended + 1)
}

func (s *state) others(one rate, now time.Time) rate {
	s.all.fade(now)
	return s.all.without(one)
}

// ejectOrPause takes the back end out, or slows it down where the group has lost as many as it may.
func (h *Health) ejectOrPause(group *blackboard.Group, state *state, backend *blackboard.Backend, record *record, now time.Time) {
	state.recount(group)
	if state.ejected+1 > int(h.eject*float64(len(group.Backends))) {
		state.pauseFor(backend, record, now)
		return
	}
	if now.Sub(record.returned) > forgetAfter {
		record.delay = 0
	}
	state.ejected++
	backend.Ejected = true
	backend.Probing = false
	backend.RecoveryLimit = 0
	record.putOff(backend, now)
	ejectionsTotal.Inc()
}

// recount drops back ends that left the group.
func (s *state) recount(group *blackboard.Group) {
	s.ejected = 0
	for backend := range s.records {
		if group.Backends[backend.Name] != backend {
			delete(s.records, backend)
			delete(s.paused, backend)
			continue
		}
		if backend.Ejected {
			s.ejected++
		}
	}
}

// putOff sets the time of the next probe after a growing delay.
func (r *record) putOff(backend *blackboard.Backend, now time.Time) {
	r.delay = min(max(2*r.delay, firstProbeDelay), lastProbeDelay)
	backend.NextProbe = now.Add(r.delay)
}

// probed takes in the outcome of a probe; those of starts from before the ejection change nothing.
func (s *state) probed(backend *blackboard.Backend, record *record, failed bool, now time.Time) {
	if !backend.Probing {
		return
	}
	backend.Probing = false
	if failed {
		record.putOff(backend, now)
		return
	}
	s.ejected--
	backend.Ejected = false
	backend.RecoveryLimit = 1
	backend.FailureRate = 0
	record.rate = rate{}
	record.passed = 0
	record.returned = now
}

// passed doubles the slots of a back end that comes back each time that all of them have done well.
func (s *state) passed(backend *blackboard.Backend, record *record) {
	if backend.RecoveryLimit == 0 {
		return
	}
	if record.passed++; record.passed < backend.RecoveryLimit {
		return
	}
	record.passed = 0
	backend.RecoveryLimit *= 2
	if backend.RecoveryLimit >= backend.Slots {
		backend.RecoveryLimit = 0
	}
}

// pauseFor keeps work from the back end for a growing time.
func (s *state) pauseFor(backend *blackboard.Backend, record *record, now time.Time) {
	if now.Before(backend.BackoffUntil) {
		return
	}
	record.pause = min(max(2*record.pause, firstPause), lastPause)
	backend.BackoffUntil = now.Add(record.pause)
	s.paused[backend] = struct{}{}
	pausesTotal.Inc()
}

// Tick returns the back ends whose pause has ended.
func (h *Health) Tick(group *blackboard.Group, now time.Time) []*blackboard.Backend {
	state := h.state(group)
	if len(state.records) > 2*len(group.Backends) {
		state.recount(group)
	}
	if len(state.paused) == 0 {
		return nil
	}
	changed := make([]*blackboard.Backend, 0, len(state.paused))
	for backend := range state.paused {
		if now.Before(backend.BackoffUntil) {
			continue
		}
		delete(state.paused, backend)
		changed = append(changed, backend)
	}
	return changed
}

func (h *Health) state(group *blackboard.Group) *state {
	found, ok := h.groups[group]
	if !ok {
		found = &state{
			budget:  newBudget(),
			records: map[*blackboard.Backend]*record{},
			paused:  map[*blackboard.Backend]struct{}{},
		}
		h.groups[group] = found
	}
	return found
}

func (s *state) record(backend *blackboard.Backend) *record {
	found, ok := s.records[backend]
	if !ok {
		found = &record{}
		s.records[backend] = found
	}
	return found
}
