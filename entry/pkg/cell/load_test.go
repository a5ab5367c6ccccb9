package cell

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// jobKind is one kind of job of the users' mix.
type jobKind struct {
	name  string
	rate  float64 // jobs per second
	tasks float64 // mean
	work  time.Duration

	priority int
	credit   float64 // for an answer in time; a late one earns a fifth
}

// usersMix is the mix of both users for the sixteen workers of one failure domain; it takes 60 % of their capacity.
var usersMix = []jobKind{
	{name: "check", rate: 10.1, tasks: 8, work: 51 * time.Millisecond, credit: 2.91},
	{name: "validate", rate: 1.83, tasks: 4, work: 760 * time.Millisecond, priority: 2, credit: 16},
	{name: "hold", rate: 29.3, tasks: 2, work: 170 * time.Millisecond, priority: 1, credit: 1},
}

const (
	// stretch and target are those of the users' queues.
	stretch = 1.6
	target  = 60 * time.Millisecond
	// estimateError is the relative error of the estimates, in either direction.
	estimateError = 0.4
)

// tally counts the outcomes of one kind of job.
type tally struct {
	asked, served, late, refused, failed int
	large, largeServed                   int     // jobs with the longest tasks, about a tenth
	lateRefusals                         int     // refused when the job could no longer be served in time
	offered, goodput                     float64 // work of all jobs, and of those served in time
}

func (t *tally) share() float64 {
	return float64(t.served) / math.Max(1, float64(t.asked))
}

// scenario is a load on a failure domain and its faults.
type scenario struct {
	factor float64 // on the rates of usersMix
	length time.Duration
	inject func(h *harness, at time.Duration)
	script func(worker string, random *rand.Rand) (hangs, fails bool)

	fleet      fleetSpeeds // mild by default
	errorRange float64     // relative error of the estimates, in either direction
}

