package cellhost

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// route offers one job to one keeper after the other until one accepts it.
type route struct {
	home          *HomeController
	submission    *Submission
	request       *peer.RunRequest
	tried         []string      // keepers that were asked
	declineReason string        // why the last keeper declined or was skipped
	retryAfter    time.Duration // delay before the caller should retry if no keeper takes the job
	stopping      bool          // a stop of this host has cut the job's time short
}

// run offers the job to the keepers of this failure domain, and then to those of other ones.
func (r *route) run(ctx context.Context) *cell.Answer {
	ctx, cancel := context.WithTimeout(ctx, r.submission.Deadline.Add(answerMargin).Sub(r.home.common.Clock.Now()))
	defer cancel()
	for _, keeper := range r.orderKeepers(r.withoutOverloaded(r.awaitKeepers(ctx))) {
		if answer := r.tryKeeper(ctx, keeper); answer != nil {
			return answer
		}
	}
	reason := "no keeper of workers took the job"
	if r.declineReason != "" {
		reason += ": " + r.declineReason
	}
	return &cell.Answer{Outcome: cell.Refused, Reason: reason, RetryAfter: max(noKeeperRetry, r.retryAfter)}
}

// awaitKeepers returns the known keepers. If there is none but one is expected soon, it waits as long as the job could
// still meet its objective.
func (r *route) awaitKeepers(ctx context.Context) []*PeerState {
	clock := r.home.common.Clock
	for {
		keepers := r.home.keepers()
		if len(keepers) == 0 && r.home.isEverythingEvacuated() {
			r.declineReason = "all failure domains are evacuated"
			r.retryAfter = evacuatedRetry
			return nil
		}
		due := r.home.isKeeperExpected(len(keepers))
		if !due || clock.Now().Add(r.submission.longestEstimate()).After(time.Unix(0, r.request.Objective)) {
			return keepers
		}
		select {
		case <-ctx.Done():
			return nil
		case <-clock.After(keeperPoll):
		}
	}
}

// withoutOverloaded skips each overloaded keeper for the fraction of jobs that it has to shed.
func (r *route) withoutOverloaded(keepers []*PeerState) []*PeerState {
	return slices.DeleteFunc(keepers, func(keeper *PeerState) bool {
		shed := shouldShed(keeper.ShedFraction)
		if shed {
			r.declineReason = "the keeper falls behind"
		}
		return shed
	})
}

// orderKeepers puts the keepers of this failure domain first. Within each group the order is random, weighted by free
// slots, so that not all home hosts choose the same keeper; each keeper comes last for the fraction of jobs that it refuses.
func (r *route) orderKeepers(keepers []*PeerState) []*PeerState {
	now, queue := r.home.common.Clock.Now(), r.submission.Queue
	least := leastRefusal(keepers, r.home.options.FailureDomain, queue.Name, now).fraction
	draw := least + (1-least)*rand.Float64() // the job has not been refused
	ranked := make([]rankedKeeper, 0, len(keepers))
	for _, keeper := range keepers {
		rank := math.Pow(rand.Float64(), 1/float64(freeSlots(keeper, queue.Group)+1))
		if keeper.FailureDomain == r.home.options.FailureDomain {
			rank += 2
		}
		if draw < excessOf(keeper, queue.Name, now).refused {
			rank-- // after those that can take it
		}
		if keeper.Leaving {
			rank-- // after those that are not leaving
		}
		ranked = append(ranked, rankedKeeper{keeper, rank})
	}
	slices.SortFunc(ranked, func(a, b rankedKeeper) int { return cmp.Compare(b.rank, a.rank) })
	for i := range ranked {
		keepers[i] = ranked[i].keeper
	}
	return keepers
}

// rankedKeeper is a keeper with its place in the order in which a job is offered.
type rankedKeeper struct {
	keeper *PeerState
	rank   float64
}

// tryKeeper asks one keeper; it returns nil if another may be asked because nothing has run.
func (r *route) tryKeeper(ctx context.Context, keeper *PeerState) *cell.Answer {
	r.tried = append(r.tried, keeper.Name)
	request := *r.request
	request.KeeperIncarnation = keeper.Incarnation
	response, err := r.home.call(ctx, r.home.options.Name, keeper, &request)
	switch {
	case err == nil && response.Declined:
		r.declineReason = response.Reason
		return nil
	case err == nil:
		return &cell.Answer{Outcome: response.Outcome, Reason: response.Reason, RetryAfter: time.Duration(response.RetryAfter)}
	case errors.Is(err, peer.ErrUnreachable):
		return nil
	default:
		r.home.common.Log.WithField("job", r.submission.ID).WithField("keeper", keeper.Name).WithError(err).Warn("call to the keeper failed; the job is abandoned")
		return &cell.Answer{Outcome: cell.Abandoned, Reason: "lost the keeper: " + errors.Cause(err).Error()}
	}
}
