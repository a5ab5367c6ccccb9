package cell

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// kindOfWork is one sort of job of the users' mix.
type kindOfWork struct {
	name  string
	rate  float64 // jobs a second
	tasks float64 // mean
	work  time.Duration

	priority int
	credit   float64 // of an answer in time; a late one earns a fifth
}

// usersMix is the mix of both users, for the sixteen workers of one place; it takes 60 % of their room.
var usersMix = []kindOfWork{
	{name: "check", rate: 10.1, tasks: 8, work: 51 * time.Millisecond, credit: 2.91},
	{name: "validate", rate: 1.83, tasks: 4, work: 760 * time.Millisecond, priority: 2, credit: 16},
	{name: "hold", rate: 29.3, tasks: 2, work: 170 * time.Millisecond, priority: 1, credit: 1},
}

const (
	// stretch and target are those of the users' queues.
	stretch = 1.6
	target  = 60 * time.Millisecond
	// estimateError is how far estimates are off, either way.
	estimateError = 0.4
)

// tally counts what became of the jobs of one kind.
type tally struct {
	asked, served, late, refused, failed int
	large, largeServed                   int // of the jobs with the longest tasks, about a tenth
	lateRefusals                         int // that came when the job could not be served in time any more
}

func (t *tally) share() float64 {
	return float64(t.served) / math.Max(1, float64(t.asked))
}

// pattern is a load on a place and what is wrong there.
type pattern struct {
	factor  float64 // on the usual rates
	length  time.Duration
	disturb func(o *office, at time.Duration)
	script  func(worker string, random *rand.Rand) (hangs, fails bool)

	fleet fleetOf // mild unless given
	wrong float64 // how far estimates are off, either way
}

// play sends the pattern's jobs to a place of sixteen workers, a third of them slow, and tallies them by kind.
func (p *pattern) play(t testing.TB, seed uint64) map[string]*tally {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	o := newOffice(t)
	fleet := p.fleet
	if fleet.name == "" {
		fleet = fleets[0]
	}
	o.addWorkers(fastWorkers, fastCores, fleet.fast)
	o.addWorkers(slowWorkers, slowCores, fleet.slow)
	tallies := map[string]*tally{}
	open := map[*Job]*tally{}
	next := make([]time.Duration, len(usersMix))
	for at := time.Duration(0); at < p.length; at += 5 * time.Millisecond {
		if p.disturb != nil {
			p.disturb(o, at)
		}
		for i := range usersMix {
			for next[i] <= at {
				job, counted := o.draw(&usersMix[i], p.wrong, random, tallies)
				open[job] = counted
				o.submit(job)
				next[i] += time.Duration(random.ExpFloat64() / (p.factor * usersMix[i].rate) * float64(time.Second))
			}
		}
		o.pass(5 * time.Millisecond)
		o.settleOpen(open)
	}
	o.pass(8 * time.Second)
	o.settleOpen(open)
	require.Empty(t, open)
	return tallies
}

// shape is the true size of a job.
type shape struct {
	tasks   int
	cores   int64
	work    time.Duration // of each task
	isLarge bool
}

func drawShape(kind *kindOfWork, random *rand.Rand) shape {
	work := float64(kind.work) * math.Exp(0.4*random.NormFloat64()-0.08)
	isLarge := random.Float64() < 0.1
	if isLarge {
		work *= 2
	}
	return shape{
		tasks:   1 + int(float64(random.IntN(2*int(kind.tasks)-1))),
		cores:   int64(4 + random.IntN(6)),
		work:    time.Duration(work),
		isLarge: isLarge,
	}
}

func (o *office) draw(kind *kindOfWork, wrong float64, random *rand.Rand, tallies map[string]*tally) (*Job, *tally) {
	drawn := drawShape(kind, random)
	work, isLarge := float64(drawn.work), drawn.isLarge
	estimate := time.Duration(work * (1 - wrong + 2*wrong*random.Float64()))
	objective := time.Duration(stretch*work) + target
	foreseen := time.Duration(stretch*float64(estimate)) + target // what the home can tell
	job := o.job(drawn.tasks, drawn.cores, estimate, foreseen, 3*objective+time.Second)
	o.due[job] = objective
	job.Queue = kind.name
	job.Priority = kind.priority
	o.works[job.ID] = time.Duration(work)
	counted, ok := tallies[kind.name]
	if !ok {
		counted = &tally{}
		tallies[kind.name] = counted
	}
	counted.asked++
	if isLarge {
		counted.large++
		o.large[job] = true
	}
	return job, counted
}

// settleOpen counts the jobs that have got their answer.
func (o *office) settleOpen(open map[*Job]*tally) {
	for job, counted := range open {
		answer, ok := o.answers[job.ID]
		if !ok {
			continue
		}
		delete(open, job)
		took := o.decided[job.ID].Sub(job.Arrived)
		switch {
		case answer.Outcome == Completed && took <= o.due[job]:
			counted.served++
			if o.large[job] {
				counted.largeServed++
			}
		case answer.Outcome == Completed:
			counted.late++
		case answer.Outcome == Refused:
			counted.refused++
			if objective := job.Objective.Sub(job.Arrived); float64(took) > (1+foresight)*float64(objective) {
				counted.lateRefusals++
			}
		default:
			counted.failed++
		}
	}
}

func show(t *testing.T, tallies map[string]*tally) {
	t.Helper()
	for name, counted := range tallies {
		t.Logf("%s: %+v, share %.3f", name, *counted, counted.share())
	}
}

func TestCalmDayServesNearlyAll(t *testing.T) {
	tallies := (&pattern{wrong: estimateError, factor: 0.7, length: 20 * time.Second}).play(t, 1)
	show(t, tallies)
	for name, counted := range tallies {
		require.Greater(t, counted.share(), 0.9, name)
	}
}

