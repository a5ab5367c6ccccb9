package cellhost

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// syncWith has the keeper compare its only worker with the directory's entry of it.
func (k *keeperFixture) syncWith(entry *peer.WorkerInfo) {
	claimed := map[string]assignedWorker{entry.ID: {info: *entry, epoch: k.loop.epoch}}
	k.keeper.Sync(claimed, map[string]peer.WorkerInfo{entry.ID: *entry}, &View{}, false)
}

// TestKeeperAppliesAChangedCapacityOfAWorkerThatItHolds guards against starts up to the capacity that a worker had when
// it was claimed. The claim, the call that holds the worker, and its runs go on.
func TestKeeperAppliesAChangedCapacityOfAWorkerThatItHolds(t *testing.T) {
	k := newKeeperFixture(t)
	lines := memory.New()
	k.keeper.common.Log = &log.Logger{Handler: lines, Level: log.InfoLevel}
	now := k.clock.Now()
	k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
	require.Len(t, k.keeper.cell.Submit(k.job(), now).Starts, 1)

	shrunk, grown := cellShrunk.Get(), cellGrown.Get()
	entry := &peer.WorkerInfo{ID: "w", Group: "desk", Capacity: cell.Resources{Cores: 16_000, Memory: 1 << 20}}
	k.syncWith(entry)
	require.Empty(t, lines.Entries, "nothing has changed")
	entry.Capacity.Cores = 500
	k.syncWith(entry)
	k.syncWith(entry)
	require.Len(t, lines.Entries, 1)
	require.Equal(t, "worker's capacity changed", lines.Entries[0].Message)
	require.Equal(t, log.Fields{"worker": "w", "before": "cores 16000 memory 1048576 accelerators 0", "after": "cores 500 memory 1048576 accelerators 0"}, lines.Entries[0].Fields)
	second := k.job()
	second.ID, second.Tasks[0].Name = "k", "k.0"
	require.Equal(t, "no worker has room for a task of this size", k.keeper.unfitReason(second))

	entry.Capacity.Cores = 32_000
	k.syncWith(entry)
	require.Len(t, k.keeper.cell.Submit(second, now).Starts, 1)
	require.Equal(t, []uint64{shrunk + 1, grown + 1}, []uint64{cellShrunk.Get(), cellGrown.Get()})
	require.Same(t, k.loop, k.keeper.loops["w"], "the worker was claimed anew")
	require.NoError(t, k.loop.ctx.Err())
}

// TestGrownCapacityStartsWaitingJobs guards against starts that a change of the capacity brings and nobody sends.
func TestGrownCapacityStartsWaitingJobs(t *testing.T) {
	k := newKeeperFixture(t)
	now := k.clock.Now()
	entry := &peer.WorkerInfo{ID: "w", Group: "desk", Capacity: cell.Resources{Cores: 1000, Memory: 1 << 20}}
	k.syncWith(entry)
	k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
	first, second := k.job(), k.job()
	second.ID, second.Tasks[0].Name = "k", "k.0"
	require.Len(t, k.keeper.cell.Submit(first, now).Starts, 1)
	require.Empty(t, k.keeper.cell.Submit(second, now).Starts)
	entry.Capacity.Cores = 2000
	k.syncWith(entry)
	require.Eventually(t, func() bool { return len(k.worker.started()) == 1 }, 5*time.Second, time.Millisecond)
}

// shrunk returns a change by which the only worker has that many thousandths of a core.
func shrunk(cores, from, next int64) *DirectoryChange {
	worker := workerInfo("w")
	worker.Capacity.Cores = cores
	return &DirectoryChange{Entries: listedEntries([]peer.WorkerInfo{worker}), From: from, Next: next}
}

// TestChangedCapacityReachesTheCellWithTheNextTick guards against a directory that passes a change of the capacity alone
// over, and against a keeper that looks at entries only when claims change.
func TestChangedCapacityReachesTheCellWithTheNextTick(t *testing.T) {
	c := newClaimant("a", north)
	c.keeper.workers = &scriptedWorker{holds: make(chan heldCall, 1)}
	c.addHost("a", north, 1)
	c.board.view.Store(c.view)
	c.directory.Apply(&DirectoryChange{Entries: shrunk(16_000, 0, 1).Entries, Snapshot: true, Next: 1})
	c.after(time.Second)
	c.readAt(c.clock.Now())
	c.tick()
	loop := c.keeper.findLoop("w")
	require.NotNil(t, loop)
	defer loop.cancel()
	require.True(t, c.directory.Apply(shrunk(4000, 1, 2)))
	c.tick()
	c.keeper.mu.Lock()
	defer c.keeper.mu.Unlock()
	require.EqualValues(t, 4000, loop.worker.Capacity.Cores)
}

// TestCapacityIsRelayedToHostsThatDoNotReadTheDirectory guards against a large fleet in which only directory readers
// know a changed capacity.
func TestCapacityIsRelayedToHostsThatDoNotReadTheDirectory(t *testing.T) {
	relay, c := newRelay(false, 1, 100)
	first := &DirectoryChange{Entries: shrunk(16_000, 0, 4).Entries, Snapshot: true, Next: 4}
	c.directory.Apply(first)
	c.readAt(c.clock.Now())
	directory, _ := serveDirectory(t, c)
	directory.Apply(first)
	directory.Apply(shrunk(4000, 4, 9))
	fetchOnce(t, relay, c)
	require.EqualValues(t, 4000, c.board.Workers()["w"].Capacity.Cores)
	require.EqualValues(t, 9, c.directory.Position())
}

// TestKeeperOfASmallFleetThatTheStoreTurnsAwayFetchesFromAnother guards against starts over the capacity of a worker that
// has shrunk since the store last answered this host, though it answers the others.
func TestKeeperOfASmallFleetThatTheStoreTurnsAwayFetchesFromAnother(t *testing.T) {
	relay, c := newRelay(true, 1, 2)
	first := &DirectoryChange{Entries: shrunk(16_000, 0, 4).Entries, Snapshot: true, Next: 4}
	c.directory.Apply(first)
	c.readAt(c.clock.Now())
	directory, clock := serveDirectory(t, c)
	directory.Apply(first)
	change := shrunk(4000, 4, 9)
	change.CompleteAt = clock.Now()
	directory.Apply(change)
	c.clock.Advance(keeperFetchInterval)
	relay.tick(t.Context())
	require.Zero(t, relay.lastFetch, "the host reads the store itself")
	c.clock.Advance(keeperMaxDirectoryAge)
	fetchOnce(t, relay, c)
	require.EqualValues(t, 4000, c.board.Workers()["w"].Capacity.Cores)
	require.True(t, relay.ReadsDirectory(), "it keeps trying to read")
}
