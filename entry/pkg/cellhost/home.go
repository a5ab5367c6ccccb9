package cellhost

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/queues"
)

const (
	// callerDelay is taken off a job's objective, which callers count on their side; callers are 3 ms away.
	callerDelay = 8 * time.Millisecond
	// noKeeperRetry is when to come back while no keeper is known; another host follows a dead one within it.
	noKeeperRetry = time.Second
	// keeperGrace is how long after the last keeper was lost, or after the start, a job may wait for one; another host
	// follows a dead one within it.
	keeperGrace = time.Second
	// keeperPoll is how often a job that waits looks for a keeper.
	keeperPoll = 10 * time.Millisecond
	// answerMargin lets a keeper's answer at the deadline arrive before the home gives up itself.
	answerMargin = 20 * time.Millisecond
	// maxSpills bounds how many other keepers are asked for room at once; each takes about a millisecond.
	maxSpills = 2
)

// Causes for which a call to a keeper is broken off.
var (
	errKeeperGone = errors.New("the keeper is gone")
	errOriginGone = errors.New("the caller's host is gone")
)

// Submission is a job of a caller who waits for its answer.
type Submission struct {
	ID            string
	Queue         *queues.Queue
	QueuesVersion int64 // of the configuration that the queue was found in
	Spec          string
	Tasks         []SubmittedTask
	Arrived       time.Time
	Deadline      time.Time
}

// SubmittedTask is one task of a submission.
type SubmittedTask struct {
	Name     string
	Need     cell.Resources
	Estimate time.Duration
}

// longest returns the largest estimate among the tasks.
func (s *Submission) longest() time.Duration {
	longest := time.Duration(0)
	for _, task := range s.Tasks {
		longest = max(longest, task.Estimate)
	}
	return longest
}

// HomeController finds a keeper for each caller's job and waits for its answer.
type HomeController struct {
	common  *common.Common
	options Options
	board   *Board
	client  *peer.Client
	keeper  *KeeperController

	mu    sync.Mutex
	calls map[*keeperCall]struct{}
	open  map[string]context.CancelFunc // by the job's identifier
	alone time.Time                     // since when no keeper is known, as far as jobs have asked
}

// keeperCall is a call to a keeper that has not been answered.
type keeperCall struct {
	host, life string
	origin     string // the host whose caller's job it is
	cancel     context.CancelCauseFunc
}

// NewHomeController returns a home without jobs.
func NewHomeController(c *common.Common, options Options, board *Board, client *peer.Client, own *KeeperController) *HomeController {
	return &HomeController{
		common:  c.Prefixed("home"),
		options: options,
		board:   board,
		client:  client,
		keeper:  own,
		calls:   map[*keeperCall]struct{}{},
		open:    map[string]context.CancelFunc{},
	}
}

// Serve runs the job and returns its answer; one whose caller has left or cancelled it is given up.
func (h *HomeController) Serve(ctx context.Context, submission *Submission) *cell.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !h.begin(submission.ID, cancel) {
		h.common.Log.WithField("job", submission.ID).Warn("the job runs here already, for an earlier request")
		return &cell.Answer{Outcome: cell.Abandoned, Reason: "the job runs here already, for an earlier request"}
	}
	defer h.end(submission.ID)
	route := &route{home: h, submission: submission, request: h.request(submission)}
	answer := route.run(ctx)
	if ctx.Err() != nil && answer.Outcome != cell.Completed {
		answer = &cell.Answer{Outcome: cell.Abandoned, Reason: "the caller left or cancelled the job"}
	}
	h.log(route, answer)
	return answer
}

// begin notes an open job, and reports false when one of that identifier is open.
func (h *HomeController) begin(id string, cancel context.CancelFunc) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.open[id]; ok {
		return false
	}
	h.open[id] = cancel
	return true
}

func (h *HomeController) end(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, id)
}

// Cancel stops an open job, and reports whether there was one.
func (h *HomeController) Cancel(id string) bool {
	h.mu.Lock()
	cancel, ok := h.open[id]
	h.mu.Unlock()
	if ok {
		cancel()
	}
	return ok
}

// ShouldShed reports whether a job that comes now is to be turned away, as this process falls behind with the others.
func (h *HomeController) ShouldShed() bool {
	return shouldShed(h.keeper.shedder.Shed())
}

// OpenJobs returns how many callers wait.
func (h *HomeController) OpenJobs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.open)
}

func (h *HomeController) log(route *route, answer *cell.Answer) {
	took := h.common.Clock.Since(route.submission.Arrived)
	queue := route.submission.Queue.Name
	metrics.GetOrCreateCounter(fmt.Sprintf(`chervilusher_cell_answers_total{outcome=%q}`, answer.Outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`chervilusher_cell_answer_seconds{outcome=%q}`, answer.Outcome)).Update(took.Seconds())
	h.common.Log.WithField("job", route.submission.ID).
		WithField("queue", queue).
		WithField("version", route.submission.QueuesVersion).
		WithField("tasks", len(route.submission.Tasks)).
		WithField("outcome", answer.Outcome.String()).
		WithField("reason", answer.Reason).
		WithField("tried", route.tried).
		WithField("objective", time.Duration(route.request.Objective-route.request.Arrived).String()).
		WithField("took", took.String()).
		Info("job answered")
}

