package lending

import (
	"cmp"
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

const (
	// typicalRunTime is the run time against which the round trip to a lender is weighed.
	typicalRunTime = 300 * time.Millisecond
	// offerMaxAge is the age up to which an offer is used; other hosts take the fastest slots within that time.
	offerMaxAge = 20 * time.Millisecond
	// slownessTolerance is the ratio by which the measured slowness of two back ends may differ by chance.
	// A lender may grant slots slower than the next best lender's by up to this ratio.
	slownessTolerance = 1.1
	// blockedDelay is how long a group requests no slots after its queue could not use granted ones.
	blockedDelay = 50 * time.Millisecond
	// assumedFreeSlots is the number of free slots assumed at a lender without a current offer.
	assumedFreeSlots = 1
	// initialSlowness is the slowness assumed at a lender without a current offer until there are grants.
	initialSlowness = 1.02
	// slownessMargin is a factor on the typical slowness: an offered slot of typical speed is preferred to an assumed one,
	// a slow one is not.
	slownessMargin = 1.02
	// slownessQuantile is the quantile of the granted slowness that is tracked; slownessStep scales its steps.
	slownessQuantile = 0.9
	slownessStep     = 0.05
	// releaseSpeedup is how much faster an offered slot must be for an idle one to be returned at once.
	releaseSpeedup = 1.1
)

// Call is a borrow request to one lender.
type Call struct {
	Lender  string
	Request *BorrowRequest
}

// source is a number of slots of one speed that a lender offers or is assumed to have free.
type source struct {
	lender   *lenderState
	cost     float64 // slowness plus the penalty for the round trip
	slowness float64
	free     int
	assumed  bool // there is no current offer; the lender may have none free
}

// Plan returns the borrow requests to send now, at most one pending per lender.
func (b *Borrower) Plan(now time.Time) []Call {
	b.expireLoans(now)
	b.giveBack(now)
	requests := map[*lenderState]*BorrowRequest{}
	for _, group := range b.board.Groups {
		if !now.Before(b.blockedUntil[group.Name]) {
			b.planGroup(group, requests, now)
		}
	}
	calls := make([]Call, 0, len(b.order))
	for _, lender := range b.order {
		request := requests[lender]
		if request == nil && !b.requestDue(lender, now) {
			continue
		}
		if lender.requestPending || now.Before(lender.retryAt) {
			continue
		}
		calls = append(calls, Call{Lender: lender.Name, Request: b.fill(lender, request, now)})
	}
	return calls
}

// Settle is called after granted slots were offered to the group's queue.
// Slots that stay free while work waits don't suit it, and the group requests no more for blockedDelay.
func (b *Borrower) Settle(group *blackboard.Group, now time.Time) {
	if group.Queue.Len() == 0 {
		return
	}
	for name := range b.holders {
		backend, ok := group.Backends[name]
		if ok && !backend.Ejected && backend.Free(now) > 0 {
			b.blockedUntil[group.Name] = now.Add(blockedDelay)
			return
		}
	}
}

// requestDue reports whether a request without new demand is due, to return slots or to renew.
func (b *Borrower) requestDue(lender *lenderState, now time.Time) bool {
	if len(lender.returns) > 0 {
		return true
	}
	holds := len(lender.held) > 0
	for _, count := range lender.registered {
		holds = holds || count > 0
	}
	return holds && now.Sub(lender.lastRequest) >= b.options.Renew
}

// fill completes the request with returned slots and, after a failure or for a renewal, with all holdings.
func (b *Borrower) fill(lender *lenderState, request *BorrowRequest, now time.Time) *BorrowRequest {
	if request == nil {
		request = &BorrowRequest{}
	}
	b.repeatDemand(lender, request)
	request.Host = b.options.Host
	request.Incarnation = b.options.Incarnation
	for name, slots := range lender.returns {
		holding := Holding{Backend: name, Slots: slots}
		if backend := b.backend(name); backend != nil {
			holding.Slowness = backend.Slowness
		}
		request.Returned = append(request.Returned, holding)
	}
	clear(lender.returns)
	if lender.reportAll || now.Sub(lender.lastRequest) >= b.options.Renew {
		request.Full = true
		lender.reportAll = false
		lender.epoch++
		for name, slots := range lender.held {
			request.Held = append(request.Held, Holding{Backend: name, Slots: slots})
		}
	}
	for i := range request.Demands {
		request.Demands[i].Avoid = ejected(b.board.Groups[request.Demands[i].Requirements.Group])
	}
	request.Epoch = lender.epoch
	lender.requestPending = true
	return request
}

// repeatDemand repeats the demand registered at the lender, since each request replaces it.
func (b *Borrower) repeatDemand(lender *lenderState, request *BorrowRequest) {
	for _, group := range b.board.Groups {
		count := min(lender.registered[group.Name], group.Queue.Len())
		if count > 0 && !demandsGroup(request, group.Name) {
			requirements := queuedDemands(group)[0].Requirements
			request.Demands = append(request.Demands, Demand{Requirements: requirements, Count: count, MayWait: count})
		}
	}
}

// ejected returns the names of the group's ejected back ends, which get only probes.
func ejected(group *blackboard.Group) []string {
	var names []string
	for name, backend := range group.Backends {
		if backend.Ejected {
			names = append(names, name)
		}
	}
	return names
}

func demandsGroup(request *BorrowRequest, group string) bool {
	return slices.ContainsFunc(request.Demands, func(demand Demand) bool { return demand.Requirements.Group == group })
}

// planGroup spreads the group's demand over the lenders, fastest free slots first; the rest is registered at lenders.
func (b *Borrower) planGroup(group *blackboard.Group, requests map[*lenderState]*BorrowRequest, now time.Time) {
	for _, queued := range queuedDemands(group) {
		left := queued.count - b.pendingDemand(group)
		if left <= 0 {
			continue
		}
		sources := b.sources(group.Name, now)
		for i, source := range sources {
			if left <= 0 {
				break
			}
			count := min(left, source.free)
			source.lender.assumed = source.assumed
			addDemand(requests, source.lender, &queued.Requirements, count, limitAfter(sources, i))
			left -= count
		}
		if left > 0 {
			b.registerDemand(group, &queued.Requirements, left, requests)
		}
	}
}

// queuedDemand is a number of queued tasks with the same requirements.
type queuedDemand struct {
	Requirements
	count int
}

// queuedDemands returns the queued tasks of the group by their requirements.
func queuedDemands(group *blackboard.Group) []queuedDemand {
	if group.Queue.Len() == 0 {
		return nil
	}
	wants := make([]queuedDemand, 0, len(group.Demands))
	for _, demand := range group.Demands {
		wants = append(wants, queuedDemand{Requirements{Group: group.Name, Need: demand.Need, FailureDomains: demand.FailureDomains}, demand.Tasks})
	}
	return wants
}

// pendingDemand returns the number of tasks of the group for which requests are pending.
func (b *Borrower) pendingDemand(group *blackboard.Group) int {
	count := 0
	for _, lender := range b.order {
		if lender.requestPending {
			count += lender.registered[group.Name]
		}
	}
	return count
}

// sources returns the free slots that lenders without a pending request offer or are assumed to have, best first.
func (b *Borrower) sources(group string, now time.Time) []source {
	var sources []source
	for _, lender := range b.order {
		if lender.requestPending || now.Before(lender.retryAt) || !b.serves(lender, group) {
			continue
		}
		penalty := lender.RoundTrip.Seconds() / typicalRunTime.Seconds()
		known := now.Sub(lender.lastRequest) < offerMaxAge
		if lender.Name == b.options.Host {
			known = true
			lender.offers[group] = b.local.offersOf(group, now)
		}
		if !known && lender.registered[group] == 0 {
			sources = append(sources, source{lender: lender, cost: b.estimateSlowness(group) + penalty, free: assumedFreeSlots, assumed: true})
			continue
		}
		for _, offer := range lender.offers[group] {
			if offer.Free > 0 {
				sources = append(sources, source{lender: lender, cost: offer.Slowness + penalty, slowness: offer.Slowness, free: offer.Free})
			}
		}
	}
	slices.SortStableFunc(sources, func(a, b source) int { return cmp.Compare(a.cost, b.cost) })
	return sources
}

// estimateSlowness returns the slowness assumed for a slot of a lender without a current offer.
func (b *Borrower) estimateSlowness(group string) float64 {
	typical, ok := b.typicalSlowness[group]
	if !ok {
		return initialSlowness
	}
	return typical * slownessMargin
}

// updateTypicalSlowness moves the typical slowness towards its quantile by one granted slot.
func (b *Borrower) updateTypicalSlowness(group string, granted float64) {
	typical, ok := b.typicalSlowness[group]
	switch {
	case !ok:
		b.typicalSlowness[group] = granted
	case granted > typical:
		b.typicalSlowness[group] = typical + slownessStep*slownessQuantile
	default:
		b.typicalSlowness[group] = typical - slownessStep*(1-slownessQuantile)
	}
}

// serves reports whether the lender's failure domain has back ends of the group.
func (b *Borrower) serves(lender *lenderState, group string) bool {
	return b.domains == nil || b.domains[group][lender.FailureDomain]
}

// limitAfter returns the slowness above which the next best lender is clearly better, or zero when there is none.
func limitAfter(sources []source, i int) float64 {
	for _, next := range sources[i+1:] {
		if next.lender != sources[i].lender {
			return max(next.cost, sources[i].slowness) * slownessTolerance
		}
	}
	return 0
}

// registerDemand spreads demand without free slots over all lenders, which grant it when slots are returned.
func (b *Borrower) registerDemand(group *blackboard.Group, requirements *Requirements, left int, requests map[*lenderState]*BorrowRequest) {
	serving := 0
	for _, lender := range b.order {
		if b.serves(lender, group.Name) {
			serving++
		}
	}
	share := (left + serving - 1) / max(1, serving)
	for _, lender := range b.order {
		registered := lender.registered[group.Name]
		if lender.requestPending || !b.serves(lender, group.Name) || (registered > 0 && registered*2 >= share && share*2 >= registered) {
			continue
		}
		demand := addDemand(requests, lender, requirements, share, 0)
		demand.MayWait = share
	}
}

// addDemand adds demand to the lender's request.
func addDemand(requests map[*lenderState]*BorrowRequest, to *lenderState, requirements *Requirements, count int, limit float64) *Demand {
	request := requests[to]
	if request == nil {
		request = &BorrowRequest{}
		requests[to] = request
	}
	to.registered[requirements.Group] = count
	for i := range request.Demands {
		demand := &request.Demands[i]
		if demand.Requirements.Group == requirements.Group && demand.Requirements.Need == requirements.Need && slices.Equal(demand.Requirements.FailureDomains, requirements.FailureDomains) {
			demand.Count += count
			demand.Limit = limit
			to.registered[requirements.Group] = demand.Count
			return demand
		}
	}
	request.Demands = append(request.Demands, Demand{Requirements: *requirements, Count: count, Limit: limit})
	return &request.Demands[len(request.Demands)-1]
}