// TestSurge is work for twice the room: the users' floor for each kind on their heaviest days is 0.27 of what is owed,
// and the largest jobs must be served at least half as often as the others.
func TestSurge(t *testing.T) {
	tallies := (&pattern{wrong: estimateError, factor: 3.3, length: 20 * time.Second}).play(t, 1)
	show(t, tallies)
	for name, counted := range tallies {
		require.Greater(t, counted.share(), 0.27, name)
		require.Greater(t, float64(counted.largeServed)/float64(counted.large), counted.share()/2, name)
		require.Less(t, counted.failed, counted.asked/20, "%s: jobs are broken off", name)
	}
}

// TestRefusalsInASurgeAreQuick checks that nobody waits for a refusal until after the job could have been served in time.
func TestRefusalsInASurgeAreQuick(t *testing.T) {
	tallies := (&pattern{wrong: estimateError, factor: 3.3, length: 10 * time.Second}).play(t, 2)
	for name, counted := range tallies {
		require.Positive(t, counted.refused, name)
		require.Zero(t, counted.lateRefusals, name)
	}
}

// TestGreyWorkers has two of sixteen workers that fail all that they start, for the whole time.
func TestGreyWorkers(t *testing.T) {
	p := &pattern{wrong: estimateError, factor: 0.9, length: 20 * time.Second, script: func(worker string, _ *rand.Rand) (hangs, fails bool) {
		return false, worker == "w00" || worker == "w01"
	}}
	p.disturb = p.apply()
	tallies := p.play(t, 1)
	show(t, tallies)
	for name, counted := range tallies {
		require.Greater(t, counted.share(), 0.75, name)
	}
}

// TestHangingWorkers has a worker at which all tasks stand still.
func TestHangingWorkers(t *testing.T) {
	p := &pattern{wrong: estimateError, factor: 0.8, length: 20 * time.Second, script: func(worker string, _ *rand.Rand) (hangs, fails bool) {
		return worker == "w03", false
	}}
	p.disturb = p.apply()
	tallies := p.play(t, 1)
	show(t, tallies)
	for name, counted := range tallies {
		require.Greater(t, counted.share(), 0.75, name)
	}
}

// TestRoomLost has a third of the workers fall silent for good in the middle.
func TestRoomLost(t *testing.T) {
	p := &pattern{wrong: estimateError, factor: 0.8, length: 20 * time.Second, disturb: func(o *office, at time.Duration) {
		if at == 8*time.Second {
			for _, id := range []string{"w00", "w01", "w02", "w03", "w04"} {
				o.workers[id].silent = true
			}
		}
	}}
	tallies := p.play(t, 1)
	show(t, tallies)
	for name, counted := range tallies {
		require.Greater(t, counted.share(), 0.6, name)
	}
}

// TestSlowWorkers has a sixth of the workers take six times as long for some seconds.
func TestSlowWorkers(t *testing.T) {
	p := &pattern{wrong: estimateError, factor: 0.8, length: 20 * time.Second, disturb: func(o *office, at time.Duration) {
		for _, id := range []string{"w00", "w01", "w02"} {
			switch at {
			case 5 * time.Second:
				o.workers[id].speed *= 6
			case 12 * time.Second:
				o.workers[id].speed /= 6
			}
		}
	}}
	tallies := p.play(t, 1)
	show(t, tallies)
	for name, counted := range tallies {
		require.Greater(t, counted.share(), 0.7, name)
	}
}

// apply installs the pattern's script at the first step.
func (p *pattern) apply() func(o *office, at time.Duration) {
	return func(o *office, at time.Duration) {
		if at > 0 {
			return
		}
		random := rand.New(rand.NewPCG(7, 7))
		o.atWorker = func(worker string) (hangs, fails bool) { return p.script(worker, random) }
	}
}

// TestWorkersTooSlowForLongTasks has a third of the workers take 1.7 times the work, where long tasks miss their objective
// whenever they start; short ones make it. All kinds must be served as on a calm day.
func TestWorkersTooSlowForLongTasks(t *testing.T) {
	const seeds = 3
	shares := map[string]float64{}
	for seed := range uint64(seeds) {
		tallies := (&pattern{wrong: estimateError, factor: 1.33, length: 20 * time.Second, fleet: fleets[1]}).play(t, seed+1)
		show(t, tallies)
		for name, counted := range tallies {
			shares[name] += counted.share() / seeds
		}
	}
	for name, share := range shares {
		require.Greater(t, share, 0.9, name)
	}
}

// TestSmallTasksPassLargeOnesThatFindNoRoom has jobs of several sizes wait: that a large task finds no room says nothing of a
// smaller one, and a smaller one's shortage says all of larger ones.
func TestSmallTasksPassLargeOnesThatFindNoRoom(t *testing.T) {
	o := newOffice(t)
	o.addWorkers(1, 16, 1)
	o.submit(o.job(1, 10, 200*time.Millisecond, time.Second, 2*time.Second))
	large := o.job(1, 8, 100*time.Millisecond, time.Second, 2*time.Second)
	small := o.job(1, 6, 100*time.Millisecond, 2*time.Second, 3*time.Second)
	larger := o.job(1, 9, 100*time.Millisecond, 2*time.Second, 3*time.Second)
	for _, job := range []*Job{large, small, larger} {
		o.submit(job)
	}
	o.pass(10 * time.Millisecond)
	require.False(t, large.Started())
	require.True(t, small.Started())
	require.False(t, larger.Started())
	o.pass(3 * time.Second)
	for _, job := range []*Job{large, small, larger} {
		require.Equal(t, "completed", o.outcome(job))
	}
}
