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
	// maxRecordQueries bounds the hosts that are queried for the record of a home that does not answer.
	maxRecordQueries = 3
	// recordTimeout bounds one query for such a record.
	recordTimeout = time.Second
	// handoverPartBytes and handoverPartEntries bound one part of a record in a handover.
	handoverPartBytes   = 1 << 20
	handoverPartEntries = 2000
)

var (
	recordEntries = metrics.NewGauge(`chervilusher_handover_entries`, nil)
	recordBytes   = metrics.NewGauge(`chervilusher_handover_bytes`, nil)
)

// HandoverController stores the records of homes that have left, and hands this home's record over when it leaves.
type HandoverController struct {
	common *common.Common
	board  *blackboard.Board
	client *peer.Client

	mu      sync.Mutex
	records map[string]*handoverRecord // by incarnation of the home
	entries int
	bytes   int64
}

// handoverRecord is the record of one home that has left.
type handoverRecord struct {
	domain       string
	oldestWindow int64
	complete     bool
	received     time.Time
	entries      map[ledger.ID]peer.HandoverEntry
	bytes        int64
}

// NewHandoverController returns a controller and registers its methods with the peer server.
func NewHandoverController(c *common.Common, board *blackboard.Board, client *peer.Client, server *peer.Server) *HandoverController {
	controller := &HandoverController{common: c.Prefixed("handover"), board: board, client: client, records: map[string]*handoverRecord{}}
	peer.Handle(server, peer.MethodHandover, func(_ context.Context, part *peer.HandoverRequest) (*peer.HandoverResponse, error) {
		return &peer.HandoverResponse{Kept: controller.store(part)}, nil
	})
	peer.Handle(server, peer.MethodRecord, func(_ context.Context, request *peer.RecordRequest) (*peer.RecordResponse, error) {
		return controller.answerFor(request), nil
	})
	return controller
}

// Serve removes expired records until the context ends.
func (h *HandoverController) Serve(ctx context.Context) {
	h.common.Every(ctx, expireInterval, h.expire)
}

// HandOver hands over the record of this home, and those that it stores for others.
// Each goes to the first host that accepts it.
func (h *HandoverController) HandOver(ctx context.Context, record ledger.Record) {
	own := peer.HandoverRequest{Incarnation: h.common.Incarnation, FailureDomain: h.common.Settings.FailureDomain, OldestWindow: record.Floor}
	records := [][]peer.HandoverRequest{partsOf(own, handedEntries(record))}
	h.mu.Lock()
	for incarnation, stored := range h.records {
		if stored.complete {
			head := peer.HandoverRequest{Incarnation: incarnation, FailureDomain: stored.domain, OldestWindow: stored.oldestWindow}
			records = append(records, partsOf(head, valuesOf(stored.entries)))
		}
	}
	h.mu.Unlock()
	unreachable := map[string]bool{}
	for _, parts := range records {
		h.handOverRecord(ctx, parts, unreachable)
	}
}

// LookUp returns the answer for a submission from the hosts that most likely store its home's record, or nil.
func (h *HandoverController) LookUp(ctx context.Context, request *peer.RecordRequest) *api.Answer {
	if response := h.answerFor(request); response.Known {
		return &response.Answer
	}
	for i, member := range h.candidates(request.Identity.Incarnation, request.Identity.FailureDomain) {
		if i == maxRecordQueries {
			break
		}
		response, err := h.query(ctx, &member, request)
		if err == nil && response.Known {
			return &response.Answer
		}
	}
	return nil
}

func (h *HandoverController) query(ctx context.Context, member *blackboard.Member, request *peer.RecordRequest) (*peer.RecordResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return peer.Call[peer.RecordRequest, peer.RecordResponse](ctx, h.client, member.Address, peer.MethodRecord, request)
}

// handOverRecord hands over one record.
// A host that did not answer is not called again, since many hosts may stop together.
func (h *HandoverController) handOverRecord(ctx context.Context, parts []peer.HandoverRequest, unreachable map[string]bool) {
	incarnation := parts[0].Incarnation
	for _, member := range h.candidates(incarnation, parts[0].FailureDomain) {
		if member.Leaving || unreachable[member.Name] || ctx.Err() != nil {
			continue
		}
		accepted, err := h.send(ctx, &member, parts)
		unreachable[member.Name] = err != nil
		if accepted {
			h.common.Log.WithField("to", member.Name).WithField("of", incarnation).Info("stored answers were handed over")
			return
		}
	}
	h.common.Log.WithField("of", incarnation).Warn("no host accepted the stored answers; later queries get unknown")
}

func (h *HandoverController) send(ctx context.Context, member *blackboard.Member, parts []peer.HandoverRequest) (accepted bool, err error) {
	for i := range parts {
		callCtx, cancel := context.WithTimeout(ctx, 2*recordTimeout)
		response, err := peer.Call[peer.HandoverRequest, peer.HandoverResponse](callCtx, h.client, member.Address, peer.MethodHandover, &parts[i])
		cancel()
		if err != nil || !response.Kept {
			return false, err
		}
	}
	return true, nil
}

