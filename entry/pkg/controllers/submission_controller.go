package controllers

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/burn"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/ledger"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/jsontime"
)

// retryWhileDraining is the retry delay for callers of a stopping host; another host can accept the submission at once.
const retryWhileDraining = 100 * time.Millisecond

// retryClosedWindow is the retry delay for callers that need a ticket of the next window.
const retryClosedWindow = 100 * time.Millisecond

// expireInterval is how often expired windows and records are removed.
const expireInterval = time.Second

var (
	ledgerEntries = metrics.NewGauge(`chervilusher_ledger_entries`, nil)
	ledgerBytes   = metrics.NewGauge(`chervilusher_ledger_bytes`, nil)
)

// EffectRunner executes the engine's decisions.
type EffectRunner interface {
	Run(effects dispatch.Effects)
}

// WindowCloser ends a window of tickets early.
type WindowCloser interface {
	Close(window int64)
}

// AnswerRecorder counts answers against the objectives of their client account.
type AnswerRecorder interface {
	Record(account string, targets []burn.Target, answer *api.Answer, took time.Duration)
}

// SubmissionController is the home of the submissions made under this process's tickets.
type SubmissionController struct {
	common  *common.Common
	board   *blackboard.Board
	engine  *dispatch.Engine
	ledger  *ledger.Ledger
	windows WindowCloser
	runner  EffectRunner
	answers AnswerRecorder
	serial  atomic.Uint64
}

// NewSubmissionController returns a controller; engine and ledger are guarded by the board's dispatch lock.
func NewSubmissionController(
	c *common.Common,
	board *blackboard.Board,
	engine *dispatch.Engine,
	entries *ledger.Ledger,
	windows WindowCloser,
	runner EffectRunner,
	answers AnswerRecorder,
) *SubmissionController {
	return &SubmissionController{
		common:  c.Prefixed("submission"),
		board:   board,
		engine:  engine,
		ledger:  entries,
		windows: windows,
		runner:  runner,
		answers: answers,
	}
}

// Serve removes expired windows until the context ends.
func (s *SubmissionController) Serve(ctx context.Context) {
	s.common.Every(ctx, expireInterval, s.expire)
}

func (s *SubmissionController) expire() {
	s.board.Dispatch.Lock()
	s.ledger.Expire(s.common.Clock.Now())
	entries, bytes := s.ledger.Size()
	s.board.Dispatch.Unlock()
	ledgerEntries.Set(float64(entries))
	ledgerBytes.Set(float64(bytes))
}

// Submit accepts a submission, joins it to the one of the same identifier, or refuses it.
// It then waits for the answer.
func (s *SubmissionController) Submit(ctx context.Context, request *peer.SubmitRequest) *api.Answer {
	if answer := s.rejectMisrouted(&request.Identity); answer != nil {
		return answer
	}
	job, answer := s.accept(request)
	if answer != nil {
		return answer
	}
	s.common.Log.WithField("job", job.ID).WithField("owner", job.Account).WithField("key", job.Key).Debug("accepted or joined")
	return s.await(ctx, job, request.Wait)
}

// Wait waits for the answer of a submission.
func (s *SubmissionController) Wait(ctx context.Context, request *peer.WaitRequest) *api.Answer {
	job, answer := s.find(&request.Identity)
	if answer != nil {
		return answer
	}
	return s.await(ctx, job, request.Wait)
}

// Cancel ends a submission and answers at once; one that has not arrived yet is refused on arrival.
func (s *SubmissionController) Cancel(_ context.Context, request *peer.CancelRequest) *api.Answer {
	if answer := s.rejectMisrouted(&request.Identity); answer != nil {
		return answer
	}
	now := s.common.Clock.Now()
	s.board.Dispatch.Lock()
	entry, claim := s.ledger.Bury(ledgerID(&request.Identity), now, cancelledBefore())
	var effects dispatch.Effects
	if entry != nil && entry.Job != nil {
		effects = s.engine.Cancel(entry.Job, now)
	}
	answer := answerOf(entry, claim)
	s.board.Dispatch.Unlock()
	s.runner.Run(effects)
	return answer
}

// answerOf returns the answer of an ended submission.
func answerOf(entry *ledger.Entry, claim ledger.Claim) *api.Answer {
	switch {
	case claim == ledger.ClaimClosed:
		return closedWindow()
	case entry == nil || entry.Answer == nil:
		return forgotten()
	default:
		return entry.Answer
	}
}

