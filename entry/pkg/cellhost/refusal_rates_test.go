package cellhost

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/cell"
)

const (
	// poolSlots, runTime and slack are those of a cell of 48 workers and a short kind of job of two tasks.
	poolSlots = 96
	runTime   = 200 * time.Millisecond
	slack     = 180 * time.Millisecond
	objective = runTime + slack
	// homeDelay is the age of the fraction that a home knows.
	homeDelay = 100 * time.Millisecond
)

// pool is a keeper whose jobs of two tasks wait for slots until their latest start.
type pool struct {
	random *rand.Rand
	rates  *refusalRates
	ends   []time.Duration // of the runs
	queue  []time.Duration // arrivals of the waiting jobs
	served int             // in time
	heard  []time.Duration // waits of the refused jobs
	known  []float64       // fractions of the last steps, as homes learn them
	early  bool
	busy   time.Duration // of all slots
}

func noRoom(string, string) int { return 0 }

const poolStep = 2 * time.Millisecond

func at(t time.Duration) time.Time { return time.Unix(1000, 0).Add(t) }

func (p *pool) step(now time.Duration) {
	p.ends = slices.DeleteFunc(p.ends, func(end time.Duration) bool { return end <= now })
	p.busy += time.Duration(len(p.ends)) * poolStep
	for len(p.queue) > 0 && (now-p.queue[0] > slack || len(p.ends)+2 <= poolSlots) {
		if now-p.queue[0] > slack {
			p.heard = append(p.heard, now-p.queue[0])
			p.rates.addRefused("q", 2, time.Second)
		} else {
			p.start(now, p.queue[0])
		}
		p.queue = p.queue[1:]
	}
	if p.rates.isStepDue(at(now)) {
		p.rates.step(noRoom, at(now))
	}
	p.known = append(p.known, p.rates.fraction("q"))
}

func (p *pool) start(now, arrived time.Duration) {
	p.served++
	p.rates.addStarted("q", 2, (now-arrived).Seconds()/slack.Seconds())
	for range 2 {
		p.ends = append(p.ends, now+time.Duration((0.6+0.8*p.random.Float64())*float64(runTime)))
	}
}

func (p *pool) offer(now time.Duration) {
	if age := len(p.known) - int(homeDelay/poolStep); p.early && age >= 0 && p.random.Float64() < p.known[age] {
		p.heard = append(p.heard, 0)
		return
	}
	atOnce := len(p.queue) == 0 && len(p.ends)+2 <= poolSlots
	p.rates.addOffered(&cell.Job{Queue: "q", Tasks: make([]*cell.Task, 2)}, at(now))
	if atOnce {
		p.start(now, now)
		return
	}
	p.queue = append(p.queue, now)
}

// play offers the pool a multiple of its room from one second to nine, and half of it before and after.
func play(load float64, early bool, until time.Duration) *pool {
	const from, to = time.Second, 9 * time.Second
	p := &pool{random: rand.New(rand.NewPCG(1, 1)), rates: newRefusalRates(), early: early}
	rate := poolSlots / 2 / runTime.Seconds()
	next := time.Duration(0)
	for now := time.Duration(0); now < until; now += poolStep {
		p.step(now)
		offered := 0.5
		if now >= from && now < to {
			offered = load
		}
		for ; next <= now; next += time.Duration(p.random.ExpFloat64() / (offered * rate) * float64(time.Second)) {
			p.offer(now)
		}
	}
	return p
}

// TestRefusalsAreHeardInTimeAtThreeTimesTheRoom offers three times the room for 8 s: nineteen of twenty refused callers hear it
// within a tenth of the objective, and the room is as busy as when all jobs wait for it.
func TestRefusalsAreHeardInTimeAtThreeTimesTheRoom(t *testing.T) {
	for _, load := range []float64{1.5, 2, 3} {
		early, late := play(load, true, 9*time.Second), play(load, false, 9*time.Second)
		t.Logf("load %.1f: %d served, %d of %d within a tenth; without %d served", load, early.served, inTenth(early), len(early.heard), late.served)
		require.GreaterOrEqual(t, float64(early.served), 0.95*float64(late.served), fmt.Sprintf("room stands idle at %.1f", load))
		require.GreaterOrEqual(t, float64(inTenth(early)), 0.95*float64(len(early.heard)), fmt.Sprintf("at %.1f", load))
		require.Zero(t, inTenth(late), "the model must show the late refusals that this prevents")
	}
}

func inTenth(p *pool) (count int) {
	for _, heard := range p.heard {
		if heard <= objective/10 {
			count++
		}
	}
	return count
}

// TestNobodyIsRefusedBesideRoom offers less than the room, and then looks at the second after a burst.
func TestNobodyIsRefusedBesideRoom(t *testing.T) {
	require.Empty(t, play(0.8, true, 9*time.Second).heard)
	burst := len(play(3, true, 10*time.Second).heard)
	after := len(play(3, true, 14*time.Second).heard)
	require.Equal(t, burst, after, "a second after the burst nobody is refused any more")
}

// TestReportOfManyQueuesIsBounded has more queues short of room than a heartbeat may name.
func TestReportOfManyQueuesIsBounded(t *testing.T) {
	rates := newRefusalRates()
	now := at(0)
	for i := range 3 * maxReportedQueues {
		queue := fmt.Sprintf("q%02d", i)
		rates.addOffered(&cell.Job{Queue: queue, Tasks: make([]*cell.Task, 100+i)}, now)
		rates.addRefused(queue, 100+i, 2*time.Second)
	}
	rates.addOffered(&cell.Job{Queue: "calm", Tasks: make([]*cell.Task, 100)}, now)
	rates.addStarted("calm", 100, 0)
	rates.step(noRoom, now)
	reported := rates.excesses()
	require.Len(t, reported, maxReportedQueues)
	require.Equal(t, "q47", reported[0].Queue, "the one that refuses most")
	require.Equal(t, int64(2000), reported[0].RetryAfter)
	rates.step(noRoom, now.Add(forgetRateAfter+time.Second))
	require.Empty(t, rates.excesses())
	require.Zero(t, rates.fraction("q47"))
}

// TestHomesRefuseOnlyWhatFindsNoRoomElsewhere has a keeper that can start none of 300 tasks a window, 100 a heartbeat, beside
// others with room for some of them.
func TestHomesRefuseOnlyWhatFindsNoRoomElsewhere(t *testing.T) {
	for room, want := range map[int]int{0: 950, 46: 456, 95: 0, 1000: 0} {
		rates := newRefusalRates()
		rates.addOffered(&cell.Job{Queue: "q", Group: "g", Tasks: make([]*cell.Task, 292)}, at(0))
		rates.addRefused("q", 292, time.Second)
		rates.step(func(queue, group string) int {
			require.Equal(t, "qg", queue+group)
			return room
		}, at(0))
		require.InDelta(t, 950, rates.excesses()[0].Beyond, 5)
		require.InDelta(t, want, rates.excesses()[0].Refused, 25, room)
	}
}

// A deployment whose settings do not ask for shares is served as before.
func TestNothingIsCountedForHomesWithoutShares(t *testing.T) {
	for _, shares := range []bool{false, true} {
		_, own := twoKeepers(t, "127.0.0.1:1")
		own.options.Shares = shares
		job := &cell.Job{Queue: "q", Group: "g", Tasks: []*cell.Task{{}, {}}}
		for range 40 {
			own.countOffered(job, own.common.Clock.Now())
			own.rates.addRefused("q", 2, time.Second)
		}
		own.stepRates()
		require.Equal(t, shares, len(own.Excesses()) > 0)
	}
}
