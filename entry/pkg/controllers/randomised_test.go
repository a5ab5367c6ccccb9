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

// The checks run from a fixed seed unless the command line asks for a number of checks of its own.
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

// flight is a start on its way to a back end, or running there, or its answer on the way back.
type flight struct {
	home    *simHost
	start   dispatch.Start
	backend *simBackend
	arrived bool
	given   bool // the home no longer waits for it
}

// sent is one submission as its caller knows it.
type sent struct {
	request *peer.SubmitRequest
	marks   []string
	notRun  bool
	whole   *api.Answer
}

// world is a few hosts, back ends and callers, whose every event is one drawn step.
type world struct {
	clock    *clockwork.FakeClock
	hosts    []*simHost
	backends []*simBackend
	flights  []*flight
	sent     []*sent
	cut      map[string]bool // pairs of names that do not reach each other
	starts   map[string]int
	serial   int
	seen     map[string]int // events of all runs
}

func newWorld() *world {
	w := &world{clock: clockwork.NewFakeClock(), cut: map[string]bool{}, starts: map[string]int{}}
	for i := range 3 {
		place := []string{"x", "x", "y"}[i]
		w.backends = append(w.backends,
			newSimBackend(platform.Host{Name: fmt.Sprintf("m%d", i), Group: "minions", Role: platform.RoleMinion, Place: place, Slots: 3}),
			newSimBackend(platform.Host{Name: fmt.Sprintf("w%d", i), Group: "workers", Role: platform.RoleWorker, Place: place, Slots: 3, Cores: 3}),
		)
	}
	for i := range 3 {
		w.hosts = append(w.hosts, w.boot(fmt.Sprintf("h%d", i), []string{"x", "x", "y"}[i]))
	}
	return w
}

func (w *world) boot(name, place string) *simHost {
	w.serial++
	host := newSimHost(name, place, w.serial, w.clock)
	host.takeBackends(w.backends)
	return host
}

func (w *world) reach(from, to string) bool {
	return from == to || !w.cut[from+"/"+to] && !w.cut[to+"/"+from]
}

// ask takes a call through a host to its home, as the routing controller does; nil means no answer.
func (w *world) ask(through *simHost, identity *peer.Identity, digest uint64, call func(home *simHost) *api.Answer) *api.Answer {
	if through.dead || through.paused {
		return nil
	}
	answer := unreachable("cut")
	for _, host := range w.hosts {
		if host.name == identity.Host && !host.dead && !host.paused && w.reach(through.name, host.name) {
			answer = call(host)
		}
	}
	silent := answer.Code == api.CodeUnavailable && answer.Ran == api.RanUnknown
	if !silent && answer.Code != api.CodeHomeLost {
		return answer
	}
	for _, host := range w.hosts {
		if host.dead || host.paused || !w.reach(through.name, host.name) {
			continue
		}
		if kept := host.handovers.answerFor(&peer.RecordRequest{Identity: *identity, Digest: digest}); kept.Known {
			return &kept.Answer
		}
	}
	return answer
}

func (w *world) submit(through *simHost, s *sent) {
	s.check(w, w.ask(through, &s.request.Identity, s.request.Digest, func(home *simHost) *api.Answer {
		return home.submit(s.request)
	}))
}

// check holds an answer against everything that was said before.
func (s *sent) check(w *world, answer *api.Answer) {
	if answer == nil || !answer.Final() {
		return
	}
	w.seen[string(answer.State)]++
	w.seen[string(answer.Code)]++
	if answer.Ran == api.RanNo {
		w.seen["not run"]++
		s.notRun = true
	}
	if answer.State != api.StateComplete {
		if len(answer.Results) > 0 {
			panic("a failed answer carries results")
		}
		return
	}
	if s.notRun {
		panic(fmt.Sprintf("%v was said not to have run and is complete", s.marks))
	}
	if len(answer.Results) != len(s.marks) {
		panic(fmt.Sprintf("%d results for %d tasks", len(answer.Results), len(s.marks)))
	}
	for i, result := range answer.Results {
		var mark string
		if err := json.Unmarshal(result.Value, &mark); err != nil || mark != s.marks[i] {
			panic(fmt.Sprintf("task %s got the answer %s", s.marks[i], result.Value))
		}
		if w.starts[mark] == 0 {
			panic("complete without a start: " + mark)
		}
	}
	s.whole = answer
}

// send lets a host send its oldest start, after the check that a paused holder meets.
func (w *world) send(host *simHost) {
	start := host.outbox[0]
	host.outbox = host.outbox[1:]
	host.waiting++
	if start.Backend.GrantExpired(w.clock.Now()) {
		host.finish(&start, dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Busy: true})
		return
	}
	w.flights = append(w.flights, &flight{home: host, start: start, backend: w.backend(start.Backend.Name)})
}

