package cellhost

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

// began is what the clocks of directories show at first.
var began = time.Unix(1_800_000_000, 0)

func newDirectory() (*DirectoryController, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(began)
	c := &common.Common{Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, Clock: clock}
	return NewDirectoryController(c, NewBoard()), clock
}

func infos(ids ...string) []peer.WorkerInfo {
	workers := make([]peer.WorkerInfo, 0, len(ids))
	for _, id := range ids {
		workers = append(workers, peer.WorkerInfo{ID: id, FailureDomain: north})
	}
	return workers
}

// entriesOf returns entries that list workers, and then entries that do not.
func entriesOf(workers []peer.WorkerInfo, gone ...string) []DirectoryEntry {
	entries := listedEntries(workers)
	for _, id := range gone {
		entries = append(entries, DirectoryEntry{ID: id})
	}
	return entries
}

func idsOf(workers []peer.WorkerInfo) []string {
	ids := make([]string, 0, len(workers))
	for i := range workers {
		ids = append(ids, workers[i].ID)
	}
	slices.Sort(ids)
	return ids
}

func TestDirectoryTellsWhatChangedSinceAPosition(t *testing.T) {
	d, clock := newDirectory()
	require.False(t, d.ChangesSince(&peer.ChangesRequest{Since: 0}).Known, "nothing was read yet")
	require.True(t, d.Apply(&DirectoryChange{Entries: entriesOf(infos("a", "b", "c")), Snapshot: true, Next: 10}))
	require.True(t, d.Apply(&DirectoryChange{Entries: entriesOf(infos("a"), "b"), From: 10, Next: 14}))
	d.Apply(&DirectoryChange{From: 14, Next: 14, CompleteAt: clock.Now()})
	clock.Advance(time.Second)
	told := d.ChangesSince(&peer.ChangesRequest{Since: 10})
	require.True(t, told.Known)
	require.Empty(t, told.Workers, "an entry that says the same again is no change")
	require.Equal(t, []string{"b"}, told.Removed)
	require.EqualValues(t, 14, told.Position)
	require.EqualValues(t, time.Second, told.Age)
	require.Empty(t, d.ChangesSince(&peer.ChangesRequest{Since: 14}).Removed)
	require.False(t, d.ChangesSince(&peer.ChangesRequest{Since: 9}).Known, "it read the directory as a whole at 10")
	require.False(t, d.ChangesSince(&peer.ChangesRequest{Since: 15}).Known, "the other host knows more")
}

// TestDirectoryTellsAllWorkersToAHostThatIsTooFarBehind has a host ask that read the directory before the teller did, as most do
// that start together; read by each of them once more, the log would take the store's whole bandwidth.
func TestDirectoryTellsAllWorkersToAHostThatIsTooFarBehind(t *testing.T) {
	teller, clock := newDirectory()
	teller.Apply(&DirectoryChange{Entries: entriesOf(infos("a", "b")), Snapshot: true, Next: 10})
	teller.Apply(&DirectoryChange{Entries: entriesOf(nil, "a"), From: 10, Next: 12, CompleteAt: clock.Now()})
	asker, _ := newDirectory()
	asker.Apply(&DirectoryChange{Entries: entriesOf(infos("a", "c")), Snapshot: true, Next: 7})
	told := teller.ChangesSince(&peer.ChangesRequest{Since: 7, AllowFull: true})
	require.True(t, told.Known)
	require.True(t, told.Full)
	require.True(t, asker.Apply(changeFromPeer(7, told, clock.Now())))
	require.Equal(t, []string{"b"}, slices.Sorted(maps.Keys(listed(asker))))
	require.EqualValues(t, 12, asker.Position())
	require.False(t, asker.ChangesSince(&peer.ChangesRequest{Since: 7}).Known, "what changed and changed back between is not known")
}

