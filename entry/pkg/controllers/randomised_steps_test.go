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

func (w *world) anyHost(t *rapid.T) *simHost {
	return rapid.SampledFrom(w.hosts).Draw(t, "host")
}

// liveHost skips the step when the drawn host does not act.
func (w *world) liveHost(t *rapid.T) *simHost {
	host := w.anyHost(t)
	if host.dead || host.paused {
		t.Skip("the host does not act")
	}
	return host
}

func (w *world) anySent(t *rapid.T) *sent {
	if len(w.sent) == 0 {
		t.Skip("nothing was sent")
	}
	const recent = 12
	return rapid.SampledFrom(w.sent[max(0, len(w.sent)-recent):]).Draw(t, "submission")
}

func (w *world) anyFlight(t *rapid.T, arrived bool) *flight {
	var fitting []*flight
	for _, f := range w.flights {
		if f.arrived == arrived {
			fitting = append(fitting, f)
		}
	}
	if len(fitting) == 0 {
		t.Skip("no such start")
	}
	return rapid.SampledFrom(fitting).Draw(t, "start")
}

// repeated returns the steps, each under as many names as its weight, for a run draws from the names alike.
func repeated(steps map[string]weighted) map[string]func(*rapid.T) {
	named := map[string]func(*rapid.T){}
	for name, step := range steps {
		for i := range step.weight {
			named[fmt.Sprintf("%s %d", name, i)] = step.run
		}
	}
	return named
}

// weighted is one kind of event and how often it comes.
type weighted struct {
	weight int
	run    func(*rapid.T)
}

// steps are the events that a run draws from.
func (w *world) steps() map[string]func(*rapid.T) {
	steps := map[string]weighted{
		"submit":      {70, w.stepSubmit},
		"send":        {150, w.stepSend},
		"arrive":      {150, func(t *rapid.T) { w.arrive(w.anyFlight(t, false)) }},
		"end":         {100, func(t *rapid.T) { w.end(w.anyFlight(t, true), false) }},
		"renew":       {100, w.stepRenew},
		"resubmit":    {25, func(t *rapid.T) { w.submit(w.anyHost(t), w.anySent(t)) }},
		"wait":        {15, func(t *rapid.T) { w.wait(w.anyHost(t), w.anySent(t)) }},
		"cancel":      {3, func(t *rapid.T) { w.cancel(w.anyHost(t), w.anySent(t)) }},
		"cancel wave": {1, w.stepCancelWave},
		"advance": {30, func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
		}},
		"advance far": {1, func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second)
		}},
		"answer lost before the start arrives": {2, func(t *rapid.T) { w.lose(w.anyFlight(t, false)) }},
		"answer lost while it runs":            {2, func(t *rapid.T) { w.lose(w.anyFlight(t, true)) }},
		"answer lost after its effect":         {4, func(t *rapid.T) { w.end(w.anyFlight(t, true), true) }},
		"start lost": {2, func(t *rapid.T) {
			f := w.anyFlight(t, false)
			w.lose(f)
			w.remove(f)
		}},
	}
	w.addFaults(steps)
	return repeated(steps)
}

func (w *world) stepCancelWave(t *rapid.T) {
	through := w.anyHost(t)
	for _, s := range w.sent {
		w.cancel(through, s)
	}
}

func (w *world) addFaults(steps map[string]weighted) {
	steps["die"] = weighted{1, func(t *rapid.T) { w.anyHost(t).dead = true }}
	steps["replace"] = weighted{6, w.stepReplace}
	steps["pause"] = weighted{3, func(t *rapid.T) {
		host := w.anyHost(t)
		host.paused = !host.paused && rapid.IntRange(0, 2).Draw(t, "pause") == 0
	}}
	steps["cut"] = weighted{3, func(t *rapid.T) {
		pair := w.anyHost(t).name + "/" + w.anyHost(t).name
		w.cut[pair] = !w.cut[pair] && rapid.IntRange(0, 2).Draw(t, "cut") == 0
	}}
	steps["cut off the place y"] = weighted{3, func(t *rapid.T) {
		cut := rapid.IntRange(0, 2).Draw(t, "cut") == 0
		w.cut["h0/h2"], w.cut["h1/h2"] = cut, cut
	}}
	steps["cut from a back end"] = weighted{3, func(t *rapid.T) {
		pair := w.anyHost(t).name + "/" + rapid.SampledFrom(w.backends).Draw(t, "back end").host.Name
		w.cut[pair] = !w.cut[pair] && rapid.IntRange(0, 2).Draw(t, "cut") == 0
	}}
	steps["leave or come back"] = weighted{3, func(t *rapid.T) {
		backend := rapid.SampledFrom(w.backends).Draw(t, "back end")
		if backend.host.State == platform.HostLeaving {
			backend.host.State = platform.HostLive
		} else {
			backend.host.State = platform.HostLeaving
		}
	}}
	steps["read the host list"] = weighted{6, func(t *rapid.T) { w.liveHost(t).takeBackends(w.backends) }}
	steps["fail everything"] = weighted{1, func(t *rapid.T) {
		backend := rapid.SampledFrom(w.backends).Draw(t, "back end")
		backend.failing = !backend.failing
	}}
	steps["stop tasks"] = weighted{8, w.stepStop}
	steps["two hosts die"] = weighted{1, func(t *rapid.T) {
		w.anyHost(t).dead = true
		w.anyHost(t).dead = true
	}}
	steps["drain"] = weighted{1, func(t *rapid.T) { w.liveHost(t).board.Draining.Store(true) }}
	steps["leave after the drain"] = weighted{8, w.stepHandOver}
}

