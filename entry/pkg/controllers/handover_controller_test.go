package controllers

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/lib/api"
)

func TestRecordGoesToTheHomesPlaceFirstAndInOneOrder(t *testing.T) {
	members := &blackboard.MemberTable{ByName: map[string]blackboard.Member{}}
	for i := range 12 {
		member := blackboard.Member{Name: fmt.Sprintf("h%d", i), Place: []string{"x", "y", "z"}[i%3], Alive: i != 7}
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

func TestRecordIsCutIntoBoundedParts(t *testing.T) {
	value, err := json.Marshal(string(make([]byte, 100_000)))
	require.NoError(t, err)
	entries := make([]peer.HandedEntry, 3*handoverPartEntries)
	for i := range entries {
		entries[i].Key = fmt.Sprint(i)
		if i < 20 {
			entries[i].Answer = &api.Answer{Results: []api.Result{{Value: value}}}
		}
	}
	parts := partsOf(peer.HandoverRequest{Incarnation: "i", Floor: 7}, entries)
	count := 0
	for i, part := range parts {
		require.EqualValues(t, 7, part.Floor)
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
