package cellhost

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

const (
	// maxCancelledJobs bounds the jobs of one round of calls, and those that wait for the next one.
	maxCancelledJobs = 256
	// cancelCallSpacing is the mean time between two calls to cancel jobs, which bounds them to 500 a second in a fleet of
	// any size, each as cheap as a heartbeat. With 300 hosts a round then starts every 0.6 s at most.
	cancelCallSpacing = 2 * time.Millisecond
	// cancelAttempts is how often a host is asked: an idle connection may have broken since its last use.
	cancelAttempts = 2
	// cancelSilence is the silence after which a host no longer keeps others from answering. All that it runs for callers or
	// keepers elsewhere has ended by then; the platform gives processes 3 s to be in touch again.
	cancelSilence = 3 * time.Second
	// minFailingCalls is how many calls in a row a host leaves unanswered within that time before it counts as silent.
	minFailingCalls = 3
)

var cancelRounds = metrics.NewCounter(`chervilusher_cell_cancel_rounds_total`)

// errTooManyJobs refuses a call that no host makes.
var errTooManyJobs = errors.New("too many jobs in one call")

// CancelOutcome is what became of a caller's wish to cancel a job.
type CancelOutcome int

// Outcomes of a cancellation.
const (
	CancelNoSuchJob  CancelOutcome = iota // no host that can be reached has the job open
	CancelDone                            // the job is cancelled at each host that can be reached
	CancelNotReached                      // not found, and a host that may have the job was not reached
	CancelBusy                            // too many other cancellations wait
)

// String returns the outcome's name for logs and metrics.
func (o CancelOutcome) String() string {
	switch o {
	case CancelNoSuchJob:
		return "no such job"
	case CancelDone:
		return "cancelled"
	case CancelNotReached:
		return "not reached"
	case CancelBusy:
		return "busy"
	default:
		return fmt.Sprintf("CancelOutcome(%d)", int(o))
	}
}

// JobCanceller cancels the open jobs of this host that are named, and returns those that it had.
type JobCanceller interface {
	CancelJobs(ids map[string]bool) []string
}

// CancelController cancels jobs wherever they are open. A caller's connections may go to another host than the one that took
// its job, and two hosts may hold copies of a job that was sent again, so all hosts are asked, as homes and as keepers.
type CancelController struct {
	common  *common.Common
	options Options
	board   *Board
	client  *peer.Client
	local   []JobCanceller

	mu      sync.Mutex
	next    *cancelRound            // collects jobs until it starts; nil if there are none
	serving bool                    // a round runs, or the time until the next one may start has not passed
	failing map[string]failingCalls // by host
}

// failingCalls are the latest calls to a host, all without an answer.
type failingCalls struct {
	since time.Time // when the first one began
	count int
}

// cancelRound asks all other hosts once to cancel a set of jobs.
type cancelRound struct {
	ids       map[string]bool
	done      chan struct{} // closed once the other fields are set
	found     map[string][]string
	unreached []string
}

// NewCancelController returns the controller and adds its method to the peer server.
func NewCancelController(c *common.Common, options Options, board *Board, client *peer.Client, server *peer.Server, local ...JobCanceller) *CancelController {
	controller := &CancelController{
		common:  c.Prefixed("cancel"),
		options: options,
		board:   board,
		client:  client,
		local:   local,
		failing: map[string]failingCalls{},
	}
	peer.Handle(server, peer.MethodCancelJobs, controller.serve)
	return controller
}

// Cancel cancels the job at each host that has it open. A job that is sent again afterwards is a new one.
func (c *CancelController) Cancel(ctx context.Context, id string) CancelOutcome {
	began := c.common.Clock.Now()
	line := c.common.Log.WithField("job", id)
	here := len(c.cancelHere(map[string]bool{id: true})) > 0
	outcome := CancelBusy
	if round := c.join(id); round != nil {
		select {
		case <-round.done:
			outcome = round.outcome(id, here)
			line = line.WithField("hosts", round.found[id]).WithField("unreached", round.unreached)
		case <-ctx.Done(): // nobody reads the answer
			outcome = CancelNotReached
		}
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`chervilusher_cell_cancels_total{outcome=%q}`, outcome)).Inc()
	line.WithField("here", here).WithField("outcome", outcome.String()).WithField("took", c.common.Clock.Since(began).String()).
		Info("cancellation answered")
	return outcome
}

func (r *cancelRound) outcome(id string, here bool) CancelOutcome {
	switch {
	case here || len(r.found[id]) > 0:
		return CancelDone
	case len(r.unreached) > 0:
		return CancelNotReached
	}
	return CancelNoSuchJob
}

// join adds the job to the next round, which starts at once unless another one runs, and returns it, or nil if it is full.
func (c *CancelController) join(id string) *cancelRound {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &cancelRound{ids: map[string]bool{}, done: make(chan struct{}), found: map[string][]string{}}
	}
	if len(c.next.ids) >= maxCancelledJobs && !c.next.ids[id] {
		return nil
	}
	c.next.ids[id] = true
	if !c.serving {
		c.serving = true
		go c.serveRounds()
	}
	return c.next
}

// serveRounds runs one round after the other until no job waits for one.
func (c *CancelController) serveRounds() {
	for round := c.takeRound(); round != nil; round = c.takeRound() {
		due := c.common.Clock.After(time.Duration(len(c.board.View().Hosts)) * cancelCallSpacing)
		c.run(round)
		close(round.done)
		<-due
	}
}

func (c *CancelController) takeRound() *cancelRound {
	c.mu.Lock()
	defer c.mu.Unlock()
	round := c.next
	c.next = nil
	c.serving = round != nil
	return round
}

