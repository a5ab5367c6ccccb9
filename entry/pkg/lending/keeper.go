package lending

import (
	"cmp"
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// maxOffers bounds the speeds of which an answer tells the free slots.
const maxOffers = 4

// Lender lends the slots of the back ends that this host keeps.
type Lender struct {
	length    time.Duration // of a loan
	margin    time.Duration // how much longer the keeper waits before it lends lapsed slots again
	grace     time.Duration // how long a new keeper waits for borrowers to report what they hold
	backends  map[string]*kept
	groups    map[string][]*kept // the fastest first
	borrowers map[string]*borrower
}

// kept is a back end that this host keeps.
type kept struct {
	backend *blackboard.Backend
	lent    int
	since   time.Time // from then on its slots are lent
	learnt  float64   // slowness as borrowers report it; zero when none has
}

// borrower is a host that slots were lent to.
type borrower struct {
	name        string
	incarnation string
	epoch       uint64
	until       time.Time
	held        map[string]int
	waiting     []Demand
	asked       time.Time
}

// NewLender returns a keeper of no back ends.
func NewLender(length, margin, grace time.Duration) *Lender {
	return &Lender{
		length: length, margin: margin, grace: grace,
		backends:  map[string]*kept{},
		groups:    map[string][]*kept{},
		borrowers: map[string]*borrower{},
	}
}

// Update sets which back ends this host keeps; settled tells that no earlier keeper can have lent their slots.
func (k *Lender) Update(keeping []*blackboard.Backend, settled bool, now time.Time) {
	previous := k.backends
	k.backends = make(map[string]*kept, len(keeping))
	k.groups = map[string][]*kept{}
	for _, backend := range keeping {
		entry, ok := previous[backend.Name]
		if !ok {
			entry = &kept{since: now}
			if !settled {
				entry.since = now.Add(k.grace)
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

// Serve takes in what a host gives back, holds and needs, and lends it what is free.
func (k *Lender) Serve(ask *BorrowRequest, now time.Time) *BorrowResponse {
	from := k.borrower(ask)
	from.until = now.Add(k.length + k.margin)
	from.asked = now
	k.takeBack(from, ask.Returned)
	if ask.Full {
		k.replace(from, ask)
	}
	answer := &BorrowResponse{Length: k.length}
	from.waiting = from.waiting[:0]
	for _, demand := range ask.Demands {
		left := demand.Count - k.lend(from, &demand, demand.Count, &answer.Granted, now)
		if waiting := min(left, demand.MayWait); waiting > 0 {
			demand.Count = waiting
			from.waiting = append(from.waiting, demand)
		}
	}
	answer.Offers = k.offers(ask, now)
	answer.Recalls = k.recalls(from)
	answer.Terms = k.terms(from, ask.Full, answer.Granted, now)
	return answer
}

// Pushes lends slots that have come back to the hosts that wait for them, the one that waits for most per slot held first.
func (k *Lender) Pushes(keeper string, now time.Time) []PushRequest {
	var pushes []PushRequest
	for _, waiting := range k.waiters() {
		push := PushRequest{Host: waiting.name, Lender: keeper, Epoch: waiting.epoch}
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

// HandleRefusal takes back what a push lent to a host that did not take it.
func (k *Lender) HandleRefusal(push *PushRequest) {
	refusing, ok := k.borrowers[push.Host]
	if ok && refusing.epoch == push.Epoch {
		k.takeBack(refusing, push.Granted)
	}
}

// Tick takes back what was lent to hosts that no longer renew.
func (k *Lender) Tick(now time.Time) {
	for name, lapsed := range k.borrowers {
		if now.Before(lapsed.until) {
			continue
		}
		for backend, slots := range lapsed.held {
			k.credit(backend, slots)
		}
		delete(k.borrowers, name)
	}
}

// HostFailed takes back at once what was lent to an incarnation that no longer runs.
func (k *Lender) HostFailed(host string) {
	if gone, ok := k.borrowers[host]; ok {
		gone.until = time.Time{}
		gone.waiting = nil
	}
}

func (k *Lender) borrower(ask *BorrowRequest) *borrower {
	known, ok := k.borrowers[ask.Host]
	if ok && known.incarnation != ask.Incarnation {
		for backend, slots := range known.held {
			k.credit(backend, slots)
		}
		ok = false
	}
	if !ok {
		known = &borrower{name: ask.Host, incarnation: ask.Incarnation, held: map[string]int{}}
		k.borrowers[ask.Host] = known
	}
	return known
}

// replace takes the host's word for what it holds: after a lost message only the host knows.
func (k *Lender) replace(from *borrower, ask *BorrowRequest) {
	for backend, slots := range from.held {
		k.credit(backend, slots)
	}
	clear(from.held)
	from.epoch = ask.Epoch
	for _, holding := range ask.Held {
		entry, ok := k.backends[holding.Backend]
		if !ok || holding.Slots <= 0 {
			continue
		}
		entry.lent += holding.Slots
		from.held[holding.Backend] += holding.Slots
	}
}

func (k *Lender) takeBack(from *borrower, returned []Holding) {
	for _, holding := range returned {
		slots := min(holding.Slots, from.held[holding.Backend])
		if slots <= 0 {
			continue
		}
		from.held[holding.Backend] -= slots
		if from.held[holding.Backend] == 0 {
			delete(from.held, holding.Backend)
		}
		k.credit(holding.Backend, slots)
		k.learn(holding)
	}
}

func (k *Lender) credit(backend string, slots int) {
	if entry, ok := k.backends[backend]; ok {
		entry.lent = max(0, entry.lent-slots)
	}
}

// learnGain is the weight of one borrower's report of a back end's speed.
const learnGain = 0.2

func (k *Lender) learn(report Holding) {
	entry, ok := k.backends[report.Backend]
	if !ok || report.Slowness <= 0 {
		return
	}
	if entry.learnt == 0 {
		entry.learnt = report.Slowness
	}
	entry.learnt += learnGain * (report.Slowness - entry.learnt)
	sortBySpeed(k.groups[entry.backend.Group])
}

// lend grants slots for up to so many tasks, the fastest free ones first, and returns for how many it did.
func (k *Lender) lend(to *borrower, demand *Demand, count int, granted *[]Holding, now time.Time) int {
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
		tasks := min(count-lent, entry.room(&demand.Requirements, now))
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

// offers tells the fastest free slots of the groups that the host asked about or holds.
func (k *Lender) offers(ask *BorrowRequest, now time.Time) []Offer {
	var offers []Offer
	seen := map[string]bool{}
	for i := range ask.Demands {
		group := ask.Demands[i].Requirements.Group
		if !seen[group] {
			seen[group] = true
			offers = append(offers, k.offersOf(group, now)...)
		}
	}
	for _, holding := range slices.Concat(ask.Held, ask.Returned) {
		entry, ok := k.backends[holding.Backend]
		if ok && !seen[entry.backend.Group] {
			seen[entry.backend.Group] = true
			offers = append(offers, k.offersOf(entry.backend.Group, now)...)
		}
	}
	return offers
}

// sameSpeed is how far the slowness of two back ends may differ for one offer to cover both.
const sameSpeed = 1.05

func (k *Lender) offersOf(group string, now time.Time) []Offer {
	offers := make([]Offer, 0, maxOffers)
	for _, entry := range k.groups[group] {
		free := entry.free(now)
		// Others have mostly ejected the same back ends; a slot that nobody takes would be offered for ever.
		if free <= 0 || entry.backend.Ejected {
			continue
		}
		last := len(offers) - 1
		if last >= 0 && entry.slowness() <= offers[last].Slowness*sameSpeed {
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

// terms tells the leases of the workers among the new grants, or among all holdings when the host renews.
func (k *Lender) terms(of *borrower, all bool, granted []Holding, now time.Time) []Term {
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

func (k *kept) slowness() float64 {
	if k.learnt > 0 {
		return k.learnt
	}
	if k.backend.Slowness > 0 {
		return k.backend.Slowness
	}
	return 1
}

func (k *kept) free(now time.Time) int {
	if k.backend.Leaving || now.Before(k.since) || !k.backend.Leased(now) {
		return 0
	}
	return max(0, k.backend.Slots-k.lent)
}

// room returns for how many tasks of the kind there are free slots.
func (k *kept) room(want *Requirements, now time.Time) int {
	if len(want.FailureDomains) > 0 && !slices.Contains(want.FailureDomains, k.backend.FailureDomain) {
		return 0
	}
	return k.free(now) / k.backend.Width(want.Need)
}

func sortBySpeed(group []*kept) {
	slices.SortStableFunc(group, func(a, b *kept) int {
		return cmp.Or(cmp.Compare(a.slowness(), b.slowness()), cmp.Compare(a.backend.Name, b.backend.Name))
	})
}
