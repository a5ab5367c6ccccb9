package cellhost

import (
	"time"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// addCall registers a call before its request is sent.
func (h *HomeController) addCall(call *keeperCall, request *peer.RunRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastCall++
	call.number = h.lastCall
	call.homeIncarnation = h.board.View().Hosts[call.home].Incarnation
	call.wantedAt = time.Unix(0, max(request.WantedAt, request.Arrived)) // earlier homes send no WantedAt
	call.wantedAt = h.lastWanted(call)                                   // it may have waited since
	h.calls[call] = struct{}{}
	request.Call = call.number
	request.WantedAt = call.wantedAt.UnixNano()
	request.Sent = h.common.Clock.Now().UnixNano()
}

func (h *HomeController) removeCall(call *keeperCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.calls, call)
}

// OpenCalls implements CallReporter. The caller of a forwarded job waits at another home, whose heartbeats count.
func (h *HomeController) OpenCalls(keeper string) *peer.OpenCalls {
	open := &peer.OpenCalls{}
	h.mu.Lock()
	defer h.mu.Unlock()
	for call := range h.calls {
		if call.keeper != keeper {
			continue
		}
		open.Numbers = append(open.Numbers, call.number)
		open.WantedAt = append(open.WantedAt, h.lastWanted(call).UnixNano())
	}
	return open
}

// ForwardedHomes implements CallReporter.
func (h *HomeController) ForwardedHomes() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var homes []string
	for call := range h.calls {
		if call.home != h.options.Name {
			homes = append(homes, call.home)
		}
	}
	return homes
}

// lastWanted returns when the call's caller was last known to wait.
func (h *HomeController) lastWanted(call *keeperCall) time.Time {
	seen := homes{self: h.options.Name, board: h.board, clock: h.common.Clock}
	if at := seen.SeenAt(call.home, call.homeIncarnation); at.After(call.wantedAt) {
		return at
	}
	return call.wantedAt
}

// HandleOpenCalls implements CallReceiver: it cancels the jobs that their home no longer waits for, in case the
// cancellation of the call was lost with its connection.
func (k *KeeperController) HandleOpenCalls(heartbeat *peer.Heartbeat) {
	home, known := k.board.View().Hosts[heartbeat.Name]
	if !known || home.Incarnation != heartbeat.Incarnation || len(heartbeat.Calls.Numbers) != len(heartbeat.Calls.WantedAt) {
		return
	}
	report := cell.HomeReport{
		Home:        heartbeat.Name,
		Incarnation: heartbeat.Incarnation,
		Sent:        time.Unix(0, heartbeat.Clock),
		WantedAt:    make(map[int64]time.Time, len(heartbeat.Calls.Numbers)),
	}
	for i, number := range heartbeat.Calls.Numbers {
		report.WantedAt[number] = time.Unix(0, heartbeat.Calls.WantedAt[i]).Add(home.ClockOffset)
	}
	k.apply(func(now time.Time) cell.Effects {
		if last := k.reports[report.Home]; last == nil || last.Incarnation != report.Incarnation || report.Sent.After(last.Sent) {
			k.reports[report.Home] = &report
		}
		k.cancelClosedCalls(&report)
		return k.cell.HandleHomeReport(&report, now)
	})
}

// refreshWantedAt has a job that is not submitted yet count from when its home last reported that the caller waits.
func (k *KeeperController) refreshWantedAt(job *cell.Job) {
	k.mu.Lock()
	defer k.mu.Unlock()
	last := k.reports[job.Home]
	if last == nil || last.Incarnation != job.HomeIncarnation {
		return
	}
	if reported := last.WantedAt[job.Call]; reported.After(job.WantedAt) {
		job.WantedAt = reported
	}
}