// accept returns the submission's job, or the final answer when there is none.
func (s *SubmissionController) accept(request *peer.SubmitRequest) (*blackboard.Job, *api.Answer) {
	now := s.common.Clock.Now()
	id := ledgerID(&request.Identity)
	job, refusal := s.buildJob(request, now)
	s.board.Dispatch.Lock()
	defer s.board.Dispatch.Unlock()
	if known, retained := s.ledger.Find(id, now); known == nil && retained && s.board.Draining.Load() {
		return nil, refused(&dispatch.Refusal{Code: api.CodeDraining, Reason: "the host is stopping", RetryAfter: retryWhileDraining})
	}
	entry, claim := s.ledger.Claim(id, request.Digest, now, func() *blackboard.Job { return job })
	if s.ledger.Closed(id.Window) {
		s.windows.Close(id.Window)
	}
	switch claim {
	case ledger.ClaimKnown:
		if entry.Job != nil {
			return entry.Job, nil
		}
		return nil, answerOf(entry, claim)
	case ledger.ClaimMismatch:
		return nil, mismatch()
	case ledger.ClaimForgotten, ledger.ClaimClosed:
		return nil, answerOf(nil, claim)
	case ledger.ClaimNew:
	}
	return s.enqueue(entry, job, refusal, now)
}

// enqueue passes a new submission to the engine.
// A refusal is stored too, so that a delayed copy of the submission never starts after it.
func (s *SubmissionController) enqueue(
	entry *ledger.Entry,
	job *blackboard.Job,
	refusal *dispatch.Refusal,
	now time.Time,
) (*blackboard.Job, *api.Answer) {
	var effects dispatch.Effects
	if refusal == nil {
		job.OnAnswer = func(answer *api.Answer) { s.storeAnswer(entry, job, answer, s.common.Clock.Now()) }
		effects, refusal = s.engine.Submit(job, now)
	}
	if refusal != nil {
		answer := refused(refusal)
		s.storeAnswer(entry, job, answer, now)
		return nil, answer
	}
	s.runner.Run(effects)
	return job, nil
}

// storeAnswer stores and counts the final answer.
// The job is nil when the submission names a service or pool that its account does not have, or an unknown account.
func (s *SubmissionController) storeAnswer(entry *ledger.Entry, job *blackboard.Job, answer *api.Answer, now time.Time) {
	s.ledger.Keep(entry, answer, now)
	if account, ok := s.board.Dispatch.Accounts[entry.ID.Account]; ok && answer.State == api.StateRefused {
		account.Refused++
	}
	if job != nil {
		s.answers.Record(job.Account, targetsOf(job), answer, now.Sub(job.Accepted))
	}
}

// targetsOf returns the distinct services and pools of a job.
func targetsOf(job *blackboard.Job) []burn.Target {
	var targets []burn.Target
	for _, task := range job.Tasks {
		target := burn.Target{Service: task.Target.Service, Pool: task.Target.Pool}
		if !slices.Contains(targets, target) {
			targets = append(targets, target)
		}
	}
	return targets
}

// rejectMisrouted answers calls that are meant for another process; otherwise it returns nil.
func (s *SubmissionController) rejectMisrouted(identity *peer.Identity) *api.Answer {
	if identity.Host != s.common.Settings.Name {
		return unreachable("another host answers at the home's address")
	}
	if identity.Incarnation != s.common.Incarnation {
		return homeLost()
	}
	return nil
}

// Open returns the number of submissions without an answer.
func (s *SubmissionController) Open() int {
	s.board.Dispatch.Lock()
	defer s.board.Dispatch.Unlock()
	return s.ledger.Open()
}

// Export returns this home's record of ended submissions.
func (s *SubmissionController) Export() ledger.Record {
	s.board.Dispatch.Lock()
	defer s.board.Dispatch.Unlock()
	return s.ledger.Export()
}

func (s *SubmissionController) find(identity *peer.Identity) (*blackboard.Job, *api.Answer) {
	if answer := s.rejectMisrouted(identity); answer != nil {
		return nil, answer
	}
	s.board.Dispatch.Lock()
	defer s.board.Dispatch.Unlock()
	entry, retained := s.ledger.Find(ledgerID(identity), s.common.Clock.Now())
	switch {
	case !retained:
		return nil, forgotten()
	case entry == nil:
		return nil, notArrived()
	case entry.Job == nil:
		return nil, answerOf(entry, ledger.ClaimKnown)
	default:
		return entry.Job, nil
	}
}