func TestWorkerThatIsListedAgainIsAChange(t *testing.T) {
	d, _ := newDirectory()
	d.Apply(&DirectoryChange{Entries: entriesOf(infos("a")), Snapshot: true, Next: 1})
	d.Apply(&DirectoryChange{Entries: entriesOf(nil, "a"), From: 1, Next: 2})
	d.Apply(&DirectoryChange{Entries: entriesOf(infos("a")), From: 2, Next: 3})
	require.Equal(t, []string{"a"}, idsOf(d.ChangesSince(&peer.ChangesRequest{Since: 2}).Workers))
}

func TestWorkersThatAWholeReadingLacksAreGone(t *testing.T) {
	d, clock := newDirectory()
	d.Apply(&DirectoryChange{Entries: entriesOf(infos("a", "b")), Snapshot: true, Next: 1})
	d.Apply(&DirectoryChange{Entries: entriesOf(infos("b")), Snapshot: true, Next: 5})
	require.False(t, d.ChangesSince(&peer.ChangesRequest{Since: 1}).Known, "what changed and changed back between is not known")
	require.Contains(t, d.board.Workers(), "a", "the directory forgets live workers in an outage")
	clock.Advance(removalGrace)
	d.expire()
	require.NotContains(t, d.board.Workers(), "a")
}

func TestOvertakenChangesArePassedOver(t *testing.T) {
	d, _ := newDirectory()
	d.Apply(&DirectoryChange{Entries: entriesOf(infos("a")), Snapshot: true, Next: 5})
	require.False(t, d.Apply(&DirectoryChange{Entries: entriesOf(nil, "a"), Snapshot: true, Next: 4}))
	require.False(t, d.Apply(&DirectoryChange{Entries: entriesOf(nil, "a"), From: 3, Next: 9}), "what it lacks is not known")
	require.False(t, d.Apply(&DirectoryChange{Entries: entriesOf(nil, "a"), From: 6, Next: 9}), "something between is missing")
	require.Empty(t, d.ChangesSince(&peer.ChangesRequest{Since: 5}).Removed)
	require.EqualValues(t, 5, d.Position())
}

// TestOvertakenReadingMakesNothingFresh has a peer's older word come in between a reading and its taking in.
func TestOvertakenReadingMakesNothingFresh(t *testing.T) {
	d, clock := newDirectory()
	d.Apply(&DirectoryChange{Snapshot: true, Next: 5, CompleteAt: clock.Now()})
	told := clock.Now().Add(time.Second)
	require.True(t, d.Apply(&DirectoryChange{FromPeer: true, From: 5, Next: 7, CompleteAt: told}))
	require.False(t, d.Apply(&DirectoryChange{From: 5, Next: 9, CompleteAt: told.Add(time.Second)}))
	require.Equal(t, told, d.LastRead())
}

// logEntry is one entry of the directory's log.
type logEntry struct {
	id      string
	gone    bool
	leaving bool
}

func changeOf(entries []logEntry, from, next int64) *DirectoryChange {
	change := &DirectoryChange{From: from, Next: next}
	for _, entry := range entries[from:next] {
		worker := peer.WorkerInfo{ID: entry.id, Leaving: entry.leaving}
		change.Entries = append(change.Entries, DirectoryEntry{ID: entry.id, Worker: worker, Listed: !entry.gone})
	}
	return change
}

// newest returns the workers that the log lists at a position.
func newest(entries []logEntry, position int64) map[string]peer.WorkerInfo {
	workers := map[string]peer.WorkerInfo{}
	for _, entry := range entries[:position] {
		delete(workers, entry.id)
		if !entry.gone {
			workers[entry.id] = peer.WorkerInfo{ID: entry.id, Leaving: entry.leaving}
		}
	}
	return workers
}

func wholeOf(entries []logEntry, next int64) *DirectoryChange {
	workers := slices.Collect(maps.Values(newest(entries, next)))
	return &DirectoryChange{Entries: listedEntries(workers), Snapshot: true, Next: next}
}