// candidates returns the other live hosts, those of the failure domain first, in the same order at every host.
func (h *HandoverController) candidates(incarnation, domain string) []blackboard.Member {
	var members []blackboard.Member
	for _, member := range h.board.Members.Load().ByName {
		if member.Alive && member.Name != h.common.Settings.Name {
			members = append(members, member)
		}
	}
	rank := func(member *blackboard.Member) (remote int, order uint64) {
		if member.FailureDomain != domain {
			remote = 1
		}
		return remote, xxhash.Sum64String(incarnation + "/" + member.Name)
	}
	slices.SortFunc(members, func(a, b blackboard.Member) int {
		aRemote, aOrder := rank(&a)
		bRemote, bOrder := rank(&b)
		return cmp.Or(cmp.Compare(aRemote, bRemote), cmp.Compare(aOrder, bOrder))
	})
	return members
}

// store adds one part of a record. A record that would exceed the limits is dropped.
func (h *HandoverController) store(part *peer.HandoverRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.board.Draining.Load() {
		return false
	}
	record, ok := h.records[part.Incarnation]
	if !ok {
		record = &handoverRecord{entries: map[ledger.ID]peer.HandoverEntry{}}
		h.records[part.Incarnation] = record
	}
	record.domain = part.FailureDomain
	record.oldestWindow = part.OldestWindow
	record.received = h.common.Clock.Now()
	for _, entry := range part.Entries {
		if h.entries >= h.common.Settings.Ticket.Entries || h.bytes+answerSize(entry.Answer) > h.common.Settings.Ticket.Bytes {
			h.drop(part.Incarnation)
			return false
		}
		h.add(record, entry)
	}
	record.complete = record.complete || part.Last
	return true
}

func (h *HandoverController) add(record *handoverRecord, entry peer.HandoverEntry) {
	id := ledger.ID{Account: entry.Account, Window: entry.Window, Key: entry.Key}
	if _, known := record.entries[id]; known {
		return
	}
	record.entries[id] = entry
	size := answerSize(entry.Answer)
	record.bytes += size
	h.bytes += size
	h.entries++
}

func (h *HandoverController) drop(incarnation string) {
	record := h.records[incarnation]
	h.bytes -= record.bytes
	h.entries -= len(record.entries)
	delete(h.records, incarnation)
}

// answerFor returns the answer from the stored records.
// Only a complete record shows that its home never accepted a submission.
func (h *HandoverController) answerFor(request *peer.RecordRequest) *peer.RecordResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	identity := &request.Identity
	record, ok := h.records[identity.Incarnation]
	if !ok || !record.complete {
		return &peer.RecordResponse{}
	}
	entry, found := record.entries[ledgerID(identity)]
	switch {
	case found && request.Digest != 0 && entry.Digest != 0 && entry.Digest != request.Digest:
		return &peer.RecordResponse{Known: true, Answer: *mismatch()}
	case found && entry.Answer != nil:
		return &peer.RecordResponse{Known: true, Answer: *entry.Answer}
	case found || identity.Window < record.oldestWindow:
		return &peer.RecordResponse{Known: true, Answer: *forgotten()}
	default:
		return &peer.RecordResponse{Known: true, Answer: *neverAccepted()}
	}
}

func (h *HandoverController) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	age := h.common.Settings.Ticket.Window.Std() + h.common.Settings.Ticket.Keep.Std()
	now := h.common.Clock.Now()
	for incarnation, record := range h.records {
		if now.Sub(record.received) > age {
			h.drop(incarnation)
		}
	}
	recordEntries.Set(float64(h.entries))
	recordBytes.Set(float64(h.bytes))
}

func handedEntries(record ledger.Record) []peer.HandoverEntry {
	entries := make([]peer.HandoverEntry, 0, len(record.Entries))
	for _, entry := range record.Entries {
		entries = append(entries, peer.HandoverEntry{
			Account: entry.ID.Account,
			Window:  entry.ID.Window,
			Key:     entry.ID.Key,
			Digest:  entry.Digest,
			Answer:  entry.Answer,
		})
	}
	return entries
}

func valuesOf(entries map[ledger.ID]peer.HandoverEntry) []peer.HandoverEntry {
	values := make([]peer.HandoverEntry, 0, len(entries))
	for _, entry := range entries {
		values = append(values, entry)
	}
	return values
}

// partsOf splits a record into messages of bounded size, each with the same head.
func partsOf(head peer.HandoverRequest, entries []peer.HandoverEntry) []peer.HandoverRequest {
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

func neverAccepted() *api.Answer {
	return refused(&dispatch.Refusal{
		Code:       api.CodeDraining,
		Reason:     "the home stopped without having taken the submission",
		RetryAfter: retryWhileDraining,
	})
}
