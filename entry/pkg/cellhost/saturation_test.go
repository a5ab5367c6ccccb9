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
	// stageCost and refusalCost are the processor time of a stage, and of turning a job away.
	stageCost   = 2 * time.Millisecond
	refusalCost = 250 * time.Microsecond
	// slack is how long a job of the model may wait in all; the shortest objective leaves as much.
	slack = 60 * time.Millisecond
)

// processor does the work of a process one piece after the other, each in the order in which it came.
type processor struct {
	random *rand.Rand
	lag    *LagController
	sheds  bool
	work   []work
	free   time.Duration // when it has done its last piece of work
	inTime int
}

// work is a piece of work for the processor: a stage of a job, a refusal, or a measurement of the lag.
type work struct {
	came, cost time.Duration
	arrived    time.Duration // the job's first stage
	stage      int
	isProbe    bool
}

// run does the work up to a time.
func (p *processor) run(until time.Duration) {
	for len(p.work) > 0 && p.free < until {
		next := p.work[0]
		p.work = p.work[1:]
		p.free = max(p.free, next.came)
		if next.isProbe {
			p.lag.measured(p.free - next.came)
			continue
		}
		p.free += next.cost
		switch {
		case next.stage == 0: // a refusal
		case next.stage < stages:
			next.stage++
			next.came = p.free
			p.work = append(p.work, next)
		case p.free-next.arrived <= stages*stageCost+slack:
			p.inTime++
		}
	}
}

// offer has a job come.
func (p *processor) offer(at time.Duration) {
	if p.sheds && p.random.Float64() < p.lag.Shed() {
		p.work = append(p.work, work{came: at, cost: refusalCost})
		return
	}
	p.work = append(p.work, work{came: at, arrived: at, cost: stageCost, stage: 1})
}

// goodput returns the part of the processor's time that went into jobs which ended in time, at an offered load.
func goodput(load float64, sheds bool) float64 {
	const length = time.Minute
	p := &processor{random: rand.New(rand.NewPCG(1, 1)), lag: NewLagController(newClaimant("a", north).common), sheds: sheds}
	next, probe := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < length; at += 100 * time.Microsecond {
		p.run(at)
		for ; next <= at; next += time.Duration(p.random.ExpFloat64() * float64(stages*stageCost) / load) {
			p.offer(at)
		}
		if probe <= at {
			p.work = append(p.work, work{came: at, isProbe: true})
			probe = at + lagInterval
		}
	}
	return float64(p.inTime) * float64(stages*stageCost) / float64(length)
}

// TestGoodputHoldsBeyondTheKnee offers a process up to three times what its processor carries: turning a part of the jobs
// away keeps the others in time, where serving all of them late serves none.
func TestGoodputHoldsBeyondTheKnee(t *testing.T) {
	peak := 0.0
	for _, load := range []float64{0.6, 0.8, 1, 1.5, 2, 3} {
		good, without := goodput(load, true), goodput(load, false)
		t.Logf("load %.1f: %.2f in time, %.2f without", load, good, without)
		peak = max(peak, good)
		require.GreaterOrEqual(t, good, 0.9*min(peak, load), fmt.Sprintf("at %.1f times the processor", load))
		if load >= 1.5 {
			require.Less(t, without, good/2, "the model must show the collapse that this prevents")
		}
	}
}
