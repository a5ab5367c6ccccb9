package controllers

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

// The checks use a fixed seed unless the command line sets the seed or the number of checks.
func TestMain(m *testing.M) {
	flag.Parse()
	checks, seed := flag.Lookup("rapid.checks"), flag.Lookup("rapid.seed")
	if checks.Value.String() == checks.DefValue && seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20261204")
		_ = checks.Value.Set("200")
		_ = flag.Set("rapid.steps", "1500")
	}
	os.Exit(m.Run())
}

// simStart is a start on its way to a back end, running there, or with its answer on the way back.
type simStart struct {
	home      *simHost
	start     dispatch.Start
	backend   *simBackend
	arrived   bool
	delivered bool // the home no longer waits for its outcome
}

// simSubmission is one submission as its caller knows it.
type simSubmission struct {
	request  *peer.SubmitRequest
	marks    []string
	notRun   bool
	complete *api.Answer
}

// simulation is a set of hosts, back ends and callers; each event is one drawn step.
type simulation struct {
	clock       *clockwork.FakeClock
	hosts       []*simHost
	backends    []*simBackend
	inFlight    []*simStart
	submissions []*simSubmission
	partitioned map[string]bool // pairs of names that cannot reach each other
	starts      map[string]int
	serial      int
	seen        map[string]int // counts of events in all checks
}

func newSimulation() *simulation {
	sim := &simulation{clock: clockwork.NewFakeClock(), partitioned: map[string]bool{}, starts: map[string]int{}}
	for i := range 3 {
		domain := []string{"x", "x", "y"}[i]
		sim.backends = append(sim.backends,
			newSimBackend(platform.Host{Name: fmt.Sprintf("m%d", i), Group: "minions", Role: platform.RoleMinion, Place: domain, Slots: 3}),
			newSimBackend(platform.Host{Name: fmt.Sprintf("w%d", i), Group: "workers", Role: platform.RoleWorker, Place: domain, Slots: 3, Cores: 3}),
		)
	}
	for i := range 3 {
		sim.hosts = append(sim.hosts, sim.boot(fmt.Sprintf("h%d", i), []string{"x", "x", "y"}[i]))
	}
	return sim
}

func (sim *simulation) boot(name, domain string) *simHost {
	sim.serial++
	host := newSimHost(name, domain, sim.serial, sim.clock)
	host.updateBackends(sim.backends)
	return host
}

func (sim *simulation) connected(from, to string) bool {
	return from == to || !sim.partitioned[from+"/"+to] && !sim.partitioned[to+"/"+from]
}

// call passes a call through a host to its home, as the routing controller does; nil means no answer.
func (sim *simulation) call(through *simHost, identity *peer.Identity, digest uint64, call func(home *simHost) *api.Answer) *api.Answer {
	if through.dead || through.paused {
		return nil
	}
	answer := unreachable("cut")
	for _, host := range sim.hosts {
		if host.name == identity.Host && !host.dead && !host.paused && sim.connected(through.name, host.name) {
			answer = call(host)
		}
	}
	noAnswer := answer.Code == api.CodeUnavailable && answer.Ran == api.RanUnknown
	if !noAnswer && answer.Code != api.CodeHomeLost {
		return answer
	}
	for _, host := range sim.hosts {
		if host.dead || host.paused || !sim.connected(through.name, host.name) {
			continue
		}
		if stored := host.handovers.answerFor(&peer.RecordRequest{Identity: *identity, Digest: digest}); stored.Known {
			return &stored.Answer
		}
	}
	return answer
}

func (sim *simulation) submit(through *simHost, s *simSubmission) {
	s.check(sim, sim.call(through, &s.request.Identity, s.request.Digest, func(home *simHost) *api.Answer {
		return home.submit(s.request)
	}))
}

// check compares an answer with all earlier answers of the submission.
func (s *simSubmission) check(sim *simulation, answer *api.Answer) {
	if answer == nil || !answer.Final() {
		return
	}
	sim.seen[string(answer.State)]++
	sim.seen[string(answer.Code)]++
	if answer.Ran == api.RanNo {
		sim.seen["not run"]++
		s.notRun = true
	}
	if answer.State != api.StateComplete {
		if len(answer.Results) > 0 {
			panic("a failed answer carries results")
		}
		return
	}
	if s.notRun {
		panic(fmt.Sprintf("%v is complete although it was reported as not run", s.marks))
	}
	if len(answer.Results) != len(s.marks) {
		panic(fmt.Sprintf("%d results for %d tasks", len(answer.Results), len(s.marks)))
	}
	for i, result := range answer.Results {
		var mark string
		if err := json.Unmarshal(result.Value, &mark); err != nil || mark != s.marks[i] {
			panic(fmt.Sprintf("task %s got the answer %s", s.marks[i], result.Value))
		}
		if sim.starts[mark] == 0 {
			panic("complete without a start: " + mark)
		}
	}
	s.complete = answer
}

// send sends a host's oldest start, after the lease check of the dispatch controller.
func (sim *simulation) send(host *simHost) {
	start := host.outbox[0]
	host.outbox = host.outbox[1:]
	host.waiting++
	if start.Backend.GrantExpired(sim.clock.Now()) {
		host.finish(&start, dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Busy: true})
		return
	}
	sim.inFlight = append(sim.inFlight, &simStart{home: host, start: start, backend: sim.backend(start.Backend.Name)})
}

