package controllers

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/ledger"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/lib/api"
)

const (
	// legacyHosts is how many hosts are asked for the record of a home that does not answer.
	legacyHosts = 3
	// legacyTimeout bounds one question for such a record.
	legacyTimeout = time.Second
	// handoverPartBytes and handoverPartEntries bound one part of a record that is handed over.
	handoverPartBytes   = 1 << 20
	handoverPartEntries = 2000
)

var (
	legacyEntries = metrics.NewGauge(`chervilusher_legacy_entries`, nil)
	legacyBytes   = metrics.NewGauge(`chervilusher_legacy_bytes`, nil)
)

// LegacyController keeps the records of homes that have left, and hands this home's own on when it leaves.
type LegacyController struct {
	common *common.Common
	board  *blackboard.Board
	client *peer.Client

	mu       sync.Mutex
	legacies map[string]*legacy // by the home's incarnation
	entries  int
	bytes    int64
}

// legacy is the record of one home that has left.
type legacy struct {
	place    string
	floor    int64
	whole    bool
	received time.Time
	entries  map[ledger.ID]peer.HandedEntry
	bytes    int64
}

// NewLegacyController returns the controller and adds its methods to the server of peers.
func NewLegacyController(c *common.Common, board *blackboard.Board, client *peer.Client, server *peer.Server) *LegacyController {
	controller := &LegacyController{common: c.Prefixed("legacy"), board: board, client: client, legacies: map[string]*legacy{}}
	peer.Handle(server, peer.MethodHandover, func(_ context.Context, part *peer.HandoverRequest) (*peer.HandoverResponse, error) {
		return &peer.HandoverResponse{Kept: controller.keep(part)}, nil
	})
	peer.Handle(server, peer.MethodLegacy, func(_ context.Context, request *peer.LegacyRequest) (*peer.LegacyResponse, error) {
		return controller.look(request), nil
	})
	return controller
}

// Serve forgets old records until the context ends.
func (l *LegacyController) Serve(ctx context.Context) {
	ticker := l.common.Clock.NewTicker(forgetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			l.expire()
		}
	}
}

// HandOver gives the record of this home, and those that it keeps for others, to the first host that takes them.
func (l *LegacyController) HandOver(ctx context.Context, record ledger.Record) {
	own := peer.HandoverRequest{Incarnation: l.common.Incarnation, Place: l.common.Settings.Place, Floor: record.Floor}
	records := [][]peer.HandoverRequest{partsOf(own, handedEntries(record))}
	l.mu.Lock()
	for incarnation, kept := range l.legacies {
		if kept.whole {
			head := peer.HandoverRequest{Incarnation: incarnation, Place: kept.place, Floor: kept.floor}
			records = append(records, partsOf(head, valuesOf(kept.entries)))
		}
	}
	l.mu.Unlock()
	for _, parts := range records {
		l.handOver(ctx, parts)
	}
}

// Ask returns what the likely keepers of a home's record know of a submission, or nil.
func (l *LegacyController) Ask(ctx context.Context, request *peer.LegacyRequest) *api.Answer {
	if response := l.look(request); response.Known {
		return &response.Answer
	}
	for i, member := range l.candidates(request.Identity.Incarnation, request.Identity.Place) {
		if i == legacyHosts {
			break
		}
		response, err := l.ask(ctx, &member, request)
		if err == nil && response.Known {
			return &response.Answer
		}
	}
	return nil
}

func (l *LegacyController) ask(ctx context.Context, member *blackboard.Member, request *peer.LegacyRequest) (*peer.LegacyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, legacyTimeout)
	defer cancel()
	return peer.Call[peer.LegacyRequest, peer.LegacyResponse](ctx, l.client, member.Address, peer.MethodLegacy, request)
}

func (l *LegacyController) handOver(ctx context.Context, parts []peer.HandoverRequest) {
	incarnation := parts[0].Incarnation
	for _, member := range l.candidates(incarnation, parts[0].Place) {
		if member.Leaving {
			continue
		}
		if l.send(ctx, &member, parts) {
			l.common.Log.WithField("to", member.Name).WithField("of", incarnation).Info("kept answers are handed over")
			return
		}
	}
	l.common.Log.WithField("of", incarnation).Warn("no host takes the kept answers; later questions get unknown")
}

func (l *LegacyController) send(ctx context.Context, member *blackboard.Member, parts []peer.HandoverRequest) bool {
	for i := range parts {
		callCtx, cancel := context.WithTimeout(ctx, 2*legacyTimeout)
		response, err := peer.Call[peer.HandoverRequest, peer.HandoverResponse](callCtx, l.client, member.Address, peer.MethodHandover, &parts[i])
		cancel()
		if err != nil || !response.Kept {
			return false
		}
	}
	return true
}

