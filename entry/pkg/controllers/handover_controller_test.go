package controllers

import (
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/ledger"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/lib/api"
)

func TestHandoverCandidatesAreOrderedAlikeWithTheHomesFailureDomainFirst(t *testing.T) {
	members := &blackboard.MemberTable{ByName: map[string]blackboard.Member{}}
	for i := range 12 {
		member := blackboard.Member{Name: fmt.Sprintf("h%d", i), FailureDomain: []string{"x", "y", "z"}[i%3], Alive: i != 7}
		members.ByName[member.Name] = member
	}
	order := func(asker string) []string {
		host := newSimHost(asker, "x", 1, clockwork.NewFakeClock())
		host.board.Members.Store(members)
		var names []string
		for _, member := range host.handovers.candidates("incarnation", "y") {
			require.NotEqual(t, "h7", member.Name, "it is not alive")
			names = append(names, member.Name)
		}
		return names
	}
	first := order("outside")
	require.Len(t, first, 11)
	require.ElementsMatch(t, []string{"h1", "h4", "h10"}, first[:3])
	require.Equal(t, first, order("elsewhere"))
}

// TestHandoverCallsAnUnreachableHostOnce guards against repeated calls when a fleet stops together:
// each host called every other one again for each record.
func TestHandoverCallsAnUnreachableHostOnce(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var calls atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			calls.Add(1)
			_ = conn.Close()
		}
	}()
	host := newSimHost("h0", "x", 1, clockwork.NewFakeClock())
	host.handovers.client = peer.NewClient(nil)
	host.board.Members.Store(&blackboard.MemberTable{ByName: map[string]blackboard.Member{
		"h1": {Name: "h1", FailureDomain: "x", Alive: true, Address: listener.Addr().String()},
	}})
	for i := range 5 {
		record := &handoverRecord{complete: true, entries: map[ledger.ID]peer.HandoverEntry{}}
		host.handovers.records[fmt.Sprint(i)] = record
	}
	host.handovers.HandOver(t.Context(), ledger.Record{})
	require.EqualValues(t, 1, calls.Load())
}

func TestHandoverRecordIsSplitIntoBoundedParts(t *testing.T) {
	value, err := json.Marshal(string(make([]byte, 100_000)))
	require.NoError(t, err)
	entries := make([]peer.HandoverEntry, 3*handoverPartEntries)
	for i := range entries {
		entries[i].Key = fmt.Sprint(i)
		if i < 20 {
			entries[i].Answer = &api.Answer{Results: []api.Result{{Value: value}}}
		}
	}
	parts := partsOf(peer.HandoverRequest{Incarnation: "i", OldestWindow: 7}, entries)
	count := 0
	for i, part := range parts {
		require.EqualValues(t, 7, part.OldestWindow)
		require.Equal(t, i == len(parts)-1, part.Last)
		require.LessOrEqual(t, len(part.Entries), handoverPartEntries)
		bytes := int64(0)
		for _, entry := range part.Entries {
			bytes += answerSize(entry.Answer)
		}
		require.LessOrEqual(t, bytes, int64(2*handoverPartBytes))
		count += len(part.Entries)
	}
	require.Len(t, entries, count)
}
