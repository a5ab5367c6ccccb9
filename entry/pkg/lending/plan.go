package lending

import (
	"cmp"
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

const (
	// usualRun is the run time against which the distance of a keeper is weighed.
	usualRun = 300 * time.Millisecond
	// offerAge is how long an offer is believed; others take the fastest slots within that time.
	offerAge = 20 * time.Millisecond
	// alike is how far the learnt slowness of two back ends may differ by chance: a keeper lends slots that much slower than the next best keeper's.
	alike = 1.1
	// blockedDelay is how long a group does not ask after slots came that its queue could not use.
	blockedDelay = 50 * time.Millisecond
	// unknownFree is how many free slots are hoped for at a keeper that has not been asked lately.
	unknownFree = 1
	// firstHope is the slowness that is hoped for at a keeper that has not been asked lately, until grants show what is usual.
	firstHope = 1.02
	// hopeMargin is added to the usual slowness, so that a known slot of that speed is better and a slow one is not.
	hopeMargin = 1.02
	// usualShare is the share of grants that the usual slowness covers, and usualStep how fast it follows them.
	usualShare = 0.9
	usualStep  = 0.05
	// faster is how much faster a free slot elsewhere must be for an idle one to go back at once.
	faster = 1.1
)

// Call is an ask for one lender.
type Call struct {
	Lender  string
	Request *BorrowRequest
}

// source is a number of slots of one speed that a lender may have free.
type source struct {
	lender *lenderState
	cost   float64 // slowness, with the distance added
	slow   float64
	free   int
	hoped  bool // nothing is known; it may have none
}

// Plan returns the asks that are to be sent now; each lender is asked by one call at a time.
func (b *Borrower) Plan(now time.Time) []Call {
	b.lapse(now)
	b.giveBack(now)
	asks := map[*lenderState]*BorrowRequest{}
	for _, group := range b.board.Groups {
		if !now.Before(b.blocked[group.Name]) {
			b.planGroup(group, asks, now)
		}
	}
	calls := make([]Call, 0, len(b.order))
	for _, lender := range b.order {
		ask := asks[lender]
		if ask == nil && !b.due(lender, now) {
			continue
		}
		if lender.calling || now.Before(lender.down) {
			continue
		}
		calls = append(calls, Call{Lender: lender.Name, Request: b.fill(lender, ask, now)})
	}
	return calls
}

// Settle is called after granted slots were offered to the group's queue; when slots stay free though work waits, they do not suit it, and the group asks for no more for a while.
func (b *Borrower) Settle(group *blackboard.Group, now time.Time) {
	if group.Queue.Len() == 0 {
		return
	}
	for name := range b.holders {
		backend, ok := group.Backends[name]
		if ok && !backend.Ejected && backend.Free(now) > 0 {
			b.blocked[group.Name] = now.Add(blockedDelay)
			return
		}
	}
}

// due reports whether the lender is to be told something though nothing is needed.
func (b *Borrower) due(lender *lenderState, now time.Time) bool {
	if len(lender.returns) > 0 {
		return true
	}
	holds := len(lender.held) > 0
	for _, count := range lender.told {
		holds = holds || count > 0
	}
	return holds && now.Sub(lender.asked) >= b.options.Renew
}

// fill completes the ask with what goes back and, after a failure or for a renewal, with all holdings.
func (b *Borrower) fill(lender *lenderState, ask *BorrowRequest, now time.Time) *BorrowRequest {
	if ask == nil {
		ask = &BorrowRequest{}
	}
	b.repeatDemand(lender, ask)
	ask.Host = b.options.Host
	ask.Incarnation = b.options.Incarnation
	for name, slots := range lender.returns {
		holding := Holding{Backend: name, Slots: slots}
		if backend := b.backend(name); backend != nil {
			holding.Slowness = backend.Slowness
		}
		ask.Returned = append(ask.Returned, holding)
	}
	clear(lender.returns)
	if lender.full || now.Sub(lender.asked) >= b.options.Renew {
		ask.Full = true
		lender.full = false
		lender.epoch++
		for name, slots := range lender.held {
			ask.Held = append(ask.Held, Holding{Backend: name, Slots: slots})
		}
	}
	for i := range ask.Demands {
		ask.Demands[i].Avoid = ejected(b.board.Groups[ask.Demands[i].Requirements.Group])
	}
	ask.Epoch = lender.epoch
	lender.calling = true
	return ask
}

// repeatDemand keeps the demand that the keeper remembers alive: each ask replaces it.
func (b *Borrower) repeatDemand(lender *lenderState, ask *BorrowRequest) {
	for _, group := range b.board.Groups {
		count := min(lender.told[group.Name], group.Queue.Len())
		if count > 0 && !asksFor(ask, group.Name) {
			want := wantsOf(group)[0].Requirements
			ask.Demands = append(ask.Demands, Demand{Requirements: want, Count: count, MayWait: count})
		}
	}
}

// ejected returns the names of the group's back ends that get no work but probes.
func ejected(group *blackboard.Group) []string {
	var names []string
	for name, backend := range group.Backends {
		if backend.Ejected {
			names = append(names, name)
		}
	}
	return names
}

func asksFor(ask *BorrowRequest, group string) bool {
	return slices.ContainsFunc(ask.Demands, func(demand Demand) bool { return demand.Requirements.Group == group })
}

// planGroup spreads the group's demand over the lenders, the fastest free slots first; what finds none waits at keepers.
func (b *Borrower) planGroup(group *blackboard.Group, asks map[*lenderState]*BorrowRequest, now time.Time) {
	for _, want := range wantsOf(group) {
		left := want.count - b.underWay(group)
		if left <= 0 {
			continue
		}
		sources := b.sources(group.Name, now)
		for i, source := range sources {
			if left <= 0 {
				break
			}
			count := min(left, source.free)
			source.lender.hoped = source.hoped
			add(asks, source.lender, &want.Requirements, count, limitAfter(sources, i))
			left -= count
		}
		if left > 0 {
			b.wait(group, &want.Requirements, left, asks)
		}
	}
}

// wanted is a number of waiting tasks of one kind.
type wanted struct {
	Requirements
	count int
}

// wantsOf returns the waiting work of the group by the room that it needs.
func wantsOf(group *blackboard.Group) []wanted {
	if group.Queue.Len() == 0 {
		return nil
	}
	wants := make([]wanted, 0, len(group.Demands))
	for _, room := range group.Demands {
		wants = append(wants, wanted{Requirements{Group: group.Name, Need: room.Need, FailureDomains: room.FailureDomains}, room.Tasks})
	}
	return wants
}

// underWay counts the tasks of the group that an ask on its way has asked for.
func (b *Borrower) underWay(group *blackboard.Group) int {
	count := 0
	for _, lender := range b.order {
		if lender.calling {
			count += lender.told[group.Name]
		}
	}
	return count
}

// sources lists what the lenders that can be asked now may have free, the best first.
func (b *Borrower) sources(group string, now time.Time) []source {
	var sources []source
	for _, lender := range b.order {
		if lender.calling || now.Before(lender.down) || !b.serves(lender, group) {
			continue
		}
		penalty := lender.RoundTrip.Seconds() / usualRun.Seconds()
		known := now.Sub(lender.asked) < offerAge
		if lender.Name == b.options.Host {
			known = true
			lender.offers[group] = b.local.offersOf(group, now)
		}
		if !known && lender.told[group] == 0 {
			sources = append(sources, source{lender: lender, cost: b.hope(group) + penalty, free: unknownFree, hoped: true})
			continue
		}
		for _, offer := range lender.offers[group] {
			if offer.Free > 0 {
				sources = append(sources, source{lender: lender, cost: offer.Slowness + penalty, slow: offer.Slowness, free: offer.Free})
			}
		}
	}
	slices.SortStableFunc(sources, func(a, b source) int { return cmp.Compare(a.cost, b.cost) })
	return sources
}

// hope returns the slowness that most of the slots granted lately kept within.
func (b *Borrower) hope(group string) float64 {
	usual, ok := b.usual[group]
	if !ok {
		return firstHope
	}
	return usual * hopeMargin
}

// learnUsual moves the usual slowness towards the quantile of what is granted.
func (b *Borrower) learnUsual(group string, granted float64) {
	usual, ok := b.usual[group]
	switch {
	case !ok:
		b.usual[group] = granted
	case granted > usual:
		b.usual[group] = usual + usualStep*usualShare
	default:
		b.usual[group] = usual - usualStep*(1-usualShare)
	}
}

// serves reports whether the lender's place has back ends of the group.
func (b *Borrower) serves(lender *lenderState, group string) bool {
	return b.places == nil || b.places[group][lender.FailureDomain]
}

// limitAfter returns the slowness from which on the next best lender is clearly better; zero when there is none.
func limitAfter(sources []source, i int) float64 {
	for _, next := range sources[i+1:] {
		if next.lender != sources[i].lender {
			return max(next.cost, sources[i].slow) * alike
		}
	}
	return 0
}

// wait spreads demand that nothing is free for over all keepers, which grant when slots come back.
func (b *Borrower) wait(group *blackboard.Group, want *Requirements, left int, asks map[*lenderState]*BorrowRequest) {
	serving := 0
	for _, lender := range b.order {
		if b.serves(lender, group.Name) {
			serving++
		}
	}
	share := (left + serving - 1) / max(1, serving)
	for _, lender := range b.order {
		told := lender.told[group.Name]
		if lender.calling || !b.serves(lender, group.Name) || (told > 0 && told*2 >= share && share*2 >= told) {
			continue
		}
		demand := add(asks, lender, want, share, 0)
		demand.MayWait = share
	}
}

// add puts demand into the lender's ask.
func add(asks map[*lenderState]*BorrowRequest, to *lenderState, want *Requirements, count int, limit float64) *Demand {
	ask := asks[to]
	if ask == nil {
		ask = &BorrowRequest{}
		asks[to] = ask
	}
	to.told[want.Group] = count
	for i := range ask.Demands {
		demand := &ask.Demands[i]
		if demand.Requirements.Group == want.Group && demand.Requirements.Need == want.Need && slices.Equal(demand.Requirements.FailureDomains, want.FailureDomains) {
			demand.Count += count
			demand.Limit = limit
			to.told[want.Group] = demand.Count
			return demand
		}
	}
	ask.Demands = append(ask.Demands, Demand{Requirements: *want, Count: count, Limit: limit})
	return &ask.Demands[len(ask.Demands)-1]
}