// candidates returns the other live hosts in the same order at every host, those of the place first.
func (l *LegacyController) candidates(incarnation, place string) []blackboard.Member {
	var members []blackboard.Member
	for _, member := range l.board.Members.Load().ByName {
		if member.Alive && member.Name != l.common.Settings.Name {
			members = append(members, member)
		}
	}
	rank := func(member *blackboard.Member) (away int, order uint64) {
		if member.Place != place {
			away = 1
		}
		return away, xxhash.Sum64String(incarnation + "/" + member.Name)
	}
	slices.SortFunc(members, func(a, b blackboard.Member) int {
		aAway, aOrder := rank(&a)
		bAway, bOrder := rank(&b)
		return cmp.Or(cmp.Compare(aAway, bAway), cmp.Compare(aOrder, bOrder))
	})
	return members
}

// keep takes in one part of a record, unless that would pass the bounds.
func (l *LegacyController) keep(part *peer.HandoverRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.board.Draining.Load() {
		return false
	}
	held, ok := l.legacies[part.Incarnation]
	if !ok {
		held = &legacy{entries: map[ledger.ID]peer.HandedEntry{}}
		l.legacies[part.Incarnation] = held
	}
	held.place = part.Place
	held.floor = part.Floor
	held.received = l.common.Clock.Now()
	for _, entry := range part.Entries {
		if l.entries >= l.common.Settings.Ticket.Entries || l.bytes+answerSize(entry.Answer) > l.common.Settings.Ticket.Bytes {
			l.drop(part.Incarnation)
			return false
		}
		l.add(held, entry)
	}
	held.whole = held.whole || part.Last
	return true
}

func (l *LegacyController) add(held *legacy, entry peer.HandedEntry) {
	id := ledger.ID{Owner: entry.Owner, Window: entry.Window, Key: entry.Key}
	if _, known := held.entries[id]; known {
		return
	}
	held.entries[id] = entry
	size := answerSize(entry.Answer)
	held.bytes += size
	l.bytes += size
	l.entries++
}

func (l *LegacyController) drop(incarnation string) {
	held := l.legacies[incarnation]
	l.bytes -= held.bytes
	l.entries -= len(held.entries)
	delete(l.legacies, incarnation)
}

// look answers from the records kept here; only a whole record can tell that a submission was never taken.
func (l *LegacyController) look(request *peer.LegacyRequest) *peer.LegacyResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	identity := &request.Identity
	held, ok := l.legacies[identity.Incarnation]
	if !ok || !held.whole {
		return &peer.LegacyResponse{}
	}
	entry, found := held.entries[ledgerID(identity)]
	switch {
	case found && request.Digest != 0 && entry.Digest != 0 && entry.Digest != request.Digest:
		return &peer.LegacyResponse{Known: true, Answer: *mismatch()}
	case found && entry.Answer != nil:
		return &peer.LegacyResponse{Known: true, Answer: *entry.Answer}
	case found || identity.Window < held.floor:
		return &peer.LegacyResponse{Known: true, Answer: *forgotten()}
	default:
		return &peer.LegacyResponse{Known: true, Answer: *neverTaken()}
	}
}

func (l *LegacyController) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := l.common.Settings.Ticket.Window.Std() + l.common.Settings.Ticket.Keep.Std()
	now := l.common.Clock.Now()
	for incarnation, held := range l.legacies {
		if now.Sub(held.received) > age {
			l.drop(incarnation)
		}
	}
	legacyEntries.Set(float64(l.entries))
	legacyBytes.Set(float64(l.bytes))
}

func handedEntries(record ledger.Record) []peer.HandedEntry {
	entries := make([]peer.HandedEntry, 0, len(record.Entries))
	for _, entry := range record.Entries {
		entries = append(entries, peer.HandedEntry{
			Owner:  entry.ID.Owner,
			Window: entry.ID.Window,
			Key:    entry.ID.Key,
			Digest: entry.Digest,
			Answer: entry.Answer,
		})
	}
	return entries
}

func valuesOf(entries map[ledger.ID]peer.HandedEntry) []peer.HandedEntry {
	values := make([]peer.HandedEntry, 0, len(entries))
	for _, entry := range entries {
		values = append(values, entry)
	}
	return values
}

// partsOf cuts a record into messages of bounded size, each with the same head.
func partsOf(head peer.HandoverRequest, entries []peer.HandedEntry) []peer.HandoverRequest {
	parts := []peer.HandoverRequest{head}
	size := int64(0)
	for _, entry := range entries {
		last := &parts[len(parts)-1]
		if size > handoverPartBytes || len(last.Entries) == handoverPartEntries {
			parts = append(parts, head)
			last = &parts[len(parts)-1]
			size = 0
		}
		last.Entries = append(last.Entries, entry)
		size += answerSize(entry.Answer)
	}
	parts[len(parts)-1].Last = true
	return parts
}

func answerSize(answer *api.Answer) int64 {
	if answer == nil {
		return 0
	}
	return ledger.AnswerBytes(answer)
}

func neverTaken() *api.Answer {
	return refused(&dispatch.Refusal{
		Code:       api.CodeDraining,
		Reason:     "the home stopped without having taken the submission",
		RetryAfter: retryWhileDraining,
	})
}
