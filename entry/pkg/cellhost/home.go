package cellhost

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/budget"
	"chervilusher.dev/entry/pkg/callerconn"
	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/queues"
)

const (
	// callerDelay is subtracted from a job's objective, which callers measure on their side; callers are 3 ms away.
	callerDelay = 8 * time.Millisecond
	// noKeeperRetry is the retry delay while no keeper is known; another host takes over from a failed one within it.
	noKeeperRetry = time.Second
	// evacuatedRetry is the retry delay while all failure domains are evacuated, which lasts until the operator ends it.
	evacuatedRetry = 5 * time.Second
	// keeperGrace is how long after the start, or after the loss of the last keeper, a job may wait for one; another
	// host takes over from a failed one within it.
	keeperGrace = time.Second
	// keeperPoll is how often a waiting job checks for a keeper.
	keeperPoll = 10 * time.Millisecond
	// answerMargin lets a keeper's answer at the deadline arrive before the home host gives up.
	answerMargin = 20 * time.Millisecond
)

// Causes for cancelling a call to a keeper.
var (
	errKeeperFailed = errors.New("the keeper is gone")
	errHomeFailed   = errors.New("the caller's host is gone")
)

// outcomeMetrics counts the answers of one outcome.
type outcomeMetrics struct {
	answers *metrics.Counter
	times   *metrics.Histogram
}

var answerMetrics = map[cell.Outcome]outcomeMetrics{
	cell.Completed: newOutcomeMetrics(cell.Completed),
	cell.Failed:    newOutcomeMetrics(cell.Failed),
	cell.Refused:   newOutcomeMetrics(cell.Refused),
	cell.Abandoned: newOutcomeMetrics(cell.Abandoned),
}

func newOutcomeMetrics(outcome cell.Outcome) outcomeMetrics {
	return outcomeMetrics{
		answers: metrics.GetOrCreateCounter(fmt.Sprintf(`chervilusher_cell_answers_total{outcome=%q}`, outcome)),
		times:   metrics.GetOrCreateHistogram(fmt.Sprintf(`chervilusher_cell_answer_seconds{outcome=%q}`, outcome)),
	}
}

// Submission is a job whose caller waits for its answer.
type Submission struct {
	ID            string
	Queue         *queues.Queue
	QueuesVersion int64 // of the configuration that Queue was read from
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

// longestEstimate returns the largest estimate among the tasks.
func (s *Submission) longestEstimate() time.Duration {
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

	mu            sync.Mutex
	calls         map[*keeperCall]struct{}
	lastCall      int64
	sent          map[string]sentTasks // by keeper
	known         atomic.Pointer[knownKeepers]
	openJobs      map[string]context.CancelCauseFunc // by job identifier
	noKeeperSince time.Time                          // when a job first found no keeper; zero while one is known
	stopsAt       time.Time                          // when the open jobs will be abandoned; zero until this host is told to stop
	stopped       bool                               // the open jobs have been abandoned
	memory        *budget.Budget                     // of the open jobs
}

// keeperCall is an unanswered call to a keeper.
type keeperCall struct {
	number              int64
	keeper, incarnation string
	home                string    // home host of the job
	homeIncarnation     string    // of home, as known when the call was made
	wantedAt            time.Time // when the caller was last known to wait, apart from the heartbeats of another home
	cancel              context.CancelCauseFunc
}

// NewHomeController returns a controller without jobs.
func NewHomeController(c *common.Common, options Options, board *Board, client *peer.Client, keeper *KeeperController) *HomeController {
	return &HomeController{
		common:   c.Prefixed("home"),
		options:  options,
		board:    board,
		client:   client,
		keeper:   keeper,
		calls:    map[*keeperCall]struct{}{},
		openJobs: map[string]context.CancelCauseFunc{},
		sent:     map[string]sentTasks{},
		memory:   budget.New(options.Memory, smallJobBytes),
	}
}

// Serve runs the job and returns its answer; it abandons the job if the caller leaves or cancels it.
func (h *HomeController) Serve(ctx context.Context, submission *Submission) *cell.Answer {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limited, added := h.addJob(submission, cancel)
	switch {
	case !added:
		h.common.Log.WithField("job", submission.ID).Warn("the job is already running for an earlier request")
		return &cell.Answer{Outcome: cell.Abandoned, Reason: "the job runs here already, for an earlier request"}
	case limited == nil:
		return h.refuseStopping(submission)
	}
	defer h.removeJob(submission.ID)
	route := &route{home: h, submission: limited, request: h.newRequest(limited)}
	answer := route.run(ctx)
	switch {
	case answer.Outcome == cell.Completed, ctx.Err() == nil:
	case errors.Is(context.Cause(ctx), errStopping):
		answer = &cell.Answer{Outcome: cell.Abandoned, Reason: errStopping.Error()}
	default:
		answer = &cell.Answer{Outcome: cell.Abandoned, Reason: "the caller left or cancelled the job"}
	}
	route.stopping = limited != submission || errors.Is(context.Cause(ctx), errStopping)
	h.logAnswer(route, answer)
	return answer
}

// addJob registers an open job and returns it with the time that this host has for it, or nil if a stop leaves too little. It
// returns false if a job with the same identifier is open.
func (h *HomeController) addJob(submission *Submission, cancel context.CancelCauseFunc) (limited *Submission, added bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.openJobs[submission.ID]; ok {
		return nil, false
	}
	limited = h.limitToStop(submission)
	if limited != nil {
		h.openJobs[submission.ID] = cancel
	}
	return limited, true
}

func (h *HomeController) removeJob(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.openJobs, id)
}

