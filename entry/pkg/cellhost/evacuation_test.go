package cellhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

func evacuationOf(next int64, domains ...string) *EvacuationChange {
	change := &EvacuationChange{Next: next}
	for _, domain := range domains {
		change.Entries = append(change.Entries, EvacuationEntry{FailureDomain: domain, Evacuated: true})
	}
	return change
}

func takenBack(next int64, domain string) *EvacuationChange {
	return &EvacuationChange{Next: next, Entries: []EvacuationEntry{{FailureDomain: domain}}}
}

// notedEvacuations notes what an observer is told.
type notedEvacuations struct {
	told [][]string
}

func (n *notedEvacuations) SetEvacuated(domains []string) { n.told = append(n.told, domains) }

func newEvacuations() (*EvacuationController, *notedEvacuations) {
	c := newClaimant("a", north)
	noted := &notedEvacuations{}
	return NewEvacuationController(c.common, c.board, noted), noted
}

func TestOlderKnowledgeUndoesNeitherStartNorEndOfAnEvacuation(t *testing.T) {
	e, noted := newEvacuations()
	e.Apply(evacuationOf(5, north))
	e.ApplyFromPeer(&peer.Evacuations{Position: 4}, "behind")
	e.Apply(takenBack(4, north))
	require.Equal(t, []string{north}, e.board.Evacuations().Domains)
	e.ApplyFromPeer(&peer.Evacuations{Position: 9}, "ahead")
	require.Empty(t, e.board.Evacuations().Domains)
	e.Apply(evacuationOf(5, north)) // the own reading is behind what the peer told
	e.ApplyFromPeer(&peer.Evacuations{Position: 5, Domains: []string{north}}, "behind")
	require.Empty(t, e.board.Evacuations().Domains)
	require.Equal(t, [][]string{{north}, nil}, noted.told, "each change is told once")
}

// TestLostHistoryEndsEvacuationsThatItEnded reads all keys anew after the records between were dropped.
func TestLostHistoryEndsEvacuationsThatItEnded(t *testing.T) {
	e, _ := newEvacuations()
	e.Apply(evacuationOf(5, north, south))
	snapshot := evacuationOf(8, south)
	snapshot.Snapshot = true
	e.Apply(snapshot)
	require.Equal(t, []string{south}, e.board.Evacuations().Domains)
	snapshot.Next = 7
	snapshot.Entries = nil
	e.Apply(snapshot)
	require.Equal(t, []string{south}, e.board.Evacuations().Domains)
}

// TestOddNameOfAnEvacuationIsNotTold guards against heartbeats that no host of an earlier version understands.
func TestOddNameOfAnEvacuationIsNotTold(t *testing.T) {
	e, noted := newEvacuations()
	e.Apply(evacuationOf(5, north, "\xff", "", "a\nb"))
	require.Equal(t, []string{north}, e.board.Evacuations().Domains)
	e.ApplyFromPeer(&peer.Evacuations{Position: 6, Domains: []string{north, south, "\xfe"}}, "earlier version")
	require.Equal(t, []string{north, south}, e.board.Evacuations().Domains)
	e.Apply(evacuationOf(7, "\xfe"))
	require.Equal(t, [][]string{{north}, {north, south}}, noted.told)
}

func TestEvacuatedAndTakenBackInOneReading(t *testing.T) {
	e, noted := newEvacuations()
	change := evacuationOf(5, north, south)
	change.Entries = append(change.Entries, EvacuationEntry{FailureDomain: north})
	e.Apply(change)
	require.Equal(t, []string{south}, e.board.Evacuations().Domains)
	e.Apply(evacuationOf(6, south)) // evacuated a second time
	require.Len(t, noted.told, 1)
}

// TestHomePassesOverKeepersOfAnEvacuatedFailureDomain has the keeper of the home's own failure domain evacuated.
func TestHomePassesOverKeepersOfAnEvacuatedFailureDomain(t *testing.T) {
	home, _ := twoKeepers(t, "")
	home.board.evacuations.Store(&peer.Evacuations{Position: 1, Domains: []string{north}})
	keepers := home.keepers()
	require.Len(t, keepers, 1)
	require.Equal(t, "b", keepers[0].Name)
	home.board.evacuations.Store(&peer.Evacuations{Position: 2})
	require.Len(t, home.keepers(), 2)
}

func TestJobIsRefusedAtOnceWhileEverythingIsEvacuated(t *testing.T) {
	home, _ := twoKeepers(t, "")
	home.board.evacuations.Store(&peer.Evacuations{Position: 1, Domains: []string{north, south}})
	began := time.Now()
	answer := home.Serve(t.Context(), submissionOf(home.common.Clock))
	require.Equal(t, cell.Refused, answer.Outcome)
	require.Contains(t, answer.Reason, "evacuated")
	require.Equal(t, evacuatedRetry, answer.RetryAfter)
	require.Less(t, time.Since(began), keeperGrace/2)
}

// TestHomesOfAnEvacuatedFailureDomainHearKeepersElsewhere has one host of a large fleet choose whom to call.
func TestHomesOfAnEvacuatedFailureDomainHearKeepersElsewhere(t *testing.T) {
	c := newClaimant("a", north)
	for _, name := range []string{"a", "n1", "n2"} {
		c.addHost(name, north, 1)
	}
	for i := range fullMeshHosts {
		c.addHost(string(rune('c'+i)), south, 1)
	}
	c.addHost("keeper", south, 1, peer.Claim{Cell: peer.CellKey{FailureDomain: south}, CellCount: 1, Epoch: 1})
	c.board.view.Store(c.view)
	c.clock.Advance(time.Hour)
	c.board.evacuations.Store(&peer.Evacuations{Position: 1, Domains: []string{north}})
	for range 20 {
		targets := c.members.heartbeatTargets(false)
		require.Len(t, targets, 1, "the cost of a host does not grow with the fleet")
		require.Equal(t, "keeper", targets[0].Name)
		c.members.ticks++
	}
}