// run sends the scenario's jobs to a failure domain of sixteen workers, a third of them slow, and tallies them by
// kind.
func (s *scenario) run(t testing.TB, seed uint64) map[string]*tally {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	h := newHarness(t)
	fleet := s.fleet
	if fleet.name == "" {
		fleet = fleets[0]
	}
	h.addWorkers(fastWorkers, fastCores, fleet.fast)
	h.addWorkers(slowWorkers, slowCores, fleet.slow)
	tallies := map[string]*tally{}
	open := map[*Job]*tally{}
	next := make([]time.Duration, len(usersMix))
	for at := time.Duration(0); at < s.length; at += 5 * time.Millisecond {
		if s.inject != nil {
			s.inject(h, at)
		}
		for i := range usersMix {
			for next[i] <= at {
				job, counted := h.draw(&usersMix[i], s.errorRange, random, tallies)
				open[job] = counted
				h.submit(job)
				next[i] += time.Duration(random.ExpFloat64() / (s.factor * usersMix[i].rate) * float64(time.Second))
			}
		}
		h.pass(5 * time.Millisecond)
		h.settleOpen(open)
	}
	h.pass(8 * time.Second)
	h.settleOpen(open)
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

func drawShape(kind *jobKind, random *rand.Rand) shape {
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

func (h *harness) draw(kind *jobKind, errorRange float64, random *rand.Rand, tallies map[string]*tally) (*Job, *tally) {
	drawn := drawShape(kind, random)
	work, isLarge := float64(drawn.work), drawn.isLarge
	estimate := time.Duration(work * (1 - errorRange + 2*errorRange*random.Float64()))
	objective := time.Duration(stretch*work) + target
	estimatedObjective := time.Duration(stretch*float64(estimate)) + target // the home knows only the estimate
	job := h.job(drawn.tasks, drawn.cores, estimate, estimatedObjective, 3*objective+time.Second)
	h.objectives[job] = objective
	job.Queue = kind.name
	job.Priority = kind.priority
	h.runTimes[job.ID] = time.Duration(work)
	counted, ok := tallies[kind.name]
	if !ok {
		counted = &tally{}
		tallies[kind.name] = counted
	}
	counted.asked++
	counted.offered += h.trueWork(job)
	if isLarge {
		counted.large++
		h.large[job] = true
	}
	return job, counted
}

// trueWork returns the core-seconds that the job takes on a worker of speed 1.
func (h *harness) trueWork(job *Job) float64 {
	return float64(len(job.Tasks)) * cores(job.Tasks[0].Demand) * h.runTimes[job.ID].Seconds()
}

// settleOpen counts the jobs that have been answered.
func (h *harness) settleOpen(open map[*Job]*tally) {
	for job, counted := range open {
		answer, ok := h.answers[job.ID]
		if !ok {
			continue
		}
		delete(open, job)
		took := h.decided[job.ID].Sub(job.Arrived)
		switch {
		case answer.Outcome == Completed && took <= h.objectives[job]:
			counted.served++
			counted.goodput += h.trueWork(job)
			if h.large[job] {
				counted.largeServed++
			}
		case answer.Outcome == Completed:
			counted.late++
		case answer.Outcome == Refused:
			counted.refused++
			if objective := job.Objective.Sub(job.Arrived); float64(took) > (1+objectiveTolerance)*float64(objective) {
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

func TestLightLoadIsServedNearlyCompletely(t *testing.T) {
	tallies := (&scenario{errorRange: estimateError, factor: 0.7, length: 20 * time.Second}).run(t, 1)
	show(t, tallies)
	for name, counted := range tallies {
		require.Greater(t, counted.share(), 0.9, name)
	}
}

// TestSurge offers twice the work that fits. The users' minimum for each kind on their heaviest days is 0.27 of what
// is owed, and the largest jobs must be served at least half as often as the others.
func TestSurge(t *testing.T) {
	tallies := (&scenario{errorRange: estimateError, factor: 3.3, length: 20 * time.Second}).run(t, 1)
	show(t, tallies)
	for name, counted := range tallies {
		require.Greater(t, counted.share(), 0.27, name)
		require.Greater(t, float64(counted.largeServed)/float64(counted.large), counted.share()/2, name)
		require.Less(t, counted.failed, counted.asked/20, "%s: jobs are abandoned", name)
	}
}

// TestRefusalsInASurgeAreQuick checks that no job is refused only after it could no longer have been served in time.
func TestRefusalsInASurgeAreQuick(t *testing.T) {
	tallies := (&scenario{errorRange: estimateError, factor: 3.3, length: 10 * time.Second}).run(t, 2)
	for name, counted := range tallies {
		require.Positive(t, counted.refused, name)
		require.Zero(t, counted.lateRefusals, name)
	}
}

// Two of sixteen workers fail every run.
func TestFailingWorkers(t *testing.T) {
	s := &scenario{errorRange: estimateError, factor: 0.9, length: 20 * time.Second, script: func(worker string, _ *rand.Rand) (hangs, fails bool) {
		return false, worker == "w00" || worker == "w01"
	}}
	s.inject = s.installScript()
	tallies := s.run(t, 1)
	show(t, tallies)
	for name, counted := range tallies {
		require.Greater(t, counted.share(), 0.75, name)
	}
}

// All runs hang on one worker.
func TestHangingWorkers(t *testing.T) {
	s := &scenario{errorRange: estimateError, factor: 0.8, length: 20 * time.Second, script: func(worker string, _ *rand.Rand) (hangs, fails bool) {
		return worker == "w03", false
	}}
	s.inject = s.installScript()
	tallies := s.run(t, 1)
	show(t, tallies)
	for name, counted := range tallies {
		require.Greater(t, counted.share(), 0.75, name)
	}
}

// A third of the workers become unresponsive permanently, in the middle of the load.
func TestLossOfAThirdOfTheWorkers(t *testing.T) {
	s := &scenario{errorRange: estimateError, factor: 0.8, length: 20 * time.Second, inject: func(h *harness, at time.Duration) {
		if at == 8*time.Second {
			for _, id := range []string{"w00", "w01", "w02", "w03", "w04"} {
				h.workers[id].unresponsive = true
			}
		}
	}}
	tallies := s.run(t, 1)
	show(t, tallies)
	for name, counted := range tallies {
		require.Greater(t, counted.share(), 0.6, name)
	}
}

// A sixth of the workers are six times as slow for some seconds.
func TestSlowWorkers(t *testing.T) {
	s := &scenario{errorRange: estimateError, factor: 0.8, length: 20 * time.Second, inject: func(h *harness, at time.Duration) {
		for _, id := range []string{"w00", "w01", "w02"} {
			switch at {
			case 5 * time.Second:
				h.workers[id].speed *= 6
			case 12 * time.Second:
				h.workers[id].speed /= 6
			}
		}
	}}
	tallies := s.run(t, 1)
	show(t, tallies)
	for name, counted := range tallies {
		require.Greater(t, counted.share(), 0.7, name)
	}
}

// installScript installs the scenario's script at the first step.
func (s *scenario) installScript() func(h *harness, at time.Duration) {
	return func(h *harness, at time.Duration) {
		if at > 0 {
			return
		}
		random := rand.New(rand.NewPCG(7, 7))
		h.workerScript = func(worker string) (hangs, fails bool) { return s.script(worker, random) }
	}
}

// TestWorkersTooSlowForLongTasks has a third of the workers take 1.7 times the work, so that long tasks always miss
// their objective there but short ones meet it. All kinds must be served as under light load.
func TestWorkersTooSlowForLongTasks(t *testing.T) {
	const seeds = 3
	shares := map[string]float64{}
	for seed := range uint64(seeds) {
		tallies := (&scenario{errorRange: estimateError, factor: 1.33, length: 20 * time.Second, fleet: fleets[1]}).run(t, seed+1)
		show(t, tallies)
		for name, counted := range tallies {
			shares[name] += counted.share() / seeds
		}
	}
	for name, share := range shares {
		require.Greater(t, share, 0.9, name)
	}
}

// If a large task does not fit, a smaller one still may, but no larger one.
func TestSmallTasksOvertakeLargeOnesThatDoNotFit(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.submit(h.job(1, 10, 200*time.Millisecond, time.Second, 2*time.Second))
	large := h.job(1, 8, 100*time.Millisecond, time.Second, 2*time.Second)
	small := h.job(1, 6, 100*time.Millisecond, 2*time.Second, 3*time.Second)
	larger := h.job(1, 9, 100*time.Millisecond, 2*time.Second, 3*time.Second)
	for _, job := range []*Job{large, small, larger} {
		h.submit(job)
	}
	h.pass(10 * time.Millisecond)
	require.False(t, large.Started())
	require.True(t, small.Started())
	require.False(t, larger.Started())
	h.pass(3 * time.Second)
	for _, job := range []*Job{large, small, larger} {
		require.Equal(t, "completed", h.outcome(job))
	}
}