func (h *HomeController) request(submission *Submission) *peer.RunRequest {
	request := &peer.RunRequest{
		ID:              submission.ID,
		Home:            h.options.Name,
		HomeIncarnation: h.common.Incarnation,
		Queue:           submission.Queue.Name,
		Group:           submission.Queue.Group,
		Spec:            submission.Spec,
		Attempts:        max(1, submission.Queue.Attempts),
		Priority:        submission.Queue.Priority,
		Arrived:         submission.Arrived.UnixNano(),
		Deadline:        submission.Deadline.UnixNano(),
	}
	for _, task := range submission.Tasks {
		request.Tasks = append(request.Tasks, peer.RunTask{Name: task.Name, Need: task.Need, Estimate: int64(task.Estimate)})
	}
	objective := time.Duration(submission.Queue.Stretch*float64(submission.longest())) + submission.Queue.Objective - callerDelay
	request.Objective = submission.Arrived.Add(objective).UnixNano()
	return request
}

// HostFailed breaks off the calls to a keeper, and those for a caller's host, that is silent or has started anew.
func (h *HomeController) HostFailed(name, life string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for call := range h.calls {
		if call.host == name && (life == "" || call.life != life) {
			call.cancel(errKeeperGone)
		}
		if call.origin == name {
			call.cancel(errOriginGone)
		}
	}
}

// call asks the keeper to run the job.
func (h *HomeController) call(ctx context.Context, origin string, keeper *PeerState, request *peer.RunRequest) (*peer.RunResponse, error) {
	if keeper.Name == h.options.Name {
		return h.keeper.Run(ctx, request)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call := &keeperCall{host: keeper.Name, life: keeper.Incarnation, origin: origin, cancel: cancel}
	h.mu.Lock()
	h.calls[call] = struct{}{}
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.calls, call)
		h.mu.Unlock()
	}()
	response, err := peer.Call[peer.RunRequest, peer.RunResponse](ctx, h.client, keeper.Address, peer.MethodRun, request)
	if err != nil && errors.Is(context.Cause(ctx), errKeeperGone) {
		return nil, errKeeperGone
	}
	return response, err
}

// Forward offers a job that finds no room here at once to the keepers that had the most room when they were last heard.
func (h *HomeController) Forward(ctx context.Context, origin string, request *peer.RunRequest, mode peer.RunMode) (*peer.RunResponse, bool) {
	others := slices.DeleteFunc(h.keepers(), func(other PeerState) bool {
		full := (mode == peer.RunNow || mode == peer.RunLate) && free(&other, request.Group) < len(request.Tasks)
		return other.Name == h.options.Name || full || other.ShedFraction > 0
	})
	slices.SortFunc(others, func(a, b PeerState) int {
		return cmp.Compare(spare(&b, request.Group), spare(&a, request.Group))
	})
	for i := range others[:min(len(others), maxSpills)] {
		spilt := *request
		spilt.KeeperIncarnation = others[i].Incarnation
		spilt.Mode = mode
		response, err := h.call(ctx, origin, &others[i], &spilt)
		switch {
		case err == nil && !response.Declined && response.Outcome != cell.Refused:
			return response, true
		case err == nil, errors.Is(err, peer.ErrUnreachable):
		default:
			h.common.Log.WithField("job", request.ID).WithField("keeper", others[i].Name).WithError(err).Warn("lost the keeper of a job")
			return &peer.RunResponse{Outcome: cell.Abandoned, Reason: "lost the keeper: " + errors.Cause(err).Error()}, true
		}
	}
	return nil, false
}

// isKeeperDue reports whether a keeper is to be expected soon, while none is known.
func (h *HomeController) isKeeperDue(known int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.common.Clock.Now()
	switch {
	case known > 0:
		h.alone = time.Time{}
		return false
	case h.alone.IsZero():
		h.alone = now
	}
	return now.Sub(h.alone) < keeperGrace
}

// keepers returns the live keepers that this host hears, the leaving ones among them, which still have room.
func (h *HomeController) keepers() []PeerState {
	view := h.board.View()
	var found []PeerState
	for name := range view.Hosts {
		neighbour := view.Hosts[name]
		if neighbour.Alive && neighbour.IsKeeper() && neighbour.ClockKnown {
			found = append(found, neighbour)
		}
	}
	return found
}

// free returns how many usual tasks of the group the keeper could start when it was last heard.
func free(keeper *PeerState, group string) int {
	return loadOf(keeper, group).FreeSlots
}

// spare is free less the tasks that wait.
func spare(keeper *PeerState, group string) int {
	load := loadOf(keeper, group)
	return load.FreeSlots - load.Waiting
}

func loadOf(keeper *PeerState, group string) cell.Load {
	for _, load := range keeper.Loads {
		if load.Group == group {
			return load
		}
	}
	return cell.Load{}
}
