package lending

import (
	"maps"
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// LenderHost is another host, or this one, whose keeper can be asked for slots.
type LenderHost struct {
	Name          string
	FailureDomain string
	RoundTrip     time.Duration // round trip
}

// Observer is told when the grant of a back end has changed.
type Observer interface {
	BackendChanged(group *blackboard.Group, backend *blackboard.Backend)
}

// Options tune a borrower.
type Options struct {
	Host        string
	Incarnation string
	Margin      time.Duration // of a loan that is not used for new starts
	Renew       time.Duration // loans are renewed after this time
	Hold        time.Duration // an idle slot is kept this long before it goes back
}

// distanceGain is the weight of a new round trip in the moving average.
const distanceGain = 0.1

// Borrower gets slots for the queues of this host from keepers and gives back what it does not use.
type Borrower struct {
	options  Options
	board    *blackboard.Dispatch
	lenders  map[string]*lenderState
	order    []*lenderState          // the nearest first
	holders  map[string]*lenderState // of the slots of each back end
	observer Observer
	local    *Lender                    // this host's own, whose free slots are seen without asking
	places   map[string]map[string]bool // of the back ends, by group; hosts elsewhere are not asked
	blocked  map[string]time.Time
	usual    map[string]float64 // slowness of the slowest slots granted lately, by group
	looked   time.Time          // when idle slots were last looked for
	Counts   Counts
}

// Counts are the messages and slots of a borrower since its start.
type Counts struct {
	Asks         int // that went to another host
	Empty        int // of them, that asked for slots and got none
	WithoutOffer int // of the empty ones, that went to a keeper of which nothing was known
	Stale        int // of the empty ones, that asked for slots that the keeper had offered
	Waiting      int // of the empty ones, that left demand at the keeper, which answers it by a push
	Renewals     int // of them, that only renewed or gave back
	Pushes       int // grants that came by themselves
	Granted      int // slots
	Unused       int // slots given back without a start
}

// lenderState is the borrower's view of one keeper.
type lenderState struct {
	LenderHost
	hoped   bool      // the ask under way relies on no offer
	calling bool      // an ask is under way; there is one at a time
	down    time.Time // not asked before this time
	epoch   uint64
	full    bool      // the next ask tells all holdings
	asked   time.Time // when the last answered ask was sent
	until   time.Time // when the loans lapse, less the margin
	held    map[string]int
	returns map[string]int
	offers  map[string][]Offer
	told    map[string]int // demand that the keeper remembers, by group
	unused  map[string]int // slots granted and not yet used, by back end
	starts  map[string]int // the back end's starts when that was last counted
}

// NewBorrower returns a borrower that holds nothing.
func NewBorrower(board *blackboard.Dispatch, local *Lender, observer Observer, options Options) *Borrower {
	return &Borrower{
		options:  options,
		board:    board,
		local:    local,
		observer: observer,
		lenders:  map[string]*lenderState{},
		holders:  map[string]*lenderState{},
		blocked:  map[string]time.Time{},
		usual:    map[string]float64{},
	}
}

// SetLenders sets which hosts can be asked, the nearest first, and in which places each group has back ends; the holdings from those that are gone lapse by themselves.
func (b *Borrower) SetLenders(lenders []LenderHost, places map[string]map[string]bool) {
	b.places = places
	known := b.lenders
	b.lenders = make(map[string]*lenderState, len(lenders))
	b.order = b.order[:0]
	for _, each := range lenders {
		entry, ok := known[each.Name]
		if !ok {
			entry = &lenderState{
				full:    true,
				held:    map[string]int{},
				returns: map[string]int{},
				offers:  map[string][]Offer{},
				told:    map[string]int{},
				unused:  map[string]int{},
				starts:  map[string]int{},
			}
		}
		if ok && entry.RoundTrip > 0 {
			each.RoundTrip = entry.RoundTrip
		}
		entry.LenderHost = each
		b.lenders[each.Name] = entry
		b.order = append(b.order, entry)
	}
}

// MoveHoldings moves the holdings of back ends whose keeper has changed to the new keeper, which learns of them by the next ask.
func (b *Borrower) MoveHoldings(keeperOf func(backend string) string) {
	for _, name := range slices.Sorted(maps.Keys(b.holders)) {
		from := b.holders[name]
		to, ok := b.lenders[keeperOf(name)]
		if !ok || to == from {
			continue
		}
		to.held[name] += from.held[name]
		to.full = true
		to.asked = time.Time{}
		delete(from.held, name)
		b.holders[name] = to
	}
}

// HandleResponse takes in a keeper's answer to the ask; sent is when the ask left.
func (b *Borrower) HandleResponse(name string, ask *BorrowRequest, answer *BorrowResponse, sent, now time.Time) {
	from, ok := b.lenders[name]
	if !ok {
		return
	}
	from.calling = false
	from.asked = sent
	from.RoundTrip += time.Duration(distanceGain * float64(now.Sub(sent)-from.RoundTrip))
	from.until = sent.Add(answer.Length - b.options.Margin)
	b.takeOffers(from, ask, answer.Offers)
	granted := b.take(from, answer.Granted)
	b.apply(from, answer.Terms, sent)
	b.recall(from, answer.Recalls)
	asked := 0
	clear(from.told)
	for i := range ask.Demands {
		demand := &ask.Demands[i]
		asked += demand.Count
		from.told[demand.Requirements.Group] += min(demand.MayWait, max(0, demand.Count-granted))
	}
	b.count(from, ask, asked, granted)
}

// HandleFailure takes in that an ask got no answer: it may have taken effect, so the next one tells all holdings.
func (b *Borrower) HandleFailure(name string, now time.Time, retry time.Duration) {
	from, ok := b.lenders[name]
	if !ok {
		return
	}
	from.calling = false
	from.full = true
	from.down = now.Add(retry)
	clear(from.offers)
	clear(from.told)
}

// HandlePush takes in a grant that a keeper sent by itself, and reports false when it is void.
func (b *Borrower) HandlePush(push *PushRequest, now time.Time) bool {
	from, ok := b.lenders[push.Lender]
	if !ok || from.epoch != push.Epoch || !now.Before(from.until) {
		return false
	}
	b.Counts.Pushes++
	granted := b.take(from, push.Granted)
	for group := range from.told {
		from.told[group] = max(0, from.told[group]-granted)
	}
	b.apply(from, push.Terms, now)
	return true
}

func (b *Borrower) count(from *lenderState, ask *BorrowRequest, asked, granted int) {
	if from.Name == b.options.Host {
		return
	}
	b.Counts.Asks++
	switch {
	case asked == 0:
		b.Counts.Renewals++
	case granted == 0:
		b.Counts.Empty++
		b.countCause(from, ask)
	}
}

// countCause counts an empty ask by what it relied on.
func (b *Borrower) countCause(from *lenderState, ask *BorrowRequest) {
	switch {
	case slices.ContainsFunc(ask.Demands, func(demand Demand) bool { return demand.MayWait > 0 }):
		b.Counts.Waiting++
	case from.hoped:
		b.Counts.WithoutOffer++
	default:
		b.Counts.Stale++
	}
}

// take adds granted slots, and returns how many there are.
func (b *Borrower) take(from *lenderState, granted []Holding) int {
	slots := 0
	for _, holding := range granted {
		slots += holding.Slots
		if other := b.holders[holding.Backend]; other != nil && other != from {
			from.held[holding.Backend] += other.held[holding.Backend]
			delete(other.held, holding.Backend)
			other.full = true
		}
		b.holders[holding.Backend] = from
		from.held[holding.Backend] += holding.Slots
		if from.Name != b.options.Host {
			b.countUsed(from, holding.Backend)
			from.unused[holding.Backend] += holding.Slots
			b.Counts.Granted += holding.Slots
		}
		if backend := b.backend(holding.Backend); backend != nil {
			b.learnUsual(backend.Group, holding.Slowness)
			if backend.Slowness == 0 {
				backend.Slowness = holding.Slowness
			}
		}
	}
	return slots
}

// apply puts the lender's holdings on the board.
func (b *Borrower) apply(from *lenderState, terms []Term, sent time.Time) {
	for name, slots := range from.held {
		backend := b.backend(name)
		if backend == nil {
			from.returns[name] += slots
			delete(from.held, name)
			delete(b.holders, name)
			continue
		}
		backend.Granted = slots
		backend.GrantedUntil = from.until
		if backend.LeaseExpiry.Before(backend.GrantedUntil) && !backend.LeaseExpiry.IsZero() {
			backend.GrantedUntil = backend.LeaseExpiry
		}
		b.changed(backend)
	}
	for _, term := range terms {
		backend := b.backend(term.Backend)
		if backend == nil || from.held[term.Backend] == 0 {
			continue
		}
		backend.FencingToken = term.Fence
		backend.LeaseExpiry = sent.Add(term.Left)
		backend.GrantedUntil = earlier(from.until, backend.LeaseExpiry)
		b.changed(backend)
	}
}

func (b *Borrower) changed(backend *blackboard.Backend) {
	b.observer.BackendChanged(b.board.Groups[backend.Group], backend)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// takeOffers replaces what was known of the keeper's free slots in the groups that the ask touched.
func (b *Borrower) takeOffers(from *lenderState, ask *BorrowRequest, offers []Offer) {
	for i := range ask.Demands {
		from.offers[ask.Demands[i].Requirements.Group] = nil
	}
	touched := map[string]bool{}
	for _, offer := range offers {
		if !touched[offer.Group] {
			touched[offer.Group] = true
			from.offers[offer.Group] = nil
		}
		from.offers[offer.Group] = append(from.offers[offer.Group], offer)
	}
}

// recall gives back idle slots at once, and marks others to go back as they come free.
func (b *Borrower) recall(from *lenderState, recalls []Recall) {
	for _, recall := range recalls {
		left := recall.Slots
		for name := range from.held {
			backend := b.backend(name)
			if left == 0 || backend == nil || backend.Group != recall.Group {
				continue
			}
			slots := min(left, from.held[name])
			backend.Recalled = slots
			left -= slots
		}
	}
}

func (b *Borrower) backend(name string) *blackboard.Backend {
	for _, group := range b.board.Groups {
		if backend, ok := group.Backends[name]; ok {
			return backend
		}
	}
	return nil
}
