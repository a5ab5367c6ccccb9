package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestCountOfCrashesExpires(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := newCrashTable()
	require.True(t, table.raise("a", Crashes{All: 2}, now))
	require.False(t, table.raise("a", Crashes{All: 1}, now), "the larger count is in force")
	require.False(t, table.raise("b", Crashes{}, now))
	require.False(t, table.raise("b", Crashes{Confirmed: -1}, now))
	require.True(t, table.raise("a", Crashes{Confirmed: 1, Alone: 1}, now))
	require.Equal(t, Crashes{Confirmed: 1, Alone: 1, All: 2}, table.count("a", now.Add(crashMemory)))
	require.Len(t, table.known(now.Add(crashMemory)), 1)
	later := now.Add(crashMemory + 1)
	require.Zero(t, table.count("a", later))
	require.Empty(t, table.known(later))
	require.True(t, table.raise("a", Crashes{All: 1}, later))
	require.Equal(t, Crashes{All: 1}, table.count("a", later))
}

// TestTableOfCrashesIsBounded guards against a table that grows with the crashes of a day, and against one that drops what
// keeps a task from being started again.
func TestTableOfCrashesIsBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := newCrashTable()
	crashing := Crashes{Confirmed: 1, Alone: 1, All: 2}
	table.raise("crashing", crashing, now)
	for i := range 2 * maxCrashEntries {
		now = now.Add(time.Millisecond)
		table.raise(fmt.Sprintf("beside-%d", i), Crashes{All: 1}, now)
	}
	require.Len(t, table.entries, maxCrashEntries)
	require.Equal(t, crashing, table.count("crashing", now))
	require.Zero(t, table.count("beside-0", now), "the oldest of those with one crash")
	require.LessOrEqual(t, len(table.news), maxCrashEntries)
	require.Len(t, table.recent(now), maxCrashNews)
	require.Len(t, table.known(now), maxCrashNews)
	now = now.Add(crashMemory + time.Millisecond)
	table.raise("last", Crashes{All: 1}, now)
	require.Len(t, table.entries, 1, "expired entries make room first")
}

func TestOnlyChangedCountsAreTold(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := newCrashTable()
	require.Empty(t, table.recent(now))
	table.raise("a", Crashes{All: 1}, now)
	table.raise("b", Crashes{All: 1}, now.Add(time.Second))
	table.raise("a", Crashes{All: 2}, now.Add(time.Second))
	require.Equal(t, []CrashCount{{"a", Crashes{All: 2}}, {"b", Crashes{All: 1}}}, table.recent(now.Add(time.Second)))
	require.Len(t, table.recent(now.Add(time.Second+crashNews)), 2)
	require.Empty(t, table.recent(now.Add(time.Second+crashNews+1)))
	require.Empty(t, table.news)
	require.Len(t, table.known(now.Add(time.Minute)), 2)
}

// TestCountOfCrashesOutlivesItsJob guards against a caller who sends the job again after a 504: the task must not begin
// at zero, neither where it was known nor at a host that heard of it.
func TestCountOfCrashesOutlivesItsJob(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(6, 16, 1)
	h.pass(200 * time.Millisecond) // until the workers' clocks are known
	h.crashes["j.0"] = true
	for sending, want := range []struct {
		outcome string
		starts  int
	}{{"abandoned", 1}, {"failed", 2}, {"failed", 2}} {
		job := h.jobNamed("j", 1, 5, short, time.Second, time.Second)
		h.submit(job)
		h.pass(resendAfter)
		require.Equal(t, want.outcome, h.outcome(job), sending)
		require.Equal(t, want.starts, h.starts["j.0"], sending)
		require.Empty(t, h.cell.byID)
	}
	other := newHarness(t)
	other.addWorkers(2, 16, 1)
	other.cell.MergeCrashes(h.cell.KnownCrashes(h.now), other.now)
	for _, submit := range []func(job *Job){other.submit, func(job *Job) { require.True(t, other.submitLate(job)) }} {
		job := other.jobNamed("j", 2, 5, short, time.Second, time.Second)
		require.True(t, other.cell.CrashesWorkers(job, other.now))
		submit(job)
		require.Equal(t, "failed", other.outcome(job))
	}
	require.Empty(t, other.starts)
}