// written returns when the log ended at a position; an entry is written each second, and the hosts' clocks stand still.
func written(position int64) time.Time {
	return began.Add(time.Duration(position) * time.Second)
}

// listed returns the workers that the directory lists, without those that it keeps for a while.
func listed(d *DirectoryController) map[string]peer.WorkerInfo {
	workers := maps.Clone(d.workers)
	for id := range d.removed {
		delete(workers, id)
	}
	return workers
}

// TestHostsThatTellEachOtherKnowTheSame has hosts read the log themselves, ask each other, and carry out late what they have
// read or heard, in any order: each knows exactly what the log says up to its position, and not less than the log said when it believes to have read it.
func TestHostsThatTellEachOtherKnowTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []logEntry
		hosts := make([]*DirectoryController, 3)
		late := make([]*DirectoryChange, 3)
		for i := range hosts {
			hosts[i], _ = newDirectory()
		}
		one := rapid.IntRange(0, len(hosts)-1)
		take := func(i int, change *DirectoryChange) {
			if rapid.Bool().Draw(t, "late") {
				late[i] = change
				return
			}
			hosts[i].Apply(change)
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				entries = append(entries, logEntry{
					id:      fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "worker")),
					gone:    rapid.Bool().Draw(t, "gone"),
					leaving: rapid.Bool().Draw(t, "leaving"),
				})
			},
			"read": func(t *rapid.T) {
				i := one.Draw(t, "host")
				from := hosts[i].Position()
				if end := int64(len(entries)); from > 0 && from < end {
					change := changeOf(entries, from, rapid.Int64Range(from+1, end).Draw(t, "next"))
					if change.Next == end {
						change.CompleteAt = written(end)
					}
					take(i, change)
				}
			},
			"read all": func(t *rapid.T) {
				if end := int64(len(entries)); end > 0 {
					change := wholeOf(entries, end)
					change.CompleteAt = written(end)
					take(one.Draw(t, "host"), change)
				}
			},
			"ask": func(t *rapid.T) {
				i, teller := one.Draw(t, "host"), hosts[one.Draw(t, "teller")]
				since := hosts[i].Position()
				if told := teller.ChangesSince(&peer.ChangesRequest{Since: since, AllowFull: rapid.Bool().Draw(t, "whole")}); told.Known {
					take(i, changeFromPeer(since, told, written(0)))
				}
			},
			"carry out": func(t *rapid.T) {
				if i := one.Draw(t, "host"); late[i] != nil {
					hosts[i].Apply(late[i])
					late[i] = nil
				}
			},
			"": func(t *rapid.T) {
				for _, host := range hosts {
					require.Equal(t, newest(entries, host.Position()), listed(host))
					require.False(t, host.LastRead().After(written(host.Position())), "it has missed what was written by then")
				}
			},
		})
	})
}

// TestFirstReadingOfALargeDirectoryIsOneLine keeps the reading of thousands of workers from using up the lines of a host.
func TestFirstReadingOfALargeDirectoryIsOneLine(t *testing.T) {
	lines := memory.New()
	d, _ := newDirectory()
	d.common.Log = &log.Logger{Handler: lines, Level: log.InfoLevel}
	many := make([]peer.WorkerInfo, 0, 3000)
	for i := range cap(many) {
		many = append(many, peer.WorkerInfo{ID: fmt.Sprint(i), FailureDomain: north, Leaving: i%10 == 0})
	}
	require.True(t, d.Apply(&DirectoryChange{Entries: listedEntries(many), Snapshot: true, Next: 1}))
	require.Len(t, lines.Entries, 1)
	require.Equal(t, log.Fields{"workers": 3000, "leaving": 300}, lines.Entries[0].Fields)
	changed := infos("1", "new")
	changed[0].Leaving = true
	require.True(t, d.Apply(&DirectoryChange{Entries: listedEntries(changed), From: 1, Next: 3}))
	require.Len(t, lines.Entries, 3, "a change of few workers is told of one by one")
}
