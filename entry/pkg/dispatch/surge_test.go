package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	surgeStart = 20 * time.Second
	surgeEnd   = 25 * time.Second
)

// surgeFigures summarises the jobs around a surge of demand.
type surgeFigures struct {
	goodput         float64       // work of jobs in time during the surge, relative to capacity
	late            int           // jobs completed after their deadline
	maxLateResponse time.Duration // longest response time of a late job
	expired         int           // jobs admitted, but not completed
	refused         int
	p99Before       float64       // worst p99 of a window before the surge, relative to ideal
	recovery        time.Duration // time until p99 is as before the surge
	refusedBefore   int           // jobs refused before the surge
}

func runSurge(seed uint64, chosen policies, jobSize int, deadline time.Duration) surgeFigures {
	d := newDriver(seed, referenceFleet, chosen)
	d.addAccount("kerlouan", 1)
	rate := d.capacity() / meanShort / float64(jobSize)
	d.stream(func(at time.Duration) float64 {
		if at >= surgeStart && at < surgeEnd {
			return 3 * rate
		}
		return 0.7 * rate
	}, func() work {
		tasks := make([]time.Duration, jobSize)
		for i := range tasks {
			tasks[i] = between(d.random, 50*time.Millisecond, time.Second)
		}
		return work{account: "kerlouan", kind: "short", deadline: deadline, declared: time.Second, tasks: tasks}
	})
	d.runUntil(45 * time.Second)
	return d.surgeFigures()
}

func (d *driver) surgeFigures() surgeFigures {
	var figures surgeFigures
	for i := range d.results {
		r := &d.results[i]
		switch {
		case !r.complete:
			figures.expired++
		case !r.inDeadline:
			figures.late++
			figures.maxLateResponse = max(figures.maxLateResponse, r.took)
		}
	}
	done := 0.0
	for _, end := range d.ends {
		if d.inDeadline[end.job] {
			done += end.workIn(surgeStart, surgeEnd)
		}
	}
	figures.goodput = done / (d.capacity() * (surgeEnd - surgeStart).Seconds())
	for _, r := range d.refused {
		if r.arrived < surgeStart {
			figures.refusedBefore++
		} else {
			figures.refused++
		}
	}
	figures.p99Before = d.worstP99(surgeStart-10*time.Second, surgeStart)
	figures.recovery = d.recoveryTime(figures.p99Before)
	return figures
}

// window is the interval for which a p99 is computed.
const window = 500 * time.Millisecond

func (d *driver) worstP99(from, until time.Duration) float64 {
	worst := 0.0
	for ; from < until; from += window {
		worst = max(worst, percentile(d.ratios(from, from+window, nil), 0.99))
	}
	return worst
}

// recoveryTime returns how long after the surge a window's p99 stays above the worst one before it.
func (d *driver) recoveryTime(before float64) time.Duration {
	from := surgeEnd
	for from < surgeEnd+15*time.Second && percentile(d.ratios(from, from+window, nil), 0.99) > before {
		from += window
	}
	return from - surgeEnd
}

func TestSurgeOfThreeTimesCapacity(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{3 * time.Second, 10 * time.Second} {
		for _, seed := range seeds {
			f := runSurge(seed, policies{}, 1, deadline)
			none := runSurge(seed, baseline, 1, deadline)
			t.Logf("deadline %s seed %d: %+v", deadline, seed, f)
			t.Logf("deadline %s seed %d without admission control: %+v", deadline, seed, none)
			require.GreaterOrEqual(t, f.goodput, 0.95)
			require.Zero(t, f.late)
			require.Zero(t, f.expired)
			require.Zero(t, f.refusedBefore)
			require.LessOrEqual(t, f.recovery, 2*time.Second)
		}
	}
}

func TestSurgeOfParallelJobs(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		f := runSurge(seed, policies{}, 40, 5*time.Second)
		t.Logf("jobs of 40 tasks, seed %d: %+v", seed, f)
		require.GreaterOrEqual(t, f.goodput, 0.95)
		require.Zero(t, f.refusedBefore)
	}
}

// mixedWork returns a job of the reference mix with a deadline; short jobs are urgent.
func (d *driver) mixedWork() work {
	kind, amount := referenceWork(d.random)
	deadline := map[string]time.Duration{"short": 3 * time.Second, "long": 20 * time.Second, "straggler": 2 * time.Minute}[kind]
	return work{account: "hokkaido", kind: kind, urgent: kind == "short", deadline: deadline, declared: time.Second, tasks: []time.Duration{amount}}
}

