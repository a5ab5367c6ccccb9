package lending

import (
	"cmp"
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// maxOffers is the maximum number of offers, one per speed, for each group.
const maxOffers = 4

// Lender lends the slots of the back ends that this host owns.
type Lender struct {
	length    time.Duration // of a loan
	margin    time.Duration // additional time before slots of expired loans are lent again
	grace     time.Duration // time a new lender waits for borrowers to report their holdings
	backends  map[string]*lentBackend
	groups    map[string][]*lentBackend // fastest first
	borrowers map[string]*borrowerState
}

// lentBackend is a back end whose slots this host lends.
type lentBackend struct {
	backend          *blackboard.Backend
	lent             int
	lendableFrom     time.Time // its slots are not lent before this time
	reportedSlowness float64   // moving average of the slowness reported by borrowers; zero without a report
}

// borrowerState is a host that borrows slots.
type borrowerState struct {
	name        string
	incarnation string
	epoch       uint64
	loansUntil  time.Time
	held        map[string]int
	waiting     []Demand
	lastRequest time.Time
}

// NewLender returns a lender without back ends.
func NewLender(length, margin, grace time.Duration) *Lender {
	return &Lender{
		length: length, margin: margin, grace: grace,
		backends:  map[string]*lentBackend{},
		groups:    map[string][]*lentBackend{},
		borrowers: map[string]*borrowerState{},
	}
}

// Update sets the back ends that this host owns; settled means that no earlier lender can have lent their slots.
func (k *Lender) Update(owned []*blackboard.Backend, settled bool, now time.Time) {
	previous := k.backends
	k.backends = make(map[string]*lentBackend, len(owned))
	k.groups = map[string][]*lentBackend{}
	for _, backend := range owned {
		entry, ok := previous[backend.Name]
		if !ok {
			entry = &lentBackend{lendableFrom: now}
			if !settled {
				entry.lendableFrom = now.Add(k.grace)
			}
		}
		entry.backend = backend
		k.backends[backend.Name] = entry
		k.groups[backend.Group] = append(k.groups[backend.Group], entry)
	}
	for _, borrower := range k.borrowers {
		for name := range borrower.held {
			if _, ok := k.backends[name]; !ok {
				delete(borrower.held, name)
			}
		}
	}
	for _, group := range k.groups {
		sortBySpeed(group)
	}
}

// Serve processes a host's returns, holdings and demand, and grants free slots.
func (k *Lender) Serve(request *BorrowRequest, now time.Time) *BorrowResponse {
	from := k.borrower(request)
	from.loansUntil = now.Add(k.length + k.margin)
	from.lastRequest = now
	k.releaseReturned(from, request.Returned)
	if request.Full {
		k.replaceHoldings(from, request)
	}
	response := &BorrowResponse{Length: k.length}
	from.waiting = from.waiting[:0]
	for _, demand := range request.Demands {
		left := demand.Count - k.lend(from, &demand, demand.Count, &response.Granted, now)
		if waiting := min(left, demand.MayWait); waiting > 0 {
			demand.Count = waiting
			from.waiting = append(from.waiting, demand)
		}
	}
	response.Offers = k.offers(request, now)
	response.Recalls = append(k.recalls(from), k.shrinkRecalls(from)...)
	response.Terms = k.terms(from, request.Full, response.Granted, now)
	return response
}

// Pushes grants returned slots to the waiting hosts, in the order of the most demand per slot held.
func (k *Lender) Pushes(lender string, now time.Time) []PushRequest {
	var pushes []PushRequest
	for _, waiting := range k.waiters() {
		push := PushRequest{Host: waiting.name, Lender: lender, Epoch: waiting.epoch}
		for i := range waiting.waiting {
			demand := &waiting.waiting[i]
			demand.Count -= k.lend(waiting, demand, demand.Count, &push.Granted, now)
		}
		waiting.waiting = slices.DeleteFunc(waiting.waiting, func(demand Demand) bool { return demand.Count <= 0 })
		if len(push.Granted) > 0 {
			push.Terms = k.terms(waiting, false, push.Granted, now)
			pushes = append(pushes, push)
		}
	}
	return pushes
}

// Lent returns how many slots of a back end are lent out.
func (k *Lender) Lent(backend string) int {
	entry, ok := k.backends[backend]
	if !ok {
		return 0
	}
	return entry.lent
}

// HandleRefusal releases the slots of a push that the host refused.
func (k *Lender) HandleRefusal(push *PushRequest) {
	refusing, ok := k.borrowers[push.Host]
	if ok && refusing.epoch == push.Epoch {
		k.releaseReturned(refusing, push.Granted)
	}
}

// Tick releases the slots of expired loans.
func (k *Lender) Tick(now time.Time) {
	for name, lapsed := range k.borrowers {
		if now.Before(lapsed.loansUntil) {
			continue
		}
		for backend, slots := range lapsed.held {
			k.releaseSlots(backend, slots)
		}
		delete(k.borrowers, name)
	}
}

// HostFailed makes the loans of a failed incarnation expire at the next Tick.
func (k *Lender) HostFailed(host string) {
	if failed, ok := k.borrowers[host]; ok {
		failed.loansUntil = time.Time{}
		failed.waiting = nil
	}
}

func (k *Lender) borrower(request *BorrowRequest) *borrowerState {
	known, ok := k.borrowers[request.Host]
	if ok && known.incarnation != request.Incarnation {
		for backend, slots := range known.held {
			k.releaseSlots(backend, slots)
		}
		ok = false
	}
	if !ok {
		known = &borrowerState{name: request.Host, incarnation: request.Incarnation, held: map[string]int{}}
		k.borrowers[request.Host] = known
	}
	return known
}

// replaceHoldings records the holdings that the host reports: after a lost message only the host knows them.
func (k *Lender) replaceHoldings(from *borrowerState, request *BorrowRequest) {
	for backend, slots := range from.held {
		k.releaseSlots(backend, slots)
	}
	clear(from.held)
	from.epoch = request.Epoch
	for _, holding := range request.Held {
		entry, ok := k.backends[holding.Backend]
		if !ok || holding.Slots <= 0 {
			continue
		}
		entry.lent += holding.Slots
		from.held[holding.Backend] += holding.Slots
	}
}

func (k *Lender) releaseReturned(from *borrowerState, returned []Holding) {
	for _, holding := range returned {
		slots := min(holding.Slots, from.held[holding.Backend])
		if slots <= 0 {
			continue
		}
		from.held[holding.Backend] -= slots
		if from.held[holding.Backend] == 0 {
			delete(from.held, holding.Backend)
		}
		k.releaseSlots(holding.Backend, slots)
		k.updateSlowness(holding)
	}
}

func (k *Lender) releaseSlots(backend string, slots int) {
	if entry, ok := k.backends[backend]; ok {
		entry.lent = max(0, entry.lent-slots)
	}
}

// slownessGain is the weight of one borrower's report in the moving average of a back end's slowness.
const slownessGain = 0.2

func (k *Lender) updateSlowness(report Holding) {
	entry, ok := k.backends[report.Backend]
	if !ok || report.Slowness <= 0 {
		return
	}
	if entry.reportedSlowness == 0 {
		entry.reportedSlowness = report.Slowness
	}
	entry.reportedSlowness += slownessGain * (report.Slowness - entry.reportedSlowness)
	sortBySpeed(k.groups[entry.backend.Group])
}

// lend grants slots for up to count tasks, fastest free ones first, and returns the number of tasks granted.
func (k *Lender) lend(to *borrowerState, demand *Demand, count int, granted *[]Holding, now time.Time) int {
	lent := 0
	for _, entry := range k.groups[demand.Requirements.Group] {
		if lent >= count {
			break
		}
		if demand.Limit > 0 && entry.slowness() > demand.Limit {
			break
		}
		if slices.Contains(demand.Avoid, entry.backend.Name) {
			continue
		}
		tasks := min(count-lent, entry.freeFor(&demand.Requirements, now))
		if tasks <= 0 {
			continue
		}
		slots := tasks * entry.backend.Width(demand.Requirements.Need)
		entry.lent += slots
		to.held[entry.backend.Name] += slots
		*granted = append(*granted, Holding{Backend: entry.backend.Name, Slots: slots, Slowness: entry.slowness()})
		lent += tasks
	}
	return lent
}

// offers returns the fastest free slots of the groups in which the host demands, holds or returns slots.
func (k *Lender) offers(request *BorrowRequest, now time.Time) []Offer {
	var offers []Offer
	seen := map[string]bool{}
	for i := range request.Demands {
		group := request.Demands[i].Requirements.Group
		if !seen[group] {
			seen[group] = true
			offers = append(offers, k.offersOf(group, now)...)
		}
	}
	for _, holding := range slices.Concat(request.Held, request.Returned) {
		entry, ok := k.backends[holding.Backend]
		if ok && !seen[entry.backend.Group] {
			seen[entry.backend.Group] = true
			offers = append(offers, k.offersOf(entry.backend.Group, now)...)
		}
	}
	return offers
}

// offerTolerance is the ratio by which the slowness of two back ends may differ for one offer to cover both.
const offerTolerance = 1.05

func (k *Lender) offersOf(group string, now time.Time) []Offer {
	offers := make([]Offer, 0, maxOffers)
	for _, entry := range k.groups[group] {
		free := entry.free(now)
		// Other hosts have mostly ejected the same back ends; a slot that none of them takes would be offered for ever.
		if free <= 0 || entry.backend.Ejected {
			continue
		}
		last := len(offers) - 1
		if last >= 0 && entry.slowness() <= offers[last].Slowness*offerTolerance {
			offers[last].Free += free
			continue
		}
		if len(offers) == maxOffers {
			break
		}
		offers = append(offers, Offer{Group: group, Slowness: entry.slowness(), Free: free})
	}
	return offers
}

// terms returns the leases of the workers among the new grants, or among all holdings when the host renews.
func (k *Lender) terms(of *borrowerState, all bool, granted []Holding, now time.Time) []Term {
	var terms []Term
	add := func(name string) {
		entry, ok := k.backends[name]
		if ok && entry.backend.Lease.Fence != 0 {
			terms = append(terms, Term{Backend: name, Fence: entry.backend.Lease.Fence, Left: entry.backend.Lease.Until.Sub(now)})
		}
	}
	if all {
		for name := range of.held {
			add(name)
		}
		return terms
	}
	for _, holding := range granted {
		add(holding.Backend)
	}
	return terms
}

func (k *lentBackend) slowness() float64 {
	if k.reportedSlowness > 0 {
		return k.reportedSlowness
	}
	if k.backend.Slowness > 0 {
		return k.backend.Slowness
	}
	return 1
}

func (k *lentBackend) free(now time.Time) int {
	if k.backend.IsClosed() || now.Before(k.lendableFrom) || !k.backend.Leased(now) {
		return 0
	}
	return max(0, k.backend.Slots-k.lent)
}

// freeFor returns the number of tasks with these requirements that fit the free slots.
func (k *lentBackend) freeFor(requirements *Requirements, now time.Time) int {
	if len(requirements.FailureDomains) > 0 && !slices.Contains(requirements.FailureDomains, k.backend.FailureDomain) {
		return 0
	}
	return k.free(now) / k.backend.Width(requirements.Need)
}

func sortBySpeed(group []*lentBackend) {
	slices.SortStableFunc(group, func(a, b *lentBackend) int {
		return cmp.Or(cmp.Compare(a.slowness(), b.slowness()), cmp.Compare(a.backend.Name, b.backend.Name))
	})
}