func (w *world) backend(name string) *simBackend {
	for _, backend := range w.backends {
		if backend.host.Name == name {
			return backend
		}
	}
	return nil
}

func (w *world) remove(f *flight) {
	for i, other := range w.flights {
		if other == f {
			w.flights = append(w.flights[:i], w.flights[i+1:]...)
			return
		}
	}
}

// give hands an outcome to the home, if it still waits for it.
func (w *world) give(f *flight, outcome dispatch.Outcome) {
	if f.given || f.home.dead {
		return
	}
	f.given = true
	f.home.finish(&f.start, outcome)
}

// arrive lets a start reach its back end, however late.
func (w *world) arrive(f *flight) {
	if refusal := f.backend.refusal(&f.start, w.clock.Now()); refusal != nil {
		w.give(f, *refusal)
		w.remove(f)
		return
	}
	f.backend.start(&f.start)
	f.arrived = true
	w.starts[f.backend.tasks[f.start.ID].mark]++
	w.seen["start"]++
}

// end ends a running task; its answer may be lost.
func (w *world) end(f *flight, lost bool) {
	state := platform.TaskDone
	if f.backend.failing {
		state = platform.TaskFailed
	}
	f.backend.end(f.start.ID, state)
	if lost {
		w.lose(f)
	} else {
		w.give(f, resolvedOutcome(f.backend.status(f.start.ID), dispatch.Outcome{Verdict: dispatch.VerdictUnknown}))
	}
	w.remove(f)
}

// lose takes the answer of a start away: the home asks where it can, and is left with an unknown outcome where it cannot.
func (w *world) lose(f *flight) {
	lost := dispatch.Outcome{Verdict: dispatch.VerdictUnknown, Error: "lost"}
	if !f.given && f.start.Task.Target.Tombstones && w.reach(f.home.name, f.backend.host.Name) {
		lost = resolvedOutcome(f.backend.bury(f.start.ID), lost)
	}
	w.give(f, lost)
}

func (w *world) check() {
	w.seen["step"]++
	for _, s := range w.sent {
		for _, mark := range s.marks {
			most := 1
			if s.request.Idempotent {
				most = 12
			}
			require.LessOrEqual(panicking{}, w.starts[mark], most, mark)
			if s.notRun {
				require.Zero(panicking{}, w.starts[mark], "%s was said not to have run", mark)
			}
		}
	}
	for _, host := range w.hosts {
		if !host.dead {
			host.check()
		}
	}
}

// check holds the host's counters against each other and against their bounds.
func (h *simHost) check() {
	owner := h.board.Dispatch.Accounts[simOwner]
	require.Equal(panicking{}, h.waiting+len(h.outbox), owner.Running, "running tasks of %s", h.name)
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
	require.Equal(panicking{}, queued, owner.Queued, "waiting tasks of %s", h.name)
	require.Equal(panicking{}, owner.Running, busy, "each task takes one slot")
	entries, bytes := h.ledger.Size()
	require.LessOrEqual(panicking{}, entries, simEntries)
	require.LessOrEqual(panicking{}, bytes, int64(simBytes))
	h.handovers.mu.Lock()
	defer h.handovers.mu.Unlock()
	require.LessOrEqual(panicking{}, h.handovers.entries, simEntries)
	require.LessOrEqual(panicking{}, h.handovers.bytes, int64(simBytes))
}

// panicking lets require report into rapid, which takes a panic as a failure and shrinks the run.
type panicking struct{}

func (panicking) Errorf(format string, values ...any) { panic(fmt.Sprintf(format, values...)) }
func (panicking) FailNow()                            { panic("failed") }

func TestRandomisedHosts(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.seen = seen
		steps := w.steps()
		steps[""] = func(*rapid.T) { w.check() }
		t.Repeat(steps)
	})
	t.Logf("seen: %v", seen)
	for _, event := range []string{"step", "start", "complete", "not run", "unknown", "home_lost", "cancelled", "draining", "overload", "forgotten"} {
		require.NotZero(t, seen[event], event)
	}
}

func (w *world) wait(through *simHost, s *sent) {
	s.check(w, w.ask(through, &s.request.Identity, 0, func(home *simHost) *api.Answer {
		return home.submissions.Wait(context.Background(), &peer.WaitRequest{Identity: s.request.Identity})
	}))
}

func (w *world) cancel(through *simHost, s *sent) {
	s.check(w, w.ask(through, &s.request.Identity, 0, func(home *simHost) *api.Answer {
		return home.submissions.Cancel(context.Background(), &peer.CancelRequest{Identity: s.request.Identity})
	}))
}

// advance lets time pass; a paused host does not see it until it goes on.
func (w *world) advance(length time.Duration) {
	w.clock.Advance(length)
	for _, host := range w.hosts {
		if !host.dead && !host.paused {
			host.tick()
		}
	}
}