func TestSurgeOfMixedWork(t *testing.T) {
	t.Parallel()
	const back = surgeEnd + 2*time.Second
	for _, seed := range seeds {
		for _, share := range []float64{0.5, 0.7} {
			d := newDriver(seed, referenceFleet, policies{share: share})
			d.addAccount("hokkaido", 1)
			rate := d.capacity() / meanWork
			d.stream(func(at time.Duration) float64 {
				if at >= surgeStart && at < surgeEnd {
					return 3 * rate
				}
				return 0.7 * rate
			}, d.mixedWork)
			d.runUntil(70 * time.Second)
			f := d.surgeFigures()
			short := percentile(d.ratios(back, back+10*time.Second, func(r *result) bool { return r.kind == "short" }), 0.99)
			all := percentile(d.ratios(back, back+10*time.Second, nil), 0.99)
			refused := d.refusedFrom(back)
			t.Logf("share %.1f seed %d: goodput %.3f, late %d, expired %d; from 2 s after the surge p99 %.2f, short %.2f, refused %d", share, seed, f.goodput, f.late, f.expired, all, short, refused)
			require.GreaterOrEqual(t, f.goodput, 0.95)
			require.Zero(t, f.late)
			require.Zero(t, f.expired)
			require.Zero(t, refused)
			require.LessOrEqual(t, all, tolerance*max(1, f.p99Before))
		}
	}
}

// tolerance is the factor by which a figure may exceed that of a central queue.
const tolerance = 1.15

func (d *driver) refusedFrom(from time.Duration) int {
	count := 0
	for _, r := range d.refused {
		if r.arrived >= from {
			count++
		}
	}
	return count
}

// TestWorkWithLateDeadlineIsNotRefused offers 80 % load with deadlines of 30 s, or 10 s for half of the long work,
// to one host's share of the fleet.
func TestWorkWithLateDeadlineIsNotRefused(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		d := newDriver(seed, hostFleet, policies{})
		d.addAccount("hokkaido", 1)
		deadlines := map[string][]time.Duration{
			"short":     {30 * time.Second},
			"long":      {30 * time.Second, 10 * time.Second},
			"straggler": {5 * time.Minute},
		}
		jobs, refused := 0, map[time.Duration]int{}
		d.arrivals(0.8*d.capacity()/meanWork, func() {
			jobs++
			kind, amount := referenceWork(d.random)
			deadline := deadlines[kind][jobs%len(deadlines[kind])]
			if d.submit(work{account: "hokkaido", kind: kind, deadline: deadline, declared: time.Second, tasks: []time.Duration{amount}}) == nil {
				refused[deadline]++
			}
		})
		d.runUntil(120 * time.Second)
		t.Logf("seed %d: %d jobs, refused by deadline: %v", seed, jobs, refused)
		require.Zero(t, refused[30*time.Second])
		require.Zero(t, refused[5*time.Minute])
	}
}

// TestLittleIsRefusedBelowCapacity runs the reference mix with tight deadlines on one host's share of the fleet,
// where a few long tasks are much of the load.
func TestLittleIsRefusedBelowCapacity(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.7, 0.9} {
		for _, seed := range seeds {
			refused, late := refusedBelowCapacity(seed, policies{}, load)
			none, lateNone := refusedBelowCapacity(seed, policies{admission: "none"}, load)
			t.Logf("load %.1f seed %d: %.4f refused, %.4f late or expired; without admission control %.4f, %.4f", load, seed, refused, late, none, lateNone)
			if load < 0.8 {
				require.LessOrEqual(t, refused, 0.005)
			}
		}
	}
}

func refusedBelowCapacity(seed uint64, chosen policies, load float64) (refused, late float64) {
	d := newDriver(seed, fleet{endpoints: 16, slots: 3}, chosen)
	d.addAccount("hokkaido", 1)
	jobs := 0
	d.stream(constantRate(load*d.capacity()/meanWork), func() work {
		jobs++
		return d.mixedWork()
	})
	d.runUntil(120 * time.Second)
	missed := 0
	for i := range d.results {
		if !d.results[i].inDeadline {
			missed++
		}
	}
	return float64(len(d.refused)) / float64(jobs), float64(missed) / float64(jobs)
}
