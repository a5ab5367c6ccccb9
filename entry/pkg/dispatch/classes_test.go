package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const meanShort = 0.525 // mean run time of referenceWork's short tasks, in seconds

// shortStream submits short tasks at the given share of the fleet's capacity.
func (d *driver) shortStream(load float64, account string, urgent bool) {
	d.stream(constantRate(load*d.capacity()/meanShort), func() work {
		amount := between(d.random, 50*time.Millisecond, time.Second)
		return work{account: account, kind: "short", urgent: urgent, deadline: time.Minute, declared: time.Second, tasks: []time.Duration{amount}}
	})
}

// shortP99 returns the p99 of short work's response time relative to ideal, with or without long work at equal load.
func shortP99(seed uint64, chosen policies, load float64, long bool) float64 {
	d := newDriver(seed, referenceFleet, chosen)
	d.addAccount("hokkaido", 1)
	if long {
		d.referenceStream(load, "hokkaido", 5*time.Minute)
	} else {
		d.shortStream(load, "hokkaido", false)
	}
	d.runUntil(measured + 5*time.Second)
	return percentile(d.ratios(warmUp, measured, func(r *result) bool { return r.kind == "short" }), 0.99)
}

func TestLongWorkDelaysShortWorkLittle(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.7, 0.9} {
		for _, seed := range seeds {
			with := shortP99(seed, policies{}, load, true)
			without := shortP99(seed, policies{}, load, false)
			single := shortP99(seed, withPlacement(""), load, true)
			t.Logf("load %.1f seed %d: short p99 %.2f with long work, %.2f without; %.2f in one queue", load, seed, with, without, single)
			require.LessOrEqual(t, with, 1.25*without, "load %v seed %d", load, seed)
		}
	}
}

// longBurst runs short work with a burst of long tasks that alone would fill every slot.
func longBurst(seed uint64, chosen policies) (p99 float64, longDone int) {
	d := newDriver(seed, referenceFleet, chosen)
	d.addAccount("hokkaido", 1)
	d.shortStream(0.2, "hokkaido", false)
	d.after(25*time.Second, func() {
		for range 1500 {
			d.submit(work{
				account: "hokkaido", kind: "long", deadline: 5 * time.Minute, declared: 4 * time.Second,
				tasks: []time.Duration{between(d.random, 2*time.Second, 6*time.Second)},
			})
		}
	})
	d.runUntil(settled)
	for i := range d.results {
		if d.results[i].kind == "long" {
			longDone++
		}
	}
	p99 = percentile(d.ratios(25*time.Second, 40*time.Second, func(r *result) bool { return r.kind == "short" }), 0.99)
	return p99, longDone
}

func TestBurstOfLongWorkLeavesSlotsToShortWork(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		p99, done := longBurst(seed, policies{})
		single, _ := longBurst(seed, withPlacement(""))
		t.Logf("seed %d: short p99 %.2f under a burst of long work, %.2f in one queue without a share", seed, p99, single)
		require.Equal(t, 1500, done)
		require.LessOrEqual(t, p99, 2*1.25)
	}
}

func TestLongWorkAloneMayTakeEverySlot(t *testing.T) {
	t.Parallel()
	d := newDriver(1, referenceFleet, policies{admission: "none"})
	d.addAccount("hokkaido", 1)
	for range 2000 {
		d.submit(work{account: "hokkaido", kind: "long", deadline: time.Hour, declared: 4 * time.Second, tasks: []time.Duration{4 * time.Second}})
	}
	d.runUntil(5 * time.Second)
	require.Equal(t, 48*8, d.group().Busy)
	d.shortStream(0.2, "hokkaido", false)
	d.runUntil(15 * time.Second)
	long := 0.0
	for _, held := range d.group().LongLoad {
		long += held
	}
	require.LessOrEqual(t, long, 0.7*d.group().Capacity.Rate, "slots are kept for short work that has come")
}