func (sim *simulation) backend(name string) *simBackend {
	for _, backend := range sim.backends {
		if backend.host.Name == name {
			return backend
		}
	}
	return nil
}

func (sim *simulation) remove(f *simStart) {
	for i, other := range sim.inFlight {
		if other == f {
			sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
			return
		}
	}
}

// deliver passes an outcome to the home if the home still waits for it.
func (sim *simulation) deliver(f *simStart, outcome dispatch.Outcome) {
	if f.delivered || f.home.dead {
		return
	}
	f.delivered = true
	f.home.finish(&f.start, outcome)
}

// arrive delivers a start to its back end, possibly late.
func (sim *simulation) arrive(f *simStart) {
	if refusal := f.backend.refusal(&f.start, sim.clock.Now()); refusal != nil {
		sim.deliver(f, *refusal)
		sim.remove(f)
		return
	}
	f.backend.start(&f.start)
	f.arrived = true
	sim.starts[f.backend.tasks[f.start.ID].mark]++
	sim.seen["start"]++
}

// end ends a running task; its answer may be lost.
func (sim *simulation) end(f *simStart, lost bool) {
	state := platform.TaskDone
	if f.backend.failing {
		state = platform.TaskFailed
	}
	f.backend.end(f.start.ID, state)
	if lost {
		sim.loseAnswer(f)
	} else {
		sim.deliver(f, resolvedOutcome(f.backend.status(f.start.ID), dispatch.Outcome{Verdict: dispatch.VerdictUnknown}))
	}
	sim.remove(f)
}

// loseAnswer loses the answer of a start: the home resolves the outcome if it can, or else gets an unknown one.
func (sim *simulation) loseAnswer(f *simStart) {
	lost := dispatch.Outcome{Verdict: dispatch.VerdictUnknown, Error: "lost"}
	if !f.delivered && f.start.Task.Target.Tombstones && sim.connected(f.home.name, f.backend.host.Name) {
		lost = resolvedOutcome(f.backend.stopOrTombstone(f.start.ID), lost)
	}
	sim.deliver(f, lost)
}

func (sim *simulation) check() {
	sim.seen["step"]++
	for _, s := range sim.submissions {
		for _, mark := range s.marks {
			limit := 1
			if s.request.Idempotent {
				limit = 12
			}
			require.LessOrEqual(panicking{}, sim.starts[mark], limit, mark)
			if s.notRun {
				require.Zero(panicking{}, sim.starts[mark], "%s ran although it was reported as not run", mark)
			}
		}
	}
	for _, host := range sim.hosts {
		if !host.dead {
			host.check()
		}
	}
}

// check compares the host's counters with each other and with their limits.
func (h *simHost) check() {
	account := h.board.Dispatch.Accounts[simAccount]
	require.Equal(panicking{}, h.waiting+len(h.outbox), account.Running, "running tasks of %s", h.name)
	queued, busy := 0, 0
	for _, group := range h.board.Dispatch.Groups {
		queued += group.Queue.Len()
		groupBusy := 0
		for _, backend := range group.Backends {
			groupBusy += backend.Busy
		}
		require.Equal(panicking{}, group.Busy, groupBusy)
		busy += groupBusy
	}
	require.Equal(panicking{}, queued, account.Queued, "waiting tasks of %s", h.name)
	require.Equal(panicking{}, account.Running, busy, "each task takes one slot")
	entries, bytes := h.ledger.Size()
	require.LessOrEqual(panicking{}, entries, simEntries)
	require.LessOrEqual(panicking{}, bytes, int64(simBytes))
	h.handovers.mu.Lock()
	defer h.handovers.mu.Unlock()
	require.LessOrEqual(panicking{}, h.handovers.entries, simEntries)
	require.LessOrEqual(panicking{}, h.handovers.bytes, int64(simBytes))
}

// panicking reports failures of require to rapid, which treats a panic as a failure and shrinks the run.
type panicking struct{}

func (panicking) Errorf(format string, values ...any) { panic(fmt.Sprintf(format, values...)) }
func (panicking) FailNow()                            { panic("failed") }

func TestRandomisedHosts(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		sim.seen = seen
		steps := sim.steps()
		steps[""] = func(*rapid.T) { sim.check() }
		t.Repeat(steps)
	})
	t.Logf("seen: %v", seen)
	for _, event := range []string{"step", "start", "complete", "not run", "unknown", "home_lost", "cancelled", "draining", "overload", "forgotten"} {
		require.NotZero(t, seen[event], event)
	}
}

func (sim *simulation) wait(through *simHost, s *simSubmission) {
	s.check(sim, sim.call(through, &s.request.Identity, 0, func(home *simHost) *api.Answer {
		return home.submissions.Wait(context.Background(), &peer.WaitRequest{Identity: s.request.Identity})
	}))
}

func (sim *simulation) cancel(through *simHost, s *simSubmission) {
	s.check(sim, sim.call(through, &s.request.Identity, 0, func(home *simHost) *api.Answer {
		return home.submissions.Cancel(context.Background(), &peer.CancelRequest{Identity: s.request.Identity})
	}))
}

// advance moves the clock; a paused host does not notice until it continues.
func (sim *simulation) advance(length time.Duration) {
	sim.clock.Advance(length)
	for _, host := range sim.hosts {
		if !host.dead && !host.paused {
			host.tick()
		}
	}
}
