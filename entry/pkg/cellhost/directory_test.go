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

// began is the initial time of the directories' clocks.
var began = time.Unix(1_800_000_000, 0)

func newDirectory() (*DirectoryController, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(began)
	c := &common.Common{Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, Clock: clock}
	return NewDirectoryController(c, NewBoard()), clock
}

// workerInfo returns the entry of a worker.
func workerInfo(id string) peer.WorkerInfo {
	return peer.WorkerInfo{ID: id, Address: "worker-" + id + ":1", FailureDomain: north, Group: "desk"}
}

func workerInfos(ids ...string) []peer.WorkerInfo {
	workers := make([]peer.WorkerInfo, 0, len(ids))
	for _, id := range ids {
		workers = append(workers, workerInfo(id))
	}
	return workers
}

// entriesOf returns entries that list workers, followed by entries that remove workers.
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

func TestDirectoryReturnsChangesSinceAPosition(t *testing.T) {
	d, clock := newDirectory()
	require.False(t, d.ChangesSince(&peer.ChangesRequest{Since: 0}).Known, "nothing was read yet")
	require.True(t, d.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("a", "b", "c")), Snapshot: true, Next: 10}))
	require.True(t, d.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("a"), "b"), From: 10, Next: 14}))
	d.Apply(&DirectoryChange{From: 14, Next: 14, CompleteAt: clock.Now()})
	clock.Advance(time.Second)
	response := d.ChangesSince(&peer.ChangesRequest{Since: 10})
	require.True(t, response.Known)
	require.Empty(t, response.Workers, "a repeated entry is no change")
	require.Equal(t, []string{"b"}, response.Removed)
	require.EqualValues(t, 14, response.Position)
	require.EqualValues(t, time.Second, response.Age)
	require.Empty(t, d.ChangesSince(&peer.ChangesRequest{Since: 14}).Removed)
	require.False(t, d.ChangesSince(&peer.ChangesRequest{Since: 9}).Known, "it read a snapshot at 10")
	require.False(t, d.ChangesSince(&peer.ChangesRequest{Since: 15}).Known, "the other host knows more")
}

// TestDirectoryReturnsSnapshotToAHostTooFarBehind has a host ask that read the directory before its peer did, as most
// hosts do that start together; if each of them read the log again, this would take the store's whole bandwidth.
func TestDirectoryReturnsSnapshotToAHostTooFarBehind(t *testing.T) {
	source, clock := newDirectory()
	source.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("a", "b")), Snapshot: true, Next: 10})
	source.Apply(&DirectoryChange{Entries: entriesOf(nil, "a"), From: 10, Next: 12, CompleteAt: clock.Now()})
	asker, _ := newDirectory()
	asker.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("a", "c")), Snapshot: true, Next: 7})
	response := source.ChangesSince(&peer.ChangesRequest{Since: 7, AllowFull: true})
	require.True(t, response.Known)
	require.True(t, response.Full)
	require.True(t, asker.Apply(changeFromPeer(7, response, clock.Now())))
	require.Equal(t, []string{"b"}, slices.Sorted(maps.Keys(listed(asker))))
	require.EqualValues(t, 12, asker.Position())
	require.False(t, asker.ChangesSince(&peer.ChangesRequest{Since: 7}).Known, "what changed and changed back between is not known")
}

func TestWorkerThatIsListedAgainIsAChange(t *testing.T) {
	d, _ := newDirectory()
	d.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("a")), Snapshot: true, Next: 1})
	d.Apply(&DirectoryChange{Entries: entriesOf(nil, "a"), From: 1, Next: 2})
	d.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("a")), From: 2, Next: 3})
	require.Equal(t, []string{"a"}, idsOf(d.ChangesSince(&peer.ChangesRequest{Since: 2}).Workers))
}

func TestWorkersThatAWholeReadingLacksAreGone(t *testing.T) {
	d, clock := newDirectory()
	d.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("a", "b")), Snapshot: true, Next: 1})
	d.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("b")), Snapshot: true, Next: 5})
	require.False(t, d.ChangesSince(&peer.ChangesRequest{Since: 1}).Known, "what changed and changed back between is not known")
	require.Contains(t, d.board.Workers(), "a", "the directory drops live workers in an outage")
	clock.Advance(removalGrace)
	d.expire()
	require.NotContains(t, d.board.Workers(), "a")
}

func TestOutOfOrderChangesAreRejected(t *testing.T) {
	d, _ := newDirectory()
	d.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("a")), Snapshot: true, Next: 5})
	require.False(t, d.Apply(&DirectoryChange{Entries: entriesOf(nil, "a"), Snapshot: true, Next: 4}))
	require.False(t, d.Apply(&DirectoryChange{Entries: entriesOf(nil, "a"), From: 3, Next: 9}), "the change starts before the known position")
	require.False(t, d.Apply(&DirectoryChange{Entries: entriesOf(nil, "a"), From: 6, Next: 9}), "entries in between are missing")
	require.Empty(t, d.ChangesSince(&peer.ChangesRequest{Since: 5}).Removed)
	require.EqualValues(t, 5, d.Position())
}

