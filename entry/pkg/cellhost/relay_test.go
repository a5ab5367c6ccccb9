package cellhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/peer"
)

// serveDirectory serves a directory at the address of a relay's only keeper, and returns it.
func serveDirectory(t *testing.T, c *claimant) (*DirectoryController, *clockwork.FakeClock) {
	t.Helper()
	directory, clock := newDirectory()
	server := peer.NewServer()
	NewRelayController(directory.common, Options{}, NewBoard(), nil, server, directory)
	keeper := c.view.Hosts["keeper-0"]
	keeper.Address = serveOn(t, server)
	c.view.Hosts["keeper-0"] = keeper
	return directory, clock
}

// newRelay returns the relay of host "a" in a fleet with the given numbers of keepers and of other hosts; "a" may be
// a keeper.
func newRelay(keeps bool, keepers, others int) (*RelayController, *claimant) {
	c := newClaimant("a", north)
	claim := func(index int) peer.Claim { return peer.Claim{Cell: peer.CellKey{FailureDomain: north, Index: index}} }
	if keeps {
		c.addHost("a", north, 1, claim(0))
		claims := []peer.Claim{claim(0)}
		c.board.claims.Store(&claims)
	} else {
		c.addHost("a", north, 1)
	}
	for i := range keepers {
		c.addHost(fmt.Sprintf("keeper-%d", i), north, 1, claim(i+1))
	}
	for i := range others {
		c.addHost(fmt.Sprintf("other-%d", i), north, 1)
	}
	c.board.view.Store(c.view)
	relay := NewRelayController(c.common, c.options, c.board, peer.NewClient(nil), peer.NewServer(), c.directory)
	return relay, c
}

func TestHostsOfASmallFleetReadTheDirectoryThemselves(t *testing.T) {
	relay, c := newRelay(false, 3, fullMeshHosts-4)
	c.readAt(c.clock.Now())
	require.True(t, relay.ReadsDirectory())
}

func TestOnlyFewKeepersOfALargeFleetReadTheDirectory(t *testing.T) {
	const keepers = 40
	readers := 0
	for i := range keepers {
		relay, c := newRelay(true, keepers, 100)
		c.readAt(c.clock.Now())
		relay.options.Name = fmt.Sprintf("keeper-%d", i)
		if relay.ReadsDirectory() {
			readers++
		}
	}
	require.LessOrEqual(t, readers, directoryReaders)
	require.GreaterOrEqual(t, readers, directoryReaders-1, "host a may be one of them")

	other, c := newRelay(false, keepers, 100)
	c.readAt(c.clock.Now())
	require.False(t, other.ReadsDirectory())
}

func TestHostReadsTheDirectoryWhenNoPeerProvidesChanges(t *testing.T) {
	relay, c := newRelay(false, 3, 100)
	c.readAt(c.clock.Now())
	require.False(t, relay.ReadsDirectory())
	c.clock.Advance(otherMaxDirectoryAge + time.Millisecond)
	require.True(t, relay.ReadsDirectory())

	alone, c := newRelay(false, 0, 100)
	c.readAt(c.clock.Now())
	require.True(t, alone.ReadsDirectory(), "no host keeps a cell")
}

func TestKeeperLosesPatienceBeforeALeavingWorkerMustGetNoMoreWork(t *testing.T) {
	relay, c := newRelay(true, 40, 100)
	c.readAt(c.clock.Now())
	relay.options.Name = "other-0" // a keeper by its claims that is not among the readers
	require.False(t, relay.ReadsDirectory())
	c.clock.Advance(keeperMaxDirectoryAge + time.Millisecond)
	require.True(t, relay.ReadsDirectory())
}

// TestHostFetchesChangesFromAKeeper has a keeper report that one worker is leaving and another is removed.
func TestHostFetchesChangesFromAKeeper(t *testing.T) {
	relay, c := newRelay(false, 1, 100)
	c.directory.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("w", "x")), Snapshot: true, Next: 5})
	c.readAt(c.clock.Now())
	directory, clock := serveDirectory(t, c)
	directory.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("w", "x")), Snapshot: true, Next: 4})
	leaving := workerInfo("w")
	leaving.Leaving = true
	directory.Apply(&DirectoryChange{
		Entries: entriesOf([]peer.WorkerInfo{leaving}, "x"),
		From:    4,
		Next:    9,
	})
	directory.Apply(&DirectoryChange{From: 9, Next: 9, CompleteAt: clock.Now()})
	clock.Advance(300 * time.Millisecond)
	c.clock.Advance(otherFetchInterval)
	relay.tick(t.Context())
	require.Eventually(t, func() bool { return c.directory.Position() == 9 }, 5*time.Second, time.Millisecond)
	require.True(t, c.board.Workers()["w"].Leaving)
	require.Equal(t, []string{"x"}, c.directory.ChangesSince(&peer.ChangesRequest{Since: 5}).Removed)
	require.Eventually(t, func() bool { return !relay.fetching.Load() }, 5*time.Second, time.Millisecond)
	require.Equal(t, c.clock.Now().Add(-300*time.Millisecond), c.directory.LastRead(), "as old as the peer's reading")
}