func (c *CancelController) run(round *cancelRound) {
	cancelRounds.Inc()
	view := c.board.View()
	if len(view.Hosts) == 0 {
		round.unreached = []string{"the hosts are not known yet"}
		return
	}
	request := &peer.CancelJobsRequest{IDs: make([]string, 0, len(round.ids))}
	for id := range round.ids {
		request.IDs = append(request.IDs, id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.options.SuspectTimeout)
	defer cancel()
	var (
		calls sync.WaitGroup
		mu    sync.Mutex // guards round
	)
	for name := range view.Hosts {
		host := view.Hosts[name]
		if name == c.options.Name || host.Gone {
			continue
		}
		calls.Go(func() {
			found, err := c.ask(ctx, &host, request)
			reached := c.isAccountedFor(&host, err, view.Minority)
			mu.Lock()
			defer mu.Unlock()
			for _, id := range found {
				round.found[id] = append(round.found[id], name)
			}
			if !reached {
				round.unreached = append(round.unreached, name)
			}
		})
	}
	calls.Wait()
	slices.Sort(round.unreached)
}

// ask has the host cancel the jobs, and returns those that it had.
func (c *CancelController) ask(ctx context.Context, host *PeerState, request *peer.CancelJobsRequest) (found []string, err error) {
	began := c.common.Clock.Now()
	for range cancelAttempts {
		var response *peer.CancelJobsResponse
		response, err = peer.Call[peer.CancelJobsRequest, peer.CancelJobsResponse](ctx, c.client, host.Address, peer.MethodCancelJobs, request)
		if err == nil {
			c.recordAnswer(host.Name)
			return response.Cancelled, nil
		}
		if ctx.Err() != nil || errors.Is(err, peer.ErrUnreachable) {
			break
		}
	}
	c.common.Log.WithField("peer", host.Name).WithError(err).Warn("failed to cancel jobs at peer")
	c.recordFailure(host.Name, began)
	return nil, err
}

// isAccountedFor reports whether a host whose call ended so need not be asked again: it has answered, its process has ended
// and its jobs with it, or it was silent for long while this host is in touch with most. A host of an earlier build, which
// does not know the method, is not accounted for, since it may have the job.
func (c *CancelController) isAccountedFor(host *PeerState, err error, minority bool) bool {
	return err == nil || errors.Is(err, syscall.ECONNREFUSED) || (!minority && c.isSilent(host))
}

// isSilent reports whether nothing was heard of the host for cancelSilence. One that is no heartbeat peer is heard rarely, so
// that only calls to it tell.
func (c *CancelController) isSilent(host *PeerState) bool {
	now := c.common.Clock.Now()
	if host.HeartbeatPeer && !host.Alive && !host.LastSeen.IsZero() && now.Sub(host.LastSeen) >= cancelSilence {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := c.failing[host.Name]
	return calls.count >= minFailingCalls && calls.since.After(host.LastSeen) && now.Sub(calls.since) >= cancelSilence
}

func (c *CancelController) recordAnswer(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.failing, name)
}

// recordFailure records when the calls to the host began to fail; calls before it was heard last do not count.
func (c *CancelController) recordFailure(name string, at time.Time) {
	hosts := c.board.View().Hosts
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.failing {
		if _, known := hosts[other]; !known {
			delete(c.failing, other)
		}
	}
	calls := c.failing[name]
	if calls.count == 0 || !calls.since.After(hosts[name].LastSeen) {
		calls = failingCalls{since: at}
	}
	calls.count++
	c.failing[name] = calls
}

// cancelHere cancels the jobs at this host, and returns those that it had.
func (c *CancelController) cancelHere(ids map[string]bool) []string {
	var found []string
	for _, local := range c.local {
		found = append(found, local.CancelJobs(ids)...)
	}
	slices.Sort(found)
	return slices.Compact(found)
}

func (c *CancelController) serve(_ context.Context, request *peer.CancelJobsRequest) (*peer.CancelJobsResponse, error) {
	if len(request.IDs) > maxCancelledJobs {
		return nil, errors.WithStack(errTooManyJobs)
	}
	ids := make(map[string]bool, len(request.IDs))
	for _, id := range request.IDs {
		ids[id] = true
	}
	return &peer.CancelJobsResponse{Cancelled: c.cancelHere(ids)}, nil
}

// CancelJobs implements JobCanceller for the jobs whose callers wait here.
func (h *HomeController) CancelJobs(ids map[string]bool) (found []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range ids {
		if cancel, ok := h.openJobs[id]; ok {
			cancel(nil)
			found = append(found, id)
		}
	}
	return found
}

// CancelJobs implements JobCanceller for the jobs that wait or run in this cell, and for calls to run jobs that are between
// two decisions or were forwarded.
func (k *KeeperController) CancelJobs(ids map[string]bool) (found []string) {
	k.apply(func(now time.Time) cell.Effects {
		var jobs []*cell.Job
		answered := map[callKey]bool{}
		for job := range k.waiters {
			if ids[job.ID] && !job.Decided() {
				jobs = append(jobs, job)
				found = append(found, job.ID)
				answered[callKey{job.Home, job.HomeIncarnation, job.Call}] = true
			}
		}
		for call := range k.served {
			if ids[call.job] && !answered[callKey{call.home, call.incarnation, call.number}] {
				call.cancel()
				found = append(found, call.job)
			}
		}
		return k.cell.CancelAll(jobs, "the caller cancelled the job", now)
	})
	return found
}

// callKey identifies a home's call to run a job.
type callKey struct {
	home, incarnation string
	number            int64
}
