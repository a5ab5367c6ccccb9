package controllers

import (
	"encoding/json"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

func (sim *simulation) anyHost(t *rapid.T) *simHost {
	return rapid.SampledFrom(sim.hosts).Draw(t, "host")
}

// liveHost skips the step when the drawn host is dead or paused.
func (sim *simulation) liveHost(t *rapid.T) *simHost {
	host := sim.anyHost(t)
	if host.dead || host.paused {
		t.Skip("the host is dead or paused")
	}
	return host
}

func (sim *simulation) anySubmission(t *rapid.T) *simSubmission {
	if len(sim.submissions) == 0 {
		t.Skip("nothing was sent")
	}
	const recent = 12
	return rapid.SampledFrom(sim.submissions[max(0, len(sim.submissions)-recent):]).Draw(t, "submission")
}

func (sim *simulation) anyInFlight(t *rapid.T, arrived bool) *simStart {
	var fitting []*simStart
	for _, f := range sim.inFlight {
		if f.arrived == arrived {
			fitting = append(fitting, f)
		}
	}
	if len(fitting) == 0 {
		t.Skip("no such start")
	}
	return rapid.SampledFrom(fitting).Draw(t, "start")
}

// repeatedByWeight returns each step under as many names as its weight: rapid draws all names with equal probability.
func repeatedByWeight(steps map[string]weighted) map[string]func(*rapid.T) {
	named := map[string]func(*rapid.T){}
	for name, step := range steps {
		for i := range step.weight {
			named[fmt.Sprintf("%s %d", name, i)] = step.run
		}
	}
	return named
}

// weighted is one kind of event and its relative frequency.
type weighted struct {
	weight int
	run    func(*rapid.T)
}

// steps returns the events from which a check draws.
func (sim *simulation) steps() map[string]func(*rapid.T) {
	steps := map[string]weighted{
		"submit":      {70, sim.stepSubmit},
		"send":        {150, sim.stepSend},
		"arrive":      {150, func(t *rapid.T) { sim.arrive(sim.anyInFlight(t, false)) }},
		"end":         {100, func(t *rapid.T) { sim.end(sim.anyInFlight(t, true), false) }},
		"renew":       {100, sim.stepRenew},
		"resubmit":    {25, func(t *rapid.T) { sim.submit(sim.anyHost(t), sim.anySubmission(t)) }},
		"wait":        {15, func(t *rapid.T) { sim.wait(sim.anyHost(t), sim.anySubmission(t)) }},
		"cancel":      {3, func(t *rapid.T) { sim.cancel(sim.anyHost(t), sim.anySubmission(t)) }},
		"cancel wave": {1, sim.stepCancelWave},
		"advance": {30, func(t *rapid.T) {
			sim.advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
		}},
		"advance far": {1, func(t *rapid.T) {
			sim.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second)
		}},
		"answer lost before the start arrives": {2, func(t *rapid.T) { sim.loseAnswer(sim.anyInFlight(t, false)) }},
		"answer lost while it runs":            {2, func(t *rapid.T) { sim.loseAnswer(sim.anyInFlight(t, true)) }},
		"answer lost after its effect":         {4, func(t *rapid.T) { sim.end(sim.anyInFlight(t, true), true) }},
		"start lost": {2, func(t *rapid.T) {
			f := sim.anyInFlight(t, false)
			sim.loseAnswer(f)
			sim.remove(f)
		}},
	}
	sim.addFaults(steps)
	return repeatedByWeight(steps)
}

func (sim *simulation) stepCancelWave(t *rapid.T) {
	through := sim.anyHost(t)
	for _, s := range sim.submissions {
		sim.cancel(through, s)
	}
}

func (sim *simulation) addFaults(steps map[string]weighted) {
	steps["die"] = weighted{1, func(t *rapid.T) { sim.anyHost(t).dead = true }}
	steps["replace"] = weighted{6, sim.stepReplace}
	steps["pause"] = weighted{3, func(t *rapid.T) {
		host := sim.anyHost(t)
		host.paused = !host.paused && rapid.IntRange(0, 2).Draw(t, "pause") == 0
	}}
	steps["cut"] = weighted{3, func(t *rapid.T) {
		pair := sim.anyHost(t).name + "/" + sim.anyHost(t).name
		sim.partitioned[pair] = !sim.partitioned[pair] && rapid.IntRange(0, 2).Draw(t, "cut") == 0
	}}
	steps["cut off the place y"] = weighted{3, func(t *rapid.T) {
		cut := rapid.IntRange(0, 2).Draw(t, "cut") == 0
		sim.partitioned["h0/h2"], sim.partitioned["h1/h2"] = cut, cut
	}}
	steps["cut from a back end"] = weighted{3, func(t *rapid.T) {
		pair := sim.anyHost(t).name + "/" + rapid.SampledFrom(sim.backends).Draw(t, "back end").host.Name
		sim.partitioned[pair] = !sim.partitioned[pair] && rapid.IntRange(0, 2).Draw(t, "cut") == 0
	}}
	steps["leave or come back"] = weighted{3, func(t *rapid.T) {
		backend := rapid.SampledFrom(sim.backends).Draw(t, "back end")
		if backend.host.State == platform.HostLeaving {
			backend.host.State = platform.HostLive
		} else {
			backend.host.State = platform.HostLeaving
		}
	}}
	steps["read the host list"] = weighted{6, func(t *rapid.T) { sim.liveHost(t).updateBackends(sim.backends) }}
	steps["fail everything"] = weighted{1, func(t *rapid.T) {
		backend := rapid.SampledFrom(sim.backends).Draw(t, "back end")
		backend.failing = !backend.failing
	}}
	steps["stop tasks"] = weighted{8, sim.stepStop}
	steps["two hosts die"] = weighted{1, func(t *rapid.T) {
		sim.anyHost(t).dead = true
		sim.anyHost(t).dead = true
	}}
	steps["drain"] = weighted{1, func(t *rapid.T) { sim.liveHost(t).board.Draining.Store(true) }}
	steps["leave after the drain"] = weighted{8, sim.stepHandOver}
}