func (w *world) stepSubmit(t *rapid.T) {
	home := w.liveHost(t)
	w.serial++
	token, _, err := home.tickets.Issue(simOwner)
	if err != nil {
		panic(err)
	}
	claims, err := home.tickets.Verify(token)
	if err != nil {
		panic(err)
	}
	key := fmt.Sprintf("k%d", w.serial)
	s := &sent{request: &peer.SubmitRequest{
		Identity: peer.Identity{
			Account: simOwner, Host: claims.Host, Incarnation: claims.Incarnation, Window: claims.Window, Key: key,
		},
		Digest:     uint64(w.serial),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
	}}
	count := rapid.IntRange(1, 5).Draw(t, "tasks")
	if s.request.Idempotent {
		count = 1
	}
	for i := range count {
		s.add(rapid.IntRange(0, 2).Draw(t, "kind"), fmt.Sprintf("%s.%d", key, i))
	}
	w.sent = append(w.sent, s)
	if rapid.Bool().Draw(t, "delayed") {
		return // its first copy arrives with a later step, perhaps after its cancellation
	}
	w.submit(w.anyHost(t), s)
}

func (s *sent) add(kind int, mark string) {
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

func (w *world) stepSend(t *rapid.T) {
	host := w.liveHost(t)
	if len(host.outbox) == 0 {
		t.Skip("nothing to send")
	}
	w.send(host)
}

func (w *world) stepRenew(t *rapid.T) {
	host := w.liveHost(t)
	backend := rapid.SampledFrom(w.backends).Draw(t, "worker")
	if backend.host.Role != platform.RoleWorker || !w.reach(host.name, backend.host.Name) {
		t.Skip("no lease to renew")
	}
	host.renew(backend)
}

// stepStop delivers the oldest order to stop a task: the start may not have arrived yet.
func (w *world) stepStop(t *rapid.T) {
	host := w.liveHost(t)
	if len(host.stops) == 0 {
		t.Skip("nothing to stop")
	}
	stop := host.stops[0]
	host.stops = host.stops[1:]
	if !stop.Supported || !w.reach(host.name, stop.Backend.Name) {
		return
	}
	backend := w.backend(stop.Backend.Name)
	backend.bury(stop.ID)
	for _, f := range w.flights {
		if f.start.ID == stop.ID && f.arrived {
			w.end(f, false)
			return
		}
	}
}

// stepReplace puts an empty host in a dead one's place, at the same address.
func (w *world) stepReplace(t *rapid.T) {
	for i, host := range w.hosts {
		if host.dead {
			w.hosts[i] = w.boot(host.name, host.place)
			return
		}
	}
	t.Skip("every host lives")
}

// stepHandOver ends a host that has drained: its record goes to the first host that takes it.
func (w *world) stepHandOver(t *rapid.T) {
	host := w.liveHost(t)
	if !host.board.Draining.Load() || host.submissions.Open() > 0 || host.waiting+len(host.outbox) > 0 {
		t.Skip("not drained")
	}
	record := host.submissions.Export()
	head := peer.HandoverRequest{Incarnation: host.common.Incarnation, FailureDomain: host.place, OldestWindow: record.Floor}
	parts := partsOf(head, handedEntries(record))
	if rapid.IntRange(0, 2).Draw(t, "breaks off") == 0 {
		parts[0].Last = false
		parts[0].Entries = parts[0].Entries[:len(parts[0].Entries)/2]
	}
	for _, heir := range w.hosts {
		if heir != host && !heir.dead && !heir.paused && w.reach(host.name, heir.name) && heir.takes(parts) {
			break
		}
	}
	host.dead = true
}

func (h *simHost) takes(parts []peer.HandoverRequest) bool {
	for i := range parts {
		if !h.handovers.store(&parts[i]) {
			return false
		}
	}
	return true
}
