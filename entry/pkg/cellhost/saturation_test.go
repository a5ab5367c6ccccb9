package cellhost

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// stages is how often a job of the model waits for the processor, as one does at its home and its keeper.
	stages = 4
	// stageCost and refusalCost are the processor time of a stage, and of a refusal.
	stageCost   = 2 * time.Millisecond
	refusalCost = 250 * time.Microsecond
	// waitBudget is how long a job of the model may wait in total; the shortest objective leaves as much.
	waitBudget = 60 * time.Millisecond
)

// processor does the work of a process one piece at a time, in order of arrival.
type processor struct {
	random   *rand.Rand
	lag      *LagController
	shedding bool
	work     []work
	freeAt   time.Duration // end of its last piece of work
	inTime   int
}

// work is a piece of work for the processor: a stage of a job, a refusal, or a measurement of the lag.
type work struct {
	readyAt, cost time.Duration
	arrived       time.Duration // arrival of the job
	stage         int
	isMeasurement bool
}

// run does the work that begins before a time.
func (p *processor) run(until time.Duration) {
	for len(p.work) > 0 && p.freeAt < until {
		next := p.work[0]
		p.work = p.work[1:]
		p.freeAt = max(p.freeAt, next.readyAt)
		if next.isMeasurement {
			p.lag.recordLag(p.freeAt - next.readyAt)
			continue
		}
		p.freeAt += next.cost
		switch {
		case next.stage == 0: // a refusal
		case next.stage < stages:
			next.stage++
			next.readyAt = p.freeAt
			p.work = append(p.work, next)
		case p.freeAt-next.arrived <= stages*stageCost+waitBudget:
			p.inTime++
		}
	}
}

// offer adds a job that arrives at a time.
func (p *processor) offer(at time.Duration) {
	if p.shedding && p.random.Float64() < p.lag.Shed() {
		p.work = append(p.work, work{readyAt: at, cost: refusalCost})
		return
	}
	p.work = append(p.work, work{readyAt: at, arrived: at, cost: stageCost, stage: 1})
}

// goodput returns the fraction of processor time spent on jobs that ended in time, at an offered load.
func goodput(load float64, shedding bool) float64 {
	const length = time.Minute
	p := &processor{random: rand.New(rand.NewPCG(1, 1)), lag: NewLagController(newClaimant("a", north).common), shedding: shedding}
	nextJob, nextMeasurement := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < length; at += 100 * time.Microsecond {
		p.run(at)
		for ; nextJob <= at; nextJob += time.Duration(p.random.ExpFloat64() * float64(stages*stageCost) / load) {
			p.offer(at)
		}
		if nextMeasurement <= at {
			p.work = append(p.work, work{readyAt: at, isMeasurement: true})
			nextMeasurement = at + lagInterval
		}
	}
	return float64(p.inTime) * float64(stages*stageCost) / float64(length)
}

// TestGoodputHoldsBeyondTheKnee offers a process up to three times the work that its processor can do: shedding a
// fraction of the jobs keeps the others in time, whereas without shedding all of them end late.
func TestGoodputHoldsBeyondTheKnee(t *testing.T) {
	peak := 0.0
	for _, load := range []float64{0.6, 0.8, 1, 1.5, 2, 3} {
		withShedding, withoutShedding := goodput(load, true), goodput(load, false)
		t.Logf("load %.1f: %.2f in time, %.2f without", load, withShedding, withoutShedding)
		peak = max(peak, withShedding)
		require.GreaterOrEqual(t, withShedding, 0.9*min(peak, load), fmt.Sprintf("at %.1f times the processor", load))
		if load >= 1.5 {
			require.Less(t, withoutShedding, withShedding/2, "the model must show the collapse that this prevents")
		}
	}
}
