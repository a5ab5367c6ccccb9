package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// shortAway is how long a worker is away after a crash in these tests: long enough for its keeper, or the next one, to see it.
	shortAway = 1300 * time.Millisecond
	// succession is the time from the loss of a keeper to the claim of the next one.
	succession = 500 * time.Millisecond
	// firstLate and lastLate bound after which a start without an answer is carried out.
	firstLate, lastLate = 2 * time.Second, 12 * time.Second
)

// TestRandomisedLives loses answers of starts, which workers carry out 2 to 12 s later in whatever life they are in then, while
// they crash again and again. No task runs at two workers.
func TestRandomisedLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playLives(t, false) })
}

// TestRandomisedSuccessors is TestRandomisedLives with keepers that are lost, each with the starts that it had sent.
func TestRandomisedSuccessors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playLives(t, true) })
}

// simLives are the keepers that are to take over.
type simLives struct {
	*simDomain
	odds      int // percentage of starts without an answer
	claimAt   map[*simKeeper]time.Time
	listeners []*simKeeper // by cell: the host that takes over next
}

func playLives(t *rapid.T, keepersFail bool) {
	d := &simLives{simDomain: newSimDomain(t), odds: rapid.IntRange(10, 60).Draw(t, "odds"), claimAt: map[*simKeeper]time.Time{}}
	for _, k := range d.keepers {
		d.prepare(k)
		if !k.isKeeper {
			d.listeners = append(d.listeners, k)
		}
	}
	d.pass(4 * time.Second) // so that leases on an earlier clock lie far ahead of the next one
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		switch rapid.IntRange(0, 6).Draw(t, "step") {
		case 0, 1:
			d.crash(d.workers[d.someWorker()])
		case 2:
			if keepersFail {
				d.failKeeper(rapid.IntRange(0, cells-1).Draw(t, "cell"))
			}
		default:
			d.submitLong()
		}
		d.passWithClaims(time.Duration(rapid.IntRange(100, 900).Draw(t, "pass")) * time.Millisecond)
	}
	d.odds = 0
	d.passWithClaims(lastLate + shortAway)
	d.settle()
}

// prepare sets how the keeper's starts are lost and carried out.
func (d *simLives) prepare(k *simKeeper) {
	k.seesAll = true
	k.lateBy = func() time.Duration { return lastLate }
	k.script = func(string, int) (hangs, fails, lost bool) {
		return false, false, d.odds > 0 && rapid.IntRange(0, 99).Draw(d.t, "lost") < d.odds
	}
}

func (d *simLives) crash(sim *simWorker) {
	if !sim.down {
		sim.down, sim.backAt = true, d.now.Add(shortAway)
		sim.restart(d.now)
	}
}

// submitLong submits a job that is still at work when late starts are carried out.
func (d *simLives) submitLong() {
	q := &request{id: fmt.Sprintf("j%04d", len(d.requests)), tasks: 1, length: 3 * time.Second, deadline: d.now.Add(10 * time.Second)}
	d.requests = append(d.requests, q)
	d.send(q)
}

// failKeeper ends the process of the cell's keeper, if it has one.
func (d *simLives) failKeeper(index int) {
	for _, k := range d.keepers {
		if k.cellIndex != index || !k.isKeeper || k.failed {
			continue
		}
		k.failed = true
		d.claimAt[d.listeners[index]] = d.now.Add(succession)
		listener := d.addKeeper(index)
		d.prepare(listener)
		for _, other := range d.keepers {
			if other != listener && !other.failed {
				listener.cell.MergeLateStarts(other.cell.KnownLateStarts(d.now), d.now)
			}
		}
		d.listeners[index] = listener
		return
	}
}

// carryOutAtOnce has workers that are about to be back carry out some of the starts that they may, just then.
func (d *simLives) carryOutAtOnce() {
	next := d.now.Add(step)
	for _, k := range d.keepers {
		for i := range k.late {
			late := &k.late[i]
			sim := d.workers[late.start.Run.Worker.ID]
			isBack := sim.down && !sim.backAt.IsZero() && !next.Before(sim.backAt)
			if isBack && next.Sub(late.at.Add(-lastLate)) >= firstLate && rapid.IntRange(0, 2).Draw(d.t, "carried out") == 0 {
				late.at = next
			}
		}
	}
}

// passWithClaims advances the time and lets the next keepers claim their cells.
func (d *simLives) passWithClaims(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); {
		d.carryOutAtOnce()
		d.pass(step)
		for _, k := range slices.Clone(d.keepers) {
			if at, claims := d.claimAt[k]; claims && !d.now.Before(at) {
				delete(d.claimAt, k)
				d.claim(k)
			}
		}
	}
}