// TestJobFailsWhenAnotherHostTellsOfItsCrashes guards against a task that goes on here although it was given up elsewhere.
func TestJobFailsWhenAnotherHostTellsOfItsCrashes(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond) // until the worker's clock is known
	job, other := h.job(1, 5, time.Second, veryLong, veryLong), h.job(1, 5, time.Second, veryLong, veryLong)
	h.submit(job)
	h.submit(other)
	tell := func(counts ...CrashCount) {
		effects := h.cell.MergeCrashes(counts, h.now)
		h.applyEffects(&effects)
	}
	tell(CrashCount{job.ID + ".0", Crashes{Confirmed: 1, Alone: 1, All: 1}}, CrashCount{"", Crashes{All: 5}}, CrashCount{string(make([]byte, maxTaskName+1)), Crashes{All: 5}})
	require.Equal(t, "none", h.outcome(job))
	require.Len(t, h.cell.crashTable.entries, 1)
	tell(CrashCount{job.ID + ".0", Crashes{Confirmed: 2}})
	require.Equal(t, "failed", h.outcome(job))
	h.pass(10 * time.Millisecond)
	require.Len(t, h.workers["w00"].running, 1)
	h.pass(time.Second)
	require.Equal(t, "completed", h.outcome(other))
}

// crashDomain is a failure domain whose keepers tell each other of crashes, as heartbeats do.
type crashDomain struct {
	*simDomain
	shared simCrashes
	lost   int // keepers that have failed
}

// tell exchanges the counts of crashes, and tells a new keeper all of them.
func (d *crashDomain) tell() {
	for _, from := range d.keepers {
		if from.failed {
			continue
		}
		for _, to := range d.keepers {
			if !to.failed && to != from {
				effects := to.cell.MergeCrashes(from.cell.RecentCrashes(d.now), d.now)
				to.applyEffects(&effects)
			}
		}
	}
}

// replaceKeeper fails the keeper of a cell; another one follows, which learns the counts from those that are left.
func (d *crashDomain) replaceKeeper(index int) {
	for _, k := range d.keepers {
		if k.cellIndex == index && k.isKeeper && !k.failed {
			k.failed = true
			d.lost++
		}
	}
	next := d.addKeeper(index)
	next.simCrashes = d.shared
	for _, k := range d.keepers {
		if !k.failed {
			next.cell.MergeCrashes(k.cell.KnownCrashes(d.now), d.now)
		}
	}
	d.claim(next)
}

// TestRandomisedCrashesOverKeepers has callers send jobs again to any keeper while keepers and homes fail. No task that
// crashes its workers is started more often than the bound, and once more for each keeper that was lost before it could
// tell.
func TestRandomisedCrashesOverKeepers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &crashDomain{simDomain: newSimDomain(t), shared: newSimCrashes()}
		d.shared.crashStart = rapid.SampledFrom([]StartResult{StartAccepted, StartUnconfirmed}).Draw(t, "answer")
		for _, k := range d.keepers {
			k.simCrashes = d.shared
		}
		for len(d.workers) < 12 {
			d.addWorker()
		}
		pass := func(length time.Duration) {
			for end := d.now.Add(length); d.now.Before(end); {
				d.pass(step)
				d.tell()
			}
		}
		pass(200 * time.Millisecond) // until the workers' clocks are known
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				d.replaceKeeper(rapid.IntRange(0, cells-1).Draw(t, "cell"))
			case 1:
				d.failHome()
			default:
				if rapid.IntRange(0, 3).Draw(t, "crashes") == 0 {
					d.shared.crashes[fmt.Sprintf("j%04d.0", len(d.requests))] = true
				}
				d.submitRequest()
			}
			pass(time.Duration(rapid.IntRange(0, 600).Draw(t, "pass")) * time.Millisecond)
		}
		pass(15 * time.Second)
		for task, starts := range d.shared.starts {
			if d.shared.crashes[task] && starts > d.shared.maxStarts()+d.lost {
				t.Fatalf("task %s was started %d times, with %d keepers lost", task, starts, d.lost)
			}
		}
	})
}
