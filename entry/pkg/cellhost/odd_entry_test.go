package cellhost

import (
	"maps"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// oddWorkers returns entries that name no worker that can be used, in the ways in which a writer or an earlier version
// may have written them.
func oddWorkers() []peer.WorkerInfo {
	port, none, large, domain, line := workerInfo("port"), workerInfo("none"), workerInfo("large"), workerInfo("domain"), workerInfo("w\nx")
	port.Address = "10.0.0.9:99999"
	none.Address = "10.0.0.9"
	large.Capacity = cell.Resources{Cores: math.MaxInt64, Memory: math.MaxInt64, Accelerators: math.MaxInt64}
	domain.FailureDomain = strings.Repeat("north", 50_000)
	return []peer.WorkerInfo{workerInfo("\xff"), workerInfo("a\ufffd"), port, none, large, domain, line}
}

// TestOddEntryReachesNeitherTheBoardNorAPeer guards against workers that nobody can call, and messages that peers of an
// earlier version refuse, whichever way an odd entry came.
func TestOddEntryReachesNeitherTheBoardNorAPeer(t *testing.T) {
	sound := workerInfo("w")
	told := &peer.ChangesResponse{Known: true, Position: 9, Workers: append(oddWorkers(), sound), Removed: []string{"\xfe", "gone"}}
	for name, change := range map[string]*DirectoryChange{
		"store": {Entries: listedEntries(append(oddWorkers(), sound)), Snapshot: true, Next: 9},
		"peer":  changeFromPeer(3, told, began),
	} {
		d, _ := newDirectory()
		require.True(t, d.Apply(&DirectoryChange{Snapshot: true, Next: 3}))
		require.True(t, d.Apply(change), name)
		require.Equal(t, []string{"w"}, slices.Collect(maps.Keys(d.board.Workers())), name)
		response := d.ChangesSince(&peer.ChangesRequest{Since: 3, AllowFull: true})
		require.Equal(t, []peer.WorkerInfo{sound}, response.Workers, name)
		for _, removed := range response.Removed {
			require.NoError(t, peer.CheckName(removed), name)
		}
		raw, err := cbor.Marshal(response)
		require.NoError(t, err)
		require.NoError(t, cbor.Unmarshal(raw, &peer.ChangesResponse{}), "hosts of the previous build, which decode strictly, take it")
	}
}

// TestWorkerWhoseEntryTurnsOddIsDropped has an entry be replaced by one that names no worker.
func TestWorkerWhoseEntryTurnsOddIsDropped(t *testing.T) {
	d, clock := newDirectory()
	odd := workerInfo("w")
	odd.Address = "nowhere"
	require.True(t, d.Apply(&DirectoryChange{Entries: listedEntries(workerInfos("v", "w")), Snapshot: true, Next: 1}))
	require.True(t, d.Apply(&DirectoryChange{Entries: listedEntries([]peer.WorkerInfo{odd}), From: 1, Next: 2}))
	clock.Advance(removalGrace)
	d.expire()
	require.Equal(t, []string{"v"}, slices.Collect(maps.Keys(d.board.Workers())))
	require.True(t, d.Apply(&DirectoryChange{Entries: listedEntries(workerInfos("w")), From: 2, Next: 3}))
	require.Len(t, d.board.Workers(), 2)
}

// TestOddEntryIsLoggedOnce guards against a flood of warnings from an entry that is written each second.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	lines := memory.New()
	d, _ := newDirectory()
	d.common.Log = &log.Logger{Handler: lines, Level: log.WarnLevel}
	for position := range int64(50) {
		require.True(t, d.Apply(&DirectoryChange{Entries: listedEntries(oddWorkers()), From: position, Next: position + 1}))
	}
	require.Len(t, lines.Entries, len(oddWorkers()))
}

// TestOddRecordOfAPeersDirectoryLeavesTheOthers has a host start while the store is down, beside one of an earlier version.
func TestOddRecordOfAPeersDirectoryLeavesTheOthers(t *testing.T) {
	c := newClaimant("a", north)
	bootstrap := &BootstrapController{common: c.common, board: c.board, directory: c.directory, members: c.members}
	sound := peer.HostInfo{Name: "b", Address: "10.0.0.2:1", FailureDomain: north, Size: 1}
	hosts := []peer.HostInfo{sound}
	for _, spoil := range []func(host *peer.HostInfo){
		func(host *peer.HostInfo) { host.Name = "\xff" },
		func(host *peer.HostInfo) { host.Address = "10.0.0.2:99999" },
		func(host *peer.HostInfo) { host.FailureDomain = "" },
	} {
		odd := sound
		odd.Name = "odd"
		spoil(&odd)
		hosts = append(hosts, odd)
	}
	bootstrap.apply(&peer.DirectoryResponse{Hosts: hosts, Workers: append(oddWorkers(), workerInfo("w"))})
	require.Equal(t, []string{"b"}, slices.Collect(maps.Keys(c.board.View().Hosts)))
	require.Equal(t, []string{"w"}, slices.Collect(maps.Keys(c.board.Workers())))
}
