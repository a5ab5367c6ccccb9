package lending

import (
	"maps"
	"slices"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// LenderHost is a host that lends slots; this host is one too.
type LenderHost struct {
	Name          string
	FailureDomain string
	RoundTrip     time.Duration
}

// Observer is notified when the granted slots of a back end change.
type Observer interface {
	BackendChanged(group *blackboard.Group, backend *blackboard.Backend)
}

// Options configures a borrower.
type Options struct {
	Host        string
	Incarnation string
	Margin      time.Duration // time before the end of a loan in which no new run starts
	Renew       time.Duration // age at which loans are renewed
	Hold        time.Duration // time an idle slot is kept before it is returned
}

// roundTripGain is the weight of a new sample in the moving average of the round trip.
const roundTripGain = 0.1

// Borrower borrows slots for the queues of this host from lenders and returns unused ones.
type Borrower struct {
	options         Options
	board           *blackboard.Dispatch
	lenders         map[string]*lenderState
	order           []*lenderState          // nearest first
	holders         map[string]*lenderState // lender of the slots held, by back end
	observer        Observer
	local           *Lender                    // this host's own lender, whose free slots are read directly
	domains         map[string]map[string]bool // failure domains with back ends, by group; lenders in others are not asked
	blockedUntil    map[string]time.Time
	typicalSlowness map[string]float64 // upper quantile of the slowness of granted slots, by group
	lastIdleCheck   time.Time          // when idle slots were last searched for
	Counts          Counts
}

// Counts holds the message and slot counters of a borrower since its start.
type Counts struct {
	Asks         int // borrow requests answered by another host
	Empty        int // of Asks: requested slots and were granted none
	WithoutOffer int // of Empty: sent to a lender without a current offer
	Stale        int // of Empty: relied on an offer that no longer held
	Waiting      int // of Empty: left demand at the lender, to be granted later by a push
	Renewals     int // of Asks: only renewed or returned slots
	Pushes       int // grants pushed by lenders
	Granted      int // slots granted by other hosts
	Unused       int // slots returned without a start
}

// lenderState is the borrower's view of one lender.
type lenderState struct {
	LenderHost
	assumed        bool      // the pending request relies on no offer
	requestPending bool      // at most one request is pending at a time
	retryAt        time.Time // no request is sent before this time
	epoch          uint64
	reportAll      bool      // the next request reports all holdings
	lastRequest    time.Time // when the last answered request was sent
	loansUntil     time.Time // when the loans expire, less the margin
	held           map[string]int
	returns        map[string]int
	offers         map[string][]Offer
	registered     map[string]int // demand registered at the lender, by group
	unused         map[string]int // granted slots not yet used, by back end
	starts         map[string]int // starts of the back end when unused was last updated
}

// NewBorrower returns a borrower without holdings.
func NewBorrower(board *blackboard.Dispatch, local *Lender, observer Observer, options Options) *Borrower {
	return &Borrower{
		options:         options,
		board:           board,
		local:           local,
		observer:        observer,
		lenders:         map[string]*lenderState{},
		holders:         map[string]*lenderState{},
		blockedUntil:    map[string]time.Time{},
		typicalSlowness: map[string]float64{},
	}
}

// SetLenders sets the lenders, nearest first, and the failure domains in which each group has back ends.
// Holdings from removed lenders expire on their own.
func (b *Borrower) SetLenders(lenders []LenderHost, domains map[string]map[string]bool) {
	b.domains = domains
	known := b.lenders
	b.lenders = make(map[string]*lenderState, len(lenders))
	b.order = b.order[:0]
	for _, host := range lenders {
		entry, ok := known[host.Name]
		if !ok {
			entry = &lenderState{
				reportAll:  true,
				held:       map[string]int{},
				returns:    map[string]int{},
				offers:     map[string][]Offer{},
				registered: map[string]int{},
				unused:     map[string]int{},
				starts:     map[string]int{},
			}
		}
		if ok && entry.RoundTrip > 0 {
			host.RoundTrip = entry.RoundTrip
		}
		entry.LenderHost = host
		b.lenders[host.Name] = entry
		b.order = append(b.order, entry)
	}
}

// MoveHoldings moves the holdings of back ends whose lender changed to the new lender; the next request reports them.
func (b *Borrower) MoveHoldings(lenderOf func(backend string) string) {
	for _, name := range slices.Sorted(maps.Keys(b.holders)) {
		from := b.holders[name]
		to, ok := b.lenders[lenderOf(name)]
		if !ok || to == from {
			continue
		}
		to.held[name] += from.held[name]
		to.reportAll = true
		to.lastRequest = time.Time{}
		delete(from.held, name)
		b.holders[name] = to
	}
}

// HandleResponse applies a lender's response to the request sent at sent.
func (b *Borrower) HandleResponse(name string, request *BorrowRequest, response *BorrowResponse, sent, now time.Time) {
	from, ok := b.lenders[name]
	if !ok {
		return
	}
	from.requestPending = false
	from.lastRequest = sent
	from.RoundTrip += time.Duration(roundTripGain * float64(now.Sub(sent)-from.RoundTrip))
	from.loansUntil = sent.Add(response.Length - b.options.Margin)
	b.replaceOffers(from, request, response.Offers)
	granted := b.addGrants(from, response.Granted)
	b.updateBackends(from, response.Terms, sent)
	b.markRecalled(from, response.Recalls)
	asked := 0
	clear(from.registered)
	for i := range request.Demands {
		demand := &request.Demands[i]
		asked += demand.Count
		from.registered[demand.Requirements.Group] += min(demand.MayWait, max(0, demand.Count-granted))
	}
	b.countRequest(from, request, asked, granted)
}

// HandleFailure handles a request without a response.
// The request may have taken effect, so the next one reports all holdings.
func (b *Borrower) HandleFailure(name string, now time.Time, retry time.Duration) {
	from, ok := b.lenders[name]
	if !ok {
		return
	}
	from.requestPending = false
	from.reportAll = true
	from.retryAt = now.Add(retry)
	clear(from.offers)
	clear(from.registered)
}

// HandlePush applies a grant pushed by a lender, and returns false when it is void.
func (b *Borrower) HandlePush(push *PushRequest, now time.Time) bool {
	from, ok := b.lenders[push.Lender]
	if !ok || from.epoch != push.Epoch || !now.Before(from.loansUntil) {
		return false
	}
	b.Counts.Pushes++
	granted := b.addGrants(from, push.Granted)
	for group := range from.registered {
		from.registered[group] = max(0, from.registered[group]-granted)
	}
	b.updateBackends(from, push.Terms, now)
	return true
}

func (b *Borrower) countRequest(from *lenderState, request *BorrowRequest, asked, granted int) {
	if from.Name == b.options.Host {
		return
	}
	b.Counts.Asks++
	switch {
	case asked == 0:
		b.Counts.Renewals++
	case granted == 0:
		b.Counts.Empty++
		b.countCause(from, request)
	}
}

// countCause counts an empty request by what it relied on.
func (b *Borrower) countCause(from *lenderState, request *BorrowRequest) {
	switch {
	case slices.ContainsFunc(request.Demands, func(demand Demand) bool { return demand.MayWait > 0 }):
		b.Counts.Waiting++
	case from.assumed:
		b.Counts.WithoutOffer++
	default:
		b.Counts.Stale++
	}
}

// addGrants adds granted slots to the holdings and returns their number.
func (b *Borrower) addGrants(from *lenderState, granted []Holding) int {
	slots := 0
	for _, holding := range granted {
		slots += holding.Slots
		if other := b.holders[holding.Backend]; other != nil && other != from {
			from.held[holding.Backend] += other.held[holding.Backend]
			delete(other.held, holding.Backend)
			other.reportAll = true
		}
		b.holders[holding.Backend] = from
		from.held[holding.Backend] += holding.Slots
		if from.Name != b.options.Host {
			b.countUsed(from, holding.Backend)
			from.unused[holding.Backend] += holding.Slots
			b.Counts.Granted += holding.Slots
		}
		if backend := b.backend(holding.Backend); backend != nil {
			b.updateTypicalSlowness(backend.Group, holding.Slowness)
			if backend.Slowness == 0 {
				backend.Slowness = holding.Slowness
			}
		}
	}
	return slots
}

// updateBackends writes the slots held from the lender, and the terms of their leases, to the back ends.
func (b *Borrower) updateBackends(from *lenderState, terms []Term, sent time.Time) {
	for name, slots := range from.held {
		backend := b.backend(name)
		if backend == nil {
			from.returns[name] += slots
			delete(from.held, name)
			delete(b.holders, name)
			continue
		}
		backend.Granted = slots
		backend.GrantedUntil = from.loansUntil
		if backend.LeaseExpiry.Before(backend.GrantedUntil) && !backend.LeaseExpiry.IsZero() {
			backend.GrantedUntil = backend.LeaseExpiry
		}
		b.notifyObserver(backend)
	}
	for _, term := range terms {
		backend := b.backend(term.Backend)
		if backend == nil || from.held[term.Backend] == 0 {
			continue
		}
		backend.FencingToken = term.Fence
		backend.LeaseExpiry = sent.Add(term.Left)
		backend.GrantedUntil = earlier(from.loansUntil, backend.LeaseExpiry)
		b.notifyObserver(backend)
	}
}

func (b *Borrower) notifyObserver(backend *blackboard.Backend) {
	b.observer.BackendChanged(b.board.Groups[backend.Group], backend)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// replaceOffers replaces the known offers of the lender for the groups in the request and the response.
func (b *Borrower) replaceOffers(from *lenderState, request *BorrowRequest, offers []Offer) {
	for i := range request.Demands {
		from.offers[request.Demands[i].Requirements.Group] = nil
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

// markRecalled marks recalled slots, which are returned once they are idle.
func (b *Borrower) markRecalled(from *lenderState, recalls []Recall) {
	b.markOverlent(from, recalls)
	for _, recall := range recalls {
		if recall.Backend != "" {
			continue
		}
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

// markOverlent marks the slots of back ends that have shrunk.
func (b *Borrower) markOverlent(from *lenderState, recalls []Recall) {
	overlent := map[string]int{}
	for _, recall := range recalls {
		if recall.Backend != "" {
			overlent[recall.Backend] = recall.Slots
		}
	}
	for name := range from.held {
		if backend := b.backend(name); backend != nil && backend.Overlent != overlent[name] {
			backend.Overlent = overlent[name]
			b.notifyObserver(backend)
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
