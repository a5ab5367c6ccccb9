package cellhost

import (
	"context"
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
	refusal    *cell.Answer
}

// run asks the keepers for room at once, this place's first, and then lets the job wait in this place.
func (r *route) run(ctx context.Context) *cell.Answer {
	ctx, cancel := context.WithTimeout(ctx, r.submission.Deadline.Add(answerMargin).Sub(r.home.common.Clock.Now()))
	defer cancel()
	keepers := r.home.keepers(r.submission.Queue.Group)
	if len(keepers) == 0 {
		return &cell.Answer{Outcome: cell.Refused, Reason: "no keeper of workers is known", Retry: noKeeperRetry}
	}
	for i := range keepers {
		if i > 0 && free(&keepers[i], r.submission.Queue.Group) < len(r.submission.Tasks) {
			continue
		}
		if answer := r.try(ctx, &keepers[i], true); answer != nil {
			return answer
		}
	}
	for i := range keepers {
		if answer := r.try(ctx, &keepers[i], false); answer != nil {
			return answer
		}
		if r.refusal != nil {
			return r.refusal
		}
	}
	return &cell.Answer{Outcome: cell.Refused, Reason: "no keeper took the job", Retry: noKeeperRetry}
}

// try asks one keeper, and returns nil when another may be asked because nothing has run.
func (r *route) try(ctx context.Context, keeper *Neighbour, nowOnly bool) *cell.Answer {
	r.tried = append(r.tried, keeper.Name)
	request := *r.request
	request.Keeper = keeper.Incarnation
	request.NowOnly = nowOnly
	response, err := r.home.call(ctx, keeper, &request)
	switch {
	case err == nil && response.Declined:
		return nil
	case err == nil && response.Outcome == cell.Refused:
		r.refusal = &cell.Answer{Outcome: cell.Refused, Reason: response.Reason, Retry: time.Duration(response.Retry)}
		return nil
	case err == nil:
		return &cell.Answer{Outcome: response.Outcome, Reason: response.Reason, Retry: time.Duration(response.Retry)}
	case errors.Is(err, peer.ErrUnreached):
		return nil
	default:
		r.home.common.Log.WithField("job", r.submission.ID).WithField("keeper", keeper.Name).WithError(err).Warn("lost the keeper of a job")
		return &cell.Answer{Outcome: cell.Abandoned, Reason: "lost the keeper: " + errors.Cause(err).Error()}
	}
}
