package cellhost

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

const (
	// maxForwards bounds the other keepers that are asked to start a job at once; each call takes about a millisecond.
	maxForwards = 2
	// freshReport is the age up to which what a heartbeat reports counts in full; from DefaultSuspectTimeout on it counts nothing.
	freshReport = 2 * DefaultHeartbeatInterval
)

// sentTasks counts the tasks forwarded to a keeper since a heartbeat of it, which its room does not show yet.
type sentTasks struct {
	heartbeat time.Time
	tasks     int
}

// Forward offers a job that cannot start here at once to other keepers that have room for it by their last heartbeats. It
// chooses among them at random, weighted by their room: all keepers see the same room at the same time.
func (h *HomeController) Forward(ctx context.Context, home string, request *peer.RunRequest, mode peer.RunMode) (*peer.RunResponse, bool) {
	for _, other := range h.chooseForwards(request, mode) {
		h.addSent(other, len(request.Tasks))
		forwarded := *request
		forwarded.KeeperIncarnation = other.Incarnation
		forwarded.Mode = mode
		response, err := h.call(ctx, home, other, &forwarded)
		switch {
		case err == nil && !response.Declined && response.Outcome != cell.Refused:
			return response, true
		case err == nil, errors.Is(err, peer.ErrUnreachable):
		default:
			h.common.Log.WithField("job", request.ID).WithField("keeper", other.Name).WithError(err).Warn("call to the keeper failed; the job is abandoned")
			return &peer.RunResponse{Outcome: cell.Abandoned, Reason: "lost the keeper: " + errors.Cause(err).Error()}, true
		}
	}
	return nil, false
}

func (h *HomeController) chooseForwards(request *peer.RunRequest, mode peer.RunMode) []*PeerState {
	return chooseForwards(h.forwardCandidates(request.Queue, request.Group), len(request.Tasks), mode, rand.Float64)
}

// RoomElsewhere implements Forwarder.
func (h *HomeController) RoomElsewhere(queue, group string) int {
	room := 0
	for _, other := range h.forwardCandidates(queue, group) {
		if other.beyond == 0 {
			room += max(0, other.room-other.waiting)
		}
	}
	return room
}

func (h *HomeController) forwardCandidates(queue, group string) []forwardCandidate {
	now := h.common.Clock.Now()
	keepers := h.keepers()
	candidates := make([]forwardCandidate, 0, len(keepers))
	for _, other := range keepers {
		if other.Name == h.options.Name || other.ShedFraction > 0 {
			continue
		}
		load := groupLoad(other, group)
		candidates = append(candidates, forwardCandidate{
			keeper: other, room: load.FreeSlots - h.sentSince(other), waiting: load.Waiting, beyond: excessOf(other, queue, now).beyond,
		})
	}
	return candidates
}

// forwardCandidate is another keeper as its last heartbeat describes it.
type forwardCandidate struct {
	keeper  *PeerState
	room    int // tasks of mean demand that can start
	waiting int
	beyond  float64 // fraction of the queue's jobs that it cannot start
}

// weight returns how much room speaks for the candidate, zero if it cannot take the job.
func (c *forwardCandidate) weight(tasks int, mode peer.RunMode) float64 {
	switch {
	case mode == peer.RunHere && c.beyond > 0:
		return 0
	case mode == peer.RunLate && (c.beyond > 0 || c.room < tasks):
		return 0
	case mode == peer.RunNow && c.room < tasks:
		return 0
	}
	return (1 - c.beyond) * float64(max(1, 1+c.room-c.waiting))
}

// chooseForwards returns at most maxForwards candidates that may take a job of so many tasks, at random by their weights.
func chooseForwards(candidates []forwardCandidate, tasks int, mode peer.RunMode, random func() float64) []*PeerState {
	var chosen []*PeerState
	var keys []float64
	for i := range candidates {
		weight := candidates[i].weight(tasks, mode)
		if weight <= 0 {
			continue
		}
		key := math.Pow(random(), 1/weight)
		at := len(keys)
		for at > 0 && keys[at-1] < key {
			at--
		}
		if at == maxForwards {
			continue
		}
		chosen = append(chosen[:at:at], append([]*PeerState{candidates[i].keeper}, chosen[at:]...)...)
		keys = append(keys[:at:at], append([]float64{key}, keys[at:]...)...)
		chosen, keys = chosen[:min(len(chosen), maxForwards)], keys[:min(len(keys), maxForwards)]
	}
	return chosen
}

func (h *HomeController) addSent(keeper *PeerState, tasks int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sent := h.sent[keeper.Name]
	if !sent.heartbeat.Equal(keeper.LastHeartbeat) {
		sent = sentTasks{heartbeat: keeper.LastHeartbeat}
	}
	sent.tasks += tasks
	h.sent[keeper.Name] = sent
}

// sentSince returns how many tasks were forwarded to the keeper since its last heartbeat.
func (h *HomeController) sentSince(keeper *PeerState) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sent := h.sent[keeper.Name]; sent.heartbeat.Equal(keeper.LastHeartbeat) {
		return sent.tasks
	}
	return 0
}

// excess is what a keeper cannot take of a queue, as its last heartbeat tells.
type excess struct {
	beyond     float64 // fraction of the jobs that it cannot start itself
	refused    float64 // fraction that homes are to refuse
	retryAfter time.Duration
}

// excessOf returns what the keeper cannot take of the queue; the older its last heartbeat is, the less this counts.
func excessOf(keeper *PeerState, queue string, now time.Time) excess {
	for i := range keeper.Excesses {
		told := &keeper.Excesses[i]
		if told.Queue != queue {
			continue
		}
		left := float64(DefaultSuspectTimeout-now.Sub(keeper.LastHeartbeat)) / float64(DefaultSuspectTimeout-freshReport)
		weight := min(max(0, left), 1) / 1000
		return excess{
			beyond:     weight * min(max(0, float64(told.Beyond)), 1000*maxFraction),
			refused:    weight * min(max(0, float64(told.Refused)), 1000*maxFraction),
			retryAfter: time.Duration(told.RetryAfter) * time.Millisecond,
		}
	}
	return excess{}
}

// freeSlots returns how many typical tasks of the group the keeper could start at its last heartbeat.
func freeSlots(keeper *PeerState, group string) int {
	return groupLoad(keeper, group).FreeSlots
}

func groupLoad(keeper *PeerState, group string) cell.Load {
	for i := range keeper.Loads {
		if keeper.Loads[i].Group == group {
			return keeper.Loads[i]
		}
	}
	return cell.Load{}
}