func (sim *simulation) stepSubmit(t *rapid.T) {
	home := sim.liveHost(t)
	sim.serial++
	token, _, err := home.tickets.Issue(simAccount)
	if err != nil {
		panic(err)
	}
	claims, err := home.tickets.Verify(token)
	if err != nil {
		panic(err)
	}
	key := fmt.Sprintf("k%d", sim.serial)
	s := &simSubmission{request: &peer.SubmitRequest{
		Identity: peer.Identity{
			Account: simAccount, Host: claims.Host, Incarnation: claims.Incarnation, Window: claims.Window, Key: key,
		},
		Digest:     uint64(sim.serial),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
	}}
	count := rapid.IntRange(1, 5).Draw(t, "tasks")
	if s.request.Idempotent {
		count = 1
	}
	for i := range count {
		s.add(rapid.IntRange(0, 2).Draw(t, "kind"), fmt.Sprintf("%s.%d", key, i))
	}
	sim.submissions = append(sim.submissions, s)
	if rapid.Bool().Draw(t, "delayed") {
		return // its first copy arrives in a later step, possibly after its cancellation
	}
	sim.submit(sim.anyHost(t), s)
}

func (s *simSubmission) add(kind int, mark string) {
	payload, err := json.Marshal(mark)
	if err != nil {
		panic(err)
	}
	task := api.Task{Kind: "kind", Payload: payload}
	switch kind {
	case 0:
		task.Service = "asked"
	case 1:
		task.Service = "plain"
	default:
		task.Pool = "pool"
		task.Need = api.Need{Cores: 1}
	}
	s.request.Submission.Tasks = append(s.request.Submission.Tasks, task)
	s.marks = append(s.marks, mark)
}

func (sim *simulation) stepSend(t *rapid.T) {
	host := sim.liveHost(t)
	if len(host.outbox) == 0 {
		t.Skip("nothing to send")
	}
	sim.send(host)
}

func (sim *simulation) stepRenew(t *rapid.T) {
	host := sim.liveHost(t)
	backend := rapid.SampledFrom(sim.backends).Draw(t, "worker")
	if backend.host.Role != platform.RoleWorker || !sim.connected(host.name, backend.host.Name) {
		t.Skip("no lease to renew")
	}
	host.renew(backend)
}

// stepStop delivers the oldest stop of a host; the start may not have arrived yet.
func (sim *simulation) stepStop(t *rapid.T) {
	host := sim.liveHost(t)
	if len(host.stops) == 0 {
		t.Skip("nothing to stop")
	}
	stop := host.stops[0]
	host.stops = host.stops[1:]
	if !stop.Supported || !sim.connected(host.name, stop.Backend.Name) {
		return
	}
	backend := sim.backend(stop.Backend.Name)
	backend.stopOrTombstone(stop.ID)
	for _, f := range sim.inFlight {
		if f.start.ID == stop.ID && f.arrived {
			sim.end(f, false)
			return
		}
	}
}

// stepReplace replaces a dead host by an empty one at the same address.
func (sim *simulation) stepReplace(t *rapid.T) {
	for i, host := range sim.hosts {
		if host.dead {
			sim.hosts[i] = sim.boot(host.name, host.domain)
			return
		}
	}
	t.Skip("no host is dead")
}

// stepHandOver ends a drained host and hands its record over to the first host that accepts it.
func (sim *simulation) stepHandOver(t *rapid.T) {
	host := sim.liveHost(t)
	if !host.board.Draining.Load() || host.submissions.Open() > 0 || host.waiting+len(host.outbox) > 0 {
		t.Skip("not drained")
	}
	record := host.submissions.Export()
	head := peer.HandoverRequest{Incarnation: host.common.Incarnation, FailureDomain: host.domain, OldestWindow: record.Floor}
	parts := partsOf(head, handedEntries(record))
	if rapid.IntRange(0, 2).Draw(t, "breaks off") == 0 {
		parts[0].Last = false
		parts[0].Entries = parts[0].Entries[:len(parts[0].Entries)/2]
	}
	for _, successor := range sim.hosts {
		if successor != host && !successor.dead && !successor.paused && sim.connected(host.name, successor.name) && successor.accepts(parts) {
			break
		}
	}
	host.dead = true
}

func (h *simHost) accepts(parts []peer.HandoverRequest) bool {
	for i := range parts {
		if !h.handovers.store(&parts[i]) {
			return false
		}
	}
	return true
}
