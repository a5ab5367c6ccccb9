package share

import "time"

const (
	// regimeWindow smooths what is offered and refused.
	regimeWindow = 200 * time.Millisecond
	// enterRatio is the ratio of what is offered to what is served from which on a shortage begins.
	enterRatio = 1.1
	// enterRefusals is the least number of refusals within the window, without which the rest only waits.
	enterRefusals = 1
	// enterDelay outlasts a crest of 100 ms and the time in which it fades.
	enterDelay = 400 * time.Millisecond
	// leavePart is the part of the offered work that is refused below which a shortage ends: single jobs that find no room.
	leavePart = 0.1
	// leaveRefusals is the number of refusals within the window below which it ends, also when nothing is offered any more.
	leaveRefusals = 0.5
	// leaveDelay keeps a pause between two crests from ending a shortage.
	leaveDelay = 200 * time.Millisecond
)

// Change is a change of the regime.
type Change struct {
	Short    bool
	Offered  float64 // core-seconds a second
	Served   float64
	At       time.Time
	Duration time.Duration // of the shortage that has ended
}

// regime tells a shortage from a short crest.
type regime struct {
	offered, refused, refusals decaying

	short   bool
	since   time.Time // since when the opposite holds; zero if it does not
	beganAt time.Time
	change  Change
	changed bool
}

func newRegime() regime {
	return regime{
		offered:  decaying{window: regimeWindow},
		refused:  decaying{window: regimeWindow},
		refusals: decaying{window: regimeWindow},
	}
}

func (r *regime) offer(work float64, now time.Time) {
	r.offered.add(work, now)
}

func (r *regime) refuse(work float64, now time.Time) {
	r.refused.add(work, now)
	r.refusals.add(1, now)
}

// advance begins or ends a shortage, and reports whether it did.
func (r *regime) advance(offered, served float64, now time.Time) bool {
	delay := enterDelay
	if r.short {
		delay = leaveDelay
	}
	switch {
	case !r.isOpposite(offered, served, now):
		r.since = time.Time{}
		return false
	case r.since.IsZero():
		r.since = now
	}
	if now.Sub(r.since) < delay {
		return false
	}
	r.short = !r.short
	r.since = time.Time{}
	r.change = Change{Short: r.short, Offered: offered, Served: served, At: now}
	if r.short {
		r.beganAt = now
	} else {
		r.change.Duration = now.Sub(r.beganAt)
	}
	r.changed = true
	return true
}

// isOpposite reports whether what is offered, served and refused now speaks against the regime in force.
func (r *regime) isOpposite(offered, served float64, now time.Time) bool {
	if r.short {
		return r.refused.sum(now) <= leavePart*r.offered.sum(now) || r.refusals.sum(now) < leaveRefusals
	}
	return offered > enterRatio*served && r.refusals.sum(now) >= enterRefusals
}
