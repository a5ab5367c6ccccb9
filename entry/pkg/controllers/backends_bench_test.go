package controllers

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/peer"
	"chervilusher.dev/entry/pkg/queue"
	"chervilusher.dev/entry/pkg/settings"
	"chervilusher.dev/lib/platform"
)

// BenchmarkHostsChanged measures one change of the host list at a host with loans, by the number of back ends,
// with 24 failure domains and 144 entry hosts, and the memory that the host keeps for each back end.
func BenchmarkHostsChanged(b *testing.B) {
	for _, count := range []int{48, 480, 5500} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			before := heapInUse()
			c := &common.Common{Log: &log.Logger{Handler: discard.New()}, Settings: settings.Default(), Clock: clockwork.NewFakeClock()}
			c.Settings.Name, c.Settings.FailureDomain = "e-0-0", "p0"
			board := blackboard.New()
			engine := dispatch.New(&board.Dispatch, dispatch.Policies{
				NewQueue: func(map[string]*blackboard.Account) blackboard.Queue { return queue.NewFIFO() },
			}, dispatch.Limits{})
			lender := NewLendingController(c, board, engine, &notifyingRunner{observe: func() {}}, nil, peer.NewServer())
			controller := NewBackendsController(c, board, engine, lender, noAssigner{})
			board.Members.Store(manyMembers())
			board.Hosts.Store(manyHosts(count))
			controller.HostsChanged()
			held := heapInUse() - before
			for b.Loop() {
				controller.HostsChanged()
			}
			b.ReportMetric(float64(held)/float64(count), "heap-bytes/backend")
		})
	}
}

func manyMembers() *blackboard.MemberTable {
	table := &blackboard.MemberTable{ByName: map[string]blackboard.Member{}}
	for domain := range 24 {
		for i := range 6 {
			name := fmt.Sprintf("e-%d-%d", domain, i)
			table.ByName[name] = blackboard.Member{Name: name, Address: "127.0.0.1:1", FailureDomain: fmt.Sprintf("p%d", domain), Size: 1, Alive: true}
		}
	}
	return table
}

func manyHosts(count int) *blackboard.HostTable {
	table := &blackboard.HostTable{Version: 1, ByName: map[string]platform.Host{}}
	for i := range count {
		name := fmt.Sprintf("worker-%d", i)
		table.ByName[name] = platform.Host{
			Name: name, Address: "127.0.0.1:2", Place: fmt.Sprintf("p%d", i%24), Rack: fmt.Sprintf("r%d", i/8),
			Role: platform.RoleWorker, Group: "heavy", State: platform.HostLive, Cores: 64, Memory: 128 << 30, Accelerators: 1,
		}
	}
	return table
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