// await returns the job's answer, or its progress when the wait ends first.
func (s *SubmissionController) await(ctx context.Context, job *blackboard.Job, wait time.Duration) *api.Answer {
	timer := s.common.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-job.Done:
		return job.Answer
	default:
	}
	select {
	case <-job.Done:
		return job.Answer
	case <-timer.Chan():
	case <-ctx.Done():
	}
	s.board.Dispatch.Lock()
	defer s.board.Dispatch.Unlock()
	if job.Decided() {
		return job.Answer
	}
	return &api.Answer{
		Key:   job.Key,
		State: api.StateRunning,
		Ran:   ranSoFar(job),
		Done:  len(job.Tasks) - job.Remaining,
		Tasks: len(job.Tasks),
	}
}

func (s *SubmissionController) buildJob(request *peer.SubmitRequest, now time.Time) (*blackboard.Job, *dispatch.Refusal) {
	document := s.board.Configuration.Load().Document(request.Identity.Account)
	if document == nil {
		return nil, &dispatch.Refusal{Code: api.CodeNotFound, Reason: "the owner has no configuration"}
	}
	job := &blackboard.Job{
		ID:         s.common.Incarnation + "-" + strconv.FormatUint(s.serial.Add(1), 36),
		Account:    request.Identity.Account,
		Key:        request.Identity.Key,
		Urgent:     request.Submission.Urgent,
		Idempotent: request.Idempotent,
		Accepted:   now,
		Tasks:      make([]*blackboard.Task, len(request.Submission.Tasks)),
		Remaining:  len(request.Submission.Tasks),
		Done:       make(chan struct{}),
	}
	resolver := newTargetResolver(document, &s.common.Settings.Policy)
	for i := range request.Submission.Tasks {
		spec := &request.Submission.Tasks[i]
		target, err := resolver.resolve(spec)
		if err != nil {
			return nil, &dispatch.Refusal{Code: api.CodeNotFound, Reason: fmt.Sprintf("task %d: %s", i, err)}
		}
		job.Tasks[i] = &blackboard.Task{
			Job:      job,
			Index:    i,
			Kind:     spec.Kind,
			Target:   target,
			Need:     spec.Need,
			Payload:  spec.Payload,
			Declared: spec.Declared.Std(),
		}
	}
	job.Deadline = now.Add(resolver.deadline(request.Submission.Deadline.Std()))
	return job, nil
}

// ranSoFar cannot return yes: a start in progress may not have reached its back end.
func ranSoFar(job *blackboard.Job) api.Ran {
	if job.Started {
		return api.RanUnknown
	}
	return api.RanNo
}

func ledgerID(identity *peer.Identity) ledger.ID {
	return ledger.ID{Account: identity.Account, Window: identity.Window, Key: identity.Key}
}

func refused(refusal *dispatch.Refusal) *api.Answer {
	return &api.Answer{
		State:      api.StateRefused,
		Ran:        api.RanNo,
		Code:       refusal.Code,
		Reason:     refusal.Reason,
		RetryAfter: jsontime.Duration(refusal.RetryAfter),
	}
}

func homeLost() *api.Answer {
	return &api.Answer{State: api.StateUnknown, Ran: api.RanUnknown, Code: api.CodeHomeLost, Reason: "the process that took the submission is gone; it is not run again"}
}

func forgotten() *api.Answer {
	return &api.Answer{State: api.StateUnknown, Ran: api.RanUnknown, Code: api.CodeForgotten, Reason: "the answer is no longer kept; it is not run again"}
}

// notArrived returns an unknown outcome: the submission may still arrive.
func notArrived() *api.Answer {
	return &api.Answer{State: api.StateUnknown, Ran: api.RanUnknown, Code: api.CodeNotFound, Reason: "no submission with this key has arrived"}
}

func cancelledBefore() *api.Answer {
	return &api.Answer{State: api.StateCancelled, Ran: api.RanNo, Code: api.CodeCancelled, Reason: "the caller cancelled the job before it arrived"}
}

func closedWindow() *api.Answer {
	return refused(&dispatch.Refusal{Code: api.CodeOverload, Reason: "the ticket takes no more submissions", RetryAfter: retryClosedWindow})
}

func mismatch() *api.Answer {
	return &api.Answer{State: api.StateRefused, Ran: api.RanNo, Code: api.CodeMismatch, Reason: "the key was used for another submission; this one was not run"}
}
