package share

import (
	"slices"
	"strings"
	"time"
)

const (
	// queueWindow smooths what a queue offers; a queue with some jobs a second is seen within it.
	queueWindow = 500 * time.Millisecond
	// capacityWindow smooths the work in progress, which is what the workers can do while the group is short. A longer one
	// would take the start of a crest for a shortage.
	capacityWindow = 100 * time.Millisecond
	// divideInterval is the time between two divisions.
	divideInterval = 50 * time.Millisecond
	// creditWindow bounds how long a queue may save its share for, so that what it left idle does not come back as a burst.
	creditWindow = 200 * time.Millisecond
	// debtWindow bounds how long a queue pays for one job that is larger than its share.
	debtWindow = time.Second
	// idleWindow is how long a queue without jobs is remembered.
	idleWindow = 5 * time.Second
)

// Ledger holds what the queues of a group of workers offer and are owed. Work is in core-seconds.
type Ledger struct {
	regime    regime
	capacity  level
	queues    map[string]*account
	dividedAt time.Time
}

// account is one queue's.
type account struct {
	priority int
	offered  decaying
	rate     float64 // of work that it may have
	whole    bool    // that is all that it offers
	credit   float64 // work that it may start within its share
	seenAt   time.Time
}

// New returns a ledger without queues.
func New() *Ledger {
	return &Ledger{regime: newRegime(), capacity: level{window: capacityWindow}, queues: map[string]*account{}}
}

// Offer records a job's work.
func (l *Ledger) Offer(queue string, priority int, work float64, now time.Time) {
	found, ok := l.queues[queue]
	if !ok {
		found = &account{offered: decaying{window: queueWindow}}
		l.queues[queue] = found
	}
	found.priority = priority
	found.seenAt = now
	found.offered.add(work, now)
	l.regime.offer(work, now)
}

// Refuse records that a job that was offered is not served in time.
func (l *Ledger) Refuse(work float64, now time.Time) {
	l.regime.refuse(work, now)
}

// Rank is where a job stands in the order under shortage; lower ones start first.
type Rank int

// Ranks.
const (
	Whole  Rank = iota // its queue may have all that it offers
	Within             // its queue offers more than its share, which covers the job
	Beyond             // its queue has used up its share
)

// String returns the rank as logs and metrics show it.
func (r Rank) String() string {
	return [...]string{"whole", "within", "beyond"}[r]
}

// Rank returns the rank of the next job of the queue. It is the first one for all while the group is not short.
func (l *Ledger) Rank(queue string, now time.Time) Rank {
	found, ok := l.queues[queue]
	switch {
	case !l.regime.short || !ok || found.whole:
		return Whole
	case l.creditOf(found, now) >= 0:
		return Within
	default:
		return Beyond
	}
}

// Charge takes a job's work from the queue's credit; a negative amount gives it back.
func (l *Ledger) Charge(queue string, work float64) {
	if found, ok := l.queues[queue]; ok {
		found.credit = max(found.credit-work, -debtWindow.Seconds()*found.rate)
	}
}

// creditOf returns the queue's credit with what it has earned since the last division.
func (l *Ledger) creditOf(found *account, now time.Time) float64 {
	return min(found.credit+found.rate*now.Sub(l.dividedAt).Seconds(), creditWindow.Seconds()*found.rate)
}

// Advance records the work in progress, in cores, and renews the regime and the division.
func (l *Ledger) Advance(busy float64, now time.Time) {
	l.capacity.read(busy, now)
	if l.regime.advance(l.offeredRate(now), l.capacity.value, now) {
		l.reset()
	} else if now.Sub(l.dividedAt) < divideInterval {
		return
	}
	l.forgetIdle(now)
	if l.regime.short {
		l.divide(now)
	}
	l.dividedAt = now
}

// reset drops what the queues were owed in an earlier shortage.
func (l *Ledger) reset() {
	for _, found := range l.queues {
		found.rate, found.credit, found.whole = 0, 0, false
	}
}

func (l *Ledger) forgetIdle(now time.Time) {
	for name, found := range l.queues {
		if now.Sub(found.seenAt) > idleWindow {
			delete(l.queues, name)
		}
	}
}

func (l *Ledger) divide(now time.Time) {
	demands := make([]Demand, 0, len(l.queues))
	for name, found := range l.queues {
		found.credit = l.creditOf(found, now)
		demands = append(demands, Demand{Queue: name, Priority: found.priority, Rate: found.offered.rate(now)})
	}
	slices.SortFunc(demands, func(a, b Demand) int { return strings.Compare(a.Queue, b.Queue) })
	rates := Divide(l.capacity.value, demands)
	for _, demand := range demands {
		found := l.queues[demand.Queue]
		found.rate = rates[demand.Queue]
		found.whole = found.rate >= (1-1e-9)*demand.Rate
	}
}

func (l *Ledger) offeredRate(now time.Time) float64 {
	rate := 0.0
	for _, found := range l.queues {
		rate += found.offered.rate(now)
	}
	return rate
}

// IsShort reports whether less is served than offered, for so long that it is no short crest.
func (l *Ledger) IsShort() bool {
	return l.regime.short
}

// Change returns the last change of the regime that was not returned yet.
func (l *Ledger) Change() (Change, bool) {
	changed := l.regime.changed
	l.regime.changed = false
	return l.regime.change, changed
}