// fetchOnce has a relay fetch from a peer, and waits until it has applied the answer.
func fetchOnce(t *testing.T, relay *RelayController, c *claimant) {
	t.Helper()
	c.clock.Advance(otherFetchInterval)
	relay.tick(t.Context())
	require.Eventually(t, func() bool { return !relay.fetching.Load() }, 5*time.Second, time.Millisecond)
}

// TestHostIsToldAllWorkersWhenItIsTooFarBehind has a peer that read the whole directory later than the host.
func TestHostIsToldAllWorkersWhenItIsTooFarBehind(t *testing.T) {
	relay, c := newRelay(false, 1, 100)
	c.directory.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("w")), Snapshot: true, Next: 5})
	c.readAt(c.clock.Now())
	directory, clock := serveDirectory(t, c)
	directory.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("w")), Snapshot: true, Next: 4})
	fetchOnce(t, relay, c)
	require.False(t, relay.ReadsDirectory(), "a peer that is behind is no reason to read")
	require.EqualValues(t, 5, c.directory.Position())
	directory.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("v")), Snapshot: true, Next: 7, CompleteAt: clock.Now()})
	fetchOnce(t, relay, c)
	require.False(t, relay.ReadsDirectory())
	require.EqualValues(t, 7, c.directory.Position())
	require.Contains(t, listed(c.directory), "v")
	require.NotContains(t, listed(c.directory), "w")
}

// TestHostReadsTheDirectoryWhenThePeerHasNotReadIt has neither the host nor its peer know the directory yet.
func TestHostReadsTheDirectoryWhenThePeerHasNotReadIt(t *testing.T) {
	relay, c := newRelay(false, 1, 100)
	serveDirectory(t, c)
	relay.tick(t.Context())
	require.True(t, relay.ReadsDirectory())
	require.False(t, relay.fetching.Load(), "without a known position there are no changes to fetch")
}

// TestKeepersDoNotReadWhileDirectoryReadersAreBehind has the store send less than all keepers together would read:
// the readers make progress, but do not reach the end of the log. Another reader would slow them down further.
func TestKeepersDoNotReadWhileDirectoryReadersAreBehind(t *testing.T) {
	relay, c := newRelay(true, 1, 100)
	relay.options.Name = "other-0" // a keeper by its claims that is not among the readers
	delete(c.view.Hosts, "a")
	c.directory.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("w")), Snapshot: true, Next: 5})
	c.readAt(c.clock.Now())
	directory, _ := serveDirectory(t, c)
	directory.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("w")), Snapshot: true, Next: 4})
	for next := int64(6); next < 12; next++ {
		directory.Apply(&DirectoryChange{From: directory.Position(), Next: next}) // more is to come
		fetchOnce(t, relay, c)
		require.Equal(t, next, c.directory.Position())
		require.False(t, relay.ReadsDirectory(), "the last whole reading is %s old", c.clock.Since(c.directory.LastRead()))
	}
	fetchOnce(t, relay, c)
	c.clock.Advance(keeperMaxDirectoryAge + time.Millisecond)
	require.True(t, relay.ReadsDirectory(), "the directory readers make no progress")
}

// TestDirectoryReaderThatCannotReadFetchesFromAnother has the store refuse one reader's calls while it serves the
// others.
func TestDirectoryReaderThatCannotReadFetchesFromAnother(t *testing.T) {
	relay, c := newRelay(true, 1, 100)
	c.directory.Apply(&DirectoryChange{Entries: entriesOf(workerInfos("w")), Snapshot: true, Next: 5})
	c.readAt(c.clock.Now())
	c.clock.Advance(keeperMaxDirectoryAge + time.Millisecond)
	relay.tick(t.Context())
	require.Equal(t, c.clock.Now(), relay.lastFetch)
	require.True(t, relay.ReadsDirectory(), "it keeps trying to read")
}
