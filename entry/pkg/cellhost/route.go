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

// route takes one job from keeper to keeper until one takes it.
type route struct {
	home       *HomeController
	submission *Submission
	request    *peer.RunRequest
	tried      []string // keepers that were asked
	declined   string   // why the last one did not take the job
}

// run hands the job to a keeper of this place, or to another one where this place has none that takes it.
func (r *route) run(ctx context.Context) *cell.Answer {
	ctx, cancel := context.WithTimeout(ctx, r.submission.Deadline.Add(answerMargin).Sub(r.home.common.Clock.Now()))
	defer cancel()
	for _, keeper := range r.order(r.punctual(r.awaitKeepers(ctx))) {
		if answer := r.try(ctx, &keeper); answer != nil {
			return answer
		}
	}
	reason := "no keeper of workers took the job"
	if r.declined != "" {
		reason += ": " + r.declined
	}
	return &cell.Answer{Outcome: cell.Refused, Reason: reason, RetryAfter: noKeeperRetry}
}

// awaitKeepers returns the keepers that are known. While there is none but one is to be expected, it waits as long as the job
// could still end in time.
func (r *route) awaitKeepers(ctx context.Context) []PeerState {
	clock := r.home.common.Clock
	for {
		keepers := r.home.keepers()
		due := r.home.isKeeperDue(len(keepers))
		if !due || clock.Now().Add(r.submission.longest()).After(time.Unix(0, r.request.Objective)) {
			return keepers
		}
		select {
		case <-ctx.Done():
			return nil
		case <-clock.After(keeperPoll):
		}
	}
}

// punctual leaves keepers that fall behind out for as large a part of the jobs as they have to turn away.
func (r *route) punctual(keepers []PeerState) []PeerState {
	return slices.DeleteFunc(keepers, func(keeper PeerState) bool {
		shed := shouldShed(keeper.ShedFraction)
		if shed {
			r.declined = "the keeper falls behind"
		}
		return shed
	})
}

// order puts the keepers of this place first, each group by chance weighted with the room that the keepers told of, so that not all homes turn to the same one.
func (r *route) order(keepers []PeerState) []PeerState {
	keys := make(map[string]float64, len(keepers))
	for i := range keepers {
		room := float64(free(&keepers[i], r.submission.Queue.Group) + 1)
		keys[keepers[i].Name] = math.Pow(rand.Float64(), 1/room)
		if keepers[i].FailureDomain == r.home.options.FailureDomain {
			keys[keepers[i].Name] += 2
		}
		if keepers[i].Leaving {
			keys[keepers[i].Name]-- // after those that stay
		}
	}
	slices.SortFunc(keepers, func(a, b PeerState) int { return cmp.Compare(keys[b.Name], keys[a.Name]) })
	return keepers
}

// try asks one keeper, and returns nil when another may be asked because nothing has run.
func (r *route) try(ctx context.Context, keeper *PeerState) *cell.Answer {
	r.tried = append(r.tried, keeper.Name)
	request := *r.request
	request.KeeperIncarnation = keeper.Incarnation
	response, err := r.home.call(ctx, r.home.options.Name, keeper, &request)
	switch {
	case err == nil && response.Declined:
		r.declined = response.Reason
		return nil
	case err == nil:
		return &cell.Answer{Outcome: response.Outcome, Reason: response.Reason, RetryAfter: time.Duration(response.RetryAfter)}
	case errors.Is(err, peer.ErrUnreachable):
		return nil
	default:
		r.home.common.Log.WithField("job", r.submission.ID).WithField("keeper", keeper.Name).WithError(err).Warn("lost the keeper of a job")
		return &cell.Answer{Outcome: cell.Abandoned, Reason: "lost the keeper: " + errors.Cause(err).Error()}
	}
}
