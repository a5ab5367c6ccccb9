package controllers

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/ledger"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/jsontime"
)

// retryWhileDraining is when to come back to a service whose host is stopping; another host can take the work at once.
const retryWhileDraining = 100 * time.Millisecond

// forgetInterval is how often old windows are looked for.
const forgetInterval = time.Second

// EffectRunner carries out what the engine decided.
type EffectRunner interface {
	Run(effects dispatch.Effects)
}

// SubmissionController is the home of the submissions made under this process's tickets.
type SubmissionController struct {
	common *common.Common
	board  *blackboard.Board
	engine *dispatch.Engine
	ledger *ledger.Ledger
	runner EffectRunner
	serial atomic.Uint64
}

// NewSubmissionController returns the controller; the board's dispatch lock guards engine and ledger.
func NewSubmissionController(
	c *common.Common,
	board *blackboard.Board,
	engine *dispatch.Engine,
	entries *ledger.Ledger,
	runner EffectRunner,
) *SubmissionController {
	return &SubmissionController{
		common: c.Prefixed("submission"),
		board:  board,
		engine: engine,
		ledger: entries,
		runner: runner,
	}
}

// Serve forgets old windows until the context ends.
func (s *SubmissionController) Serve(ctx context.Context) {
	ticker := s.common.Clock.NewTicker(forgetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			s.board.Dispatch.Lock()
			s.ledger.Expire(s.common.Clock.Now())
			s.board.Dispatch.Unlock()
		}
	}
}

// Submit takes a submission, joins it to the one of the same identifier, or refuses it; it then waits for the answer.
func (s *SubmissionController) Submit(ctx context.Context, request *peer.SubmitRequest) *api.Answer {
	if request.Identity.Incarnation != s.common.Incarnation {
		return homeLost()
	}
	job, answer := s.take(request)
	if answer != nil {
		return answer
	}
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

// Cancel ends a submission and answers at once.
func (s *SubmissionController) Cancel(ctx context.Context, request *peer.CancelRequest) *api.Answer {
	job, answer := s.find(&request.Identity)
	if answer != nil {
		return answer
	}
	s.board.Dispatch.Lock()
	effects := s.engine.Cancel(job, s.common.Clock.Now())
	s.board.Dispatch.Unlock()
	s.runner.Run(effects)
	return s.await(ctx, job, 0)
}

// take returns the submission's job, or the final answer when there is none.
func (s *SubmissionController) take(request *peer.SubmitRequest) (*blackboard.Job, *api.Answer) {
	now := s.common.Clock.Now()
	job, refusal := s.build(request, now)
	s.board.Dispatch.Lock()
	defer s.board.Dispatch.Unlock()
	entry, claim := s.ledger.Claim(ledgerID(&request.Identity), request.Digest, func() *blackboard.Job { return job })
	switch claim {
	case ledger.ClaimKnown:
		return entry.Job, nil
	case ledger.ClaimMismatch:
		return nil, mismatch()
	case ledger.ClaimForgotten:
		return nil, forgotten()
	case ledger.ClaimNew:
	}
	if refusal == nil && s.board.Draining.Load() {
		refusal = &dispatch.Refusal{Code: api.CodeDraining, Reason: "the host is stopping", RetryAfter: retryWhileDraining}
	}
	var effects dispatch.Effects
	if refusal == nil {
		effects, refusal = s.engine.Submit(job, now)
	}
	if refusal != nil {
		s.ledger.Drop(entry)
		return nil, refused(refusal)
	}
	s.runner.Run(effects)
	go s.keepWhenDecided(entry)
	return job, nil
}

func (s *SubmissionController) keepWhenDecided(entry *ledger.Entry) {
	<-entry.Job.Done
	s.board.Dispatch.Lock()
	defer s.board.Dispatch.Unlock()
	s.ledger.Keep(entry)
}

func (s *SubmissionController) find(identity *peer.Identity) (*blackboard.Job, *api.Answer) {
	if identity.Incarnation != s.common.Incarnation {
		return nil, homeLost()
	}
	s.board.Dispatch.Lock()
	defer s.board.Dispatch.Unlock()
	entry, kept := s.ledger.Find(ledgerID(identity))
	if !kept {
		return nil, forgotten()
	}
	if entry == nil {
		return nil, &api.Answer{State: api.StateRefused, Ran: api.RanNo, Code: api.CodeNotFound, Reason: "no submission has this key"}
	}
	return entry.Job, nil
}

// await returns the job's answer, or how far it is when the wait is over.
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
		Done:  len(job.Tasks) - job.Left,
		Tasks: len(job.Tasks),
	}
}

func (s *SubmissionController) build(request *peer.SubmitRequest, now time.Time) (*blackboard.Job, *dispatch.Refusal) {
	document := s.board.Configuration.Load().Document(request.Identity.Owner)
	if document == nil {
		return nil, &dispatch.Refusal{Code: api.CodeNotFound, Reason: "the owner has no configuration"}
	}
	job := &blackboard.Job{
		ID:         s.common.Incarnation + "-" + strconv.FormatUint(s.serial.Add(1), 36),
		Owner:      request.Identity.Owner,
		Key:        request.Identity.Key,
		Urgent:     request.Submission.Urgent,
		Idempotent: request.Idempotent,
		Accepted:   now,
		Tasks:      make([]*blackboard.Task, len(request.Submission.Tasks)),
		Left:       len(request.Submission.Tasks),
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

func ranSoFar(job *blackboard.Job) api.Ran {
	if job.Started {
		return api.RanYes
	}
	return api.RanNo
}

func ledgerID(identity *peer.Identity) ledger.ID {
	return ledger.ID{Owner: identity.Owner, Window: identity.Window, Key: identity.Key}
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

func mismatch() *api.Answer {
	return &api.Answer{State: api.StateRefused, Ran: api.RanNo, Code: api.CodeMismatch, Reason: "the key was used for another submission; this one was not run"}
}
