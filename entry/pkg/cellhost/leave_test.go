package cellhost

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// TestWorkerThatLeavesAsListedHasNotCrashed guards against a refused connection that is taken for a crash, although the
// directory lists the worker as leaving; a worker that is only handed over to another keeper does crash.
func TestWorkerThatLeavesAsListedHasNotCrashed(t *testing.T) {
	refused := errors.WithStack(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	for _, test := range []struct {
		name              string
		claimed, leaving  bool
		crashes           uint64
		message, runEnded string
	}{
		{"claimed and leaving", true, true, 0, "worker has left", "left"},
		{"handed over and leaving", false, true, 0, "worker has left", "left"},
		{"handed over", false, false, 1, "worker crashed", "crashed"},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newKeeperFixture(t)
			lines := memory.New()
			k.keeper.common.Log = &log.Logger{Handler: lines, Level: log.InfoLevel}
			now := k.clock.Now()
			k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
			job := k.job()
			require.Len(t, k.keeper.cell.Submit(job, now).Starts, 1)
			entry := &peer.WorkerInfo{ID: "w", Group: "desk", Capacity: k.loop.worker.Capacity, Leaving: test.leaving}
			if test.claimed {
				k.syncWith(entry)
			} else {
				k.keeper.Sync(nil, map[string]peer.WorkerInfo{"w": *entry}, &View{}, false)
			}
			before := cellWorkerCrashes.Get()
			k.loop.handleUnanswered(refused)
			require.Equal(t, test.crashes, cellWorkerCrashes.Get()-before)
			require.Equal(t, test.message, lines.Entries[0].Message)
			k.clock.Advance(2 * time.Second)
			k.keeper.tick()
			require.Equal(t, test.runEnded, job.Diagnostics.EndedRuns[0].Result)
		})
	}
}

// TestKeeperKnowsHowOldItsDirectoryIs guards against a crash that is taken for certain while the directory, where the worker may
// have announced that it leaves, cannot be read.
func TestKeeperKnowsHowOldItsDirectoryIs(t *testing.T) {
	for age, want := range map[time.Duration]cell.Crashes{
		leaveNotice:                    {Confirmed: 1, All: 1},
		leaveNotice + time.Millisecond: {All: 1},
	} {
		k := newKeeperFixture(t)
		now := k.clock.Now()
		directory := NewDirectoryController(k.keeper.common, k.keeper.board)
		directory.Apply(&DirectoryChange{Snapshot: true, Next: 1, CompleteAt: now.Add(-age)})
		k.keeper.cell.HandleReport(k.loop.worker, k.report(), now, now)
		effects := k.keeper.cell.Submit(k.job(), now)
		k.keeper.sendStart(effects.Starts[0])
		k.loop.handleUnanswered(errors.WithStack(syscall.ECONNREFUSED))
		require.Equal(t, []cell.CrashCount{{Task: "j.0", Crashes: want}}, k.keeper.RecentCrashes())
	}
}