// TestRejectedReadingDoesNotUpdateLastRead applies a peer's older change between a reading and its application.
func TestRejectedReadingDoesNotUpdateLastRead(t *testing.T) {
	d, clock := newDirectory()
	d.Apply(&DirectoryChange{Snapshot: true, Next: 5, CompleteAt: clock.Now()})
	response := clock.Now().Add(time.Second)
	require.True(t, d.Apply(&DirectoryChange{FromPeer: true, From: 5, Next: 7, CompleteAt: response}))
	require.False(t, d.Apply(&DirectoryChange{From: 5, Next: 9, CompleteAt: response.Add(time.Second)}))
	require.Equal(t, response, d.LastRead())
}

// logEntry is one entry of the directory's log.
type logEntry struct {
	id      string
	gone    bool
	leaving bool
	cores   int64
}

func (e *logEntry) worker() peer.WorkerInfo {
	worker := workerInfo(e.id)
	worker.Leaving = e.leaving
	worker.Capacity.Cores = e.cores
	return worker
}

func changeOf(entries []logEntry, from, next int64) *DirectoryChange {
	change := &DirectoryChange{From: from, Next: next}
	for _, entry := range entries[from:next] {
		change.Entries = append(change.Entries, DirectoryEntry{ID: entry.id, Worker: entry.worker(), Listed: !entry.gone})
	}
	return change
}

// newest returns the workers that the log lists at a position.
func newest(entries []logEntry, position int64) map[string]peer.WorkerInfo {
	workers := map[string]peer.WorkerInfo{}
	for _, entry := range entries[:position] {
		delete(workers, entry.id)
		if !entry.gone {
			workers[entry.id] = entry.worker()
		}
	}
	return workers
}

func snapshotOf(entries []logEntry, next int64) *DirectoryChange {
	workers := slices.Collect(maps.Values(newest(entries, next)))
	return &DirectoryChange{Entries: listedEntries(workers), Snapshot: true, Next: next}
}

// writtenAt returns when the log ended at a position; one entry is written per second, and the hosts' clocks stand
// still.
func writtenAt(position int64) time.Time {
	return began.Add(time.Duration(position) * time.Second)
}

// listed returns the workers that the directory lists, without removed ones that are still in use.
func listed(d *DirectoryController) map[string]peer.WorkerInfo {
	workers := maps.Clone(d.workers)
	for id := range d.removed {
		delete(workers, id)
	}
	return workers
}

// TestHostsThatTellEachOtherKnowTheSame has hosts read the log, fetch changes from each other, and apply either late
// in any order: each knows exactly what the log holds up to its position, and LastRead is never later than when the
// log ended there.
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
					cores:   rapid.Int64Range(0, 2).Draw(t, "cores"),
				})
			},
			"read": func(t *rapid.T) {
				i := one.Draw(t, "host")
				from := hosts[i].Position()
				if end := int64(len(entries)); from > 0 && from < end {
					change := changeOf(entries, from, rapid.Int64Range(from+1, end).Draw(t, "next"))
					if change.Next == end {
						change.CompleteAt = writtenAt(end)
					}
					take(i, change)
				}
			},
			"read all": func(t *rapid.T) {
				if end := int64(len(entries)); end > 0 {
					change := snapshotOf(entries, end)
					change.CompleteAt = writtenAt(end)
					take(one.Draw(t, "host"), change)
				}
			},
			"ask": func(t *rapid.T) {
				i, source := one.Draw(t, "host"), hosts[one.Draw(t, "source")]
				since := hosts[i].Position()
				if response := source.ChangesSince(&peer.ChangesRequest{Since: since, AllowFull: rapid.Bool().Draw(t, "whole")}); response.Known {
					take(i, changeFromPeer(since, response, writtenAt(0)))
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
					require.False(t, host.LastRead().After(writtenAt(host.Position())), "it has missed entries written by then")
				}
			},
		})
	})
}

// TestFirstReadingOfALargeDirectoryIsOneLine guards against a reading of thousands of workers that uses up a host's
// log lines.
func TestFirstReadingOfALargeDirectoryIsOneLine(t *testing.T) {
	lines := memory.New()
	d, _ := newDirectory()
	d.common.Log = &log.Logger{Handler: lines, Level: log.InfoLevel}
	many := make([]peer.WorkerInfo, 0, 3000)
	for i := range cap(many) {
		worker := workerInfo(fmt.Sprint(i))
		worker.Leaving = i%10 == 0
		many = append(many, worker)
	}
	require.True(t, d.Apply(&DirectoryChange{Entries: listedEntries(many), Snapshot: true, Next: 1}))
	require.Len(t, lines.Entries, 1)
	require.Equal(t, log.Fields{"workers": 3000, "leaving": 300}, lines.Entries[0].Fields)
	changed := workerInfos("1", "new")
	changed[0].Leaving = true
	require.True(t, d.Apply(&DirectoryChange{Entries: listedEntries(changed), From: 1, Next: 3}))
	require.Len(t, lines.Entries, 3, "a change of few workers is logged line by line")
}