// ShouldShed reports whether to shed a job that arrives now, because this process is overloaded.
func (h *HomeController) ShouldShed() bool {
	return shouldShed(h.keeper.shedder.Shed())
}

// OpenJobs returns the number of jobs whose callers wait.
func (h *HomeController) OpenJobs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.openJobs)
}

func (h *HomeController) logAnswer(r *route, answer *cell.Answer) {
	took := h.common.Clock.Since(r.submission.Arrived)
	outcome := answerMetrics[answer.Outcome]
	outcome.answers.Inc()
	outcome.times.Update(took.Seconds())
	fields := log.Fields{
		"job":       r.submission.ID,
		"queue":     r.submission.Queue.Name,
		"version":   r.submission.QueuesVersion,
		"tasks":     len(r.submission.Tasks),
		"outcome":   answer.Outcome.String(),
		"reason":    answer.Reason,
		"tried":     r.tried,
		"objective": time.Duration(r.request.Objective - r.request.Arrived).String(),
		"took":      took.String(),
	}
	if r.stopping {
		countStopping(answer.Outcome)
		fields["stopping"] = true
	}
	h.common.Log.WithFields(fields).Info("job answered")
}

func (h *HomeController) newRequest(submission *Submission) *peer.RunRequest {
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
	objective := time.Duration(submission.Queue.Stretch*float64(submission.longestEstimate())) + submission.Queue.Objective - callerDelay
	request.Objective = submission.Arrived.Add(objective).UnixNano()
	return request
}

// HostFailed cancels the calls to a keeper, and those for a home host, that is suspected or has restarted.
func (h *HomeController) HostFailed(name, incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for call := range h.calls {
		if call.keeper == name && (incarnation == "" || call.incarnation != incarnation) {
			call.cancel(errKeeperFailed)
		}
		if call.home == name {
			call.cancel(errHomeFailed)
		}
	}
}

// call asks the keeper to run the job.
func (h *HomeController) call(ctx context.Context, home string, keeper *PeerState, request *peer.RunRequest) (*peer.RunResponse, error) {
	if keeper.Name == h.options.Name {
		return h.keeper.Run(ctx, request)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call := &keeperCall{keeper: keeper.Name, incarnation: keeper.Incarnation, home: home, cancel: cancel}
	h.addCall(call, request)
	defer h.removeCall(call)
	if callerconn.IsClosed(ctx) { // this host may have stood still until it took the caller for waiting
		return nil, errors.WithStack(context.Canceled)
	}
	response, err := peer.Call[peer.RunRequest, peer.RunResponse](ctx, h.client, keeper.Address, peer.MethodRun, request)
	if err != nil && errors.Is(context.Cause(ctx), errKeeperFailed) {
		return nil, errKeeperFailed
	}
	return response, err
}

// isEverythingEvacuated reports whether no failure domain is left that takes new tasks.
func (h *HomeController) isEverythingEvacuated() bool {
	evacuations := h.board.Evacuations()
	if len(evacuations.Domains) == 0 {
		return false
	}
	view := h.board.View()
	for name := range view.Hosts {
		if !evacuations.Covers(view.Hosts[name].FailureDomain) {
			return false
		}
	}
	return true
}

// isKeeperExpected reports whether a keeper is expected soon while none is known.
func (h *HomeController) isKeeperExpected(known int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.common.Clock.Now()
	switch {
	case known > 0:
		h.noKeeperSince = time.Time{}
		return false
	case h.noKeeperSince.IsZero():
		h.noKeeperSince = now
	}
	return now.Sub(h.noKeeperSince) < keeperGrace
}

// keepers returns the live keepers with a cell that is not evacuated whose heartbeats this host receives, including
// leaving ones, which still have free slots.
func (h *HomeController) keepers() []*PeerState {
	view, evacuations := h.board.View(), h.board.Evacuations()
	known := h.known.Load()
	if known == nil || known.view != view || known.evacuations != evacuations {
		known = &knownKeepers{view: view, evacuations: evacuations}
		for name := range view.Hosts {
			state := view.Hosts[name]
			if state.Alive && state.ClockKnown && state.keepsOpenCell(evacuations) {
				known.keepers = append(known.keepers, &state)
			}
		}
		h.known.Store(known)
	}
	return slices.Clone(known.keepers)
}

// knownKeepers are the keepers of a view, which changes less often than jobs come.
type knownKeepers struct {
	view        *View
	evacuations *peer.Evacuations
	keepers     []*PeerState // not to be changed
}
