package cell

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// returning is a caller who sends a refused job again when told to, as a new request of the same work.
type returning struct {
	kind     *jobKind
	shape    shape
	estimate time.Duration
	since    time.Time // its first attempt
	attempts int
}

// returnsTally is what callers who come back got.
type returnsTally struct {
	asked, served, gaveUp int
	attempts              int
	times                 []time.Duration // from the first attempt to the answer in time
	arrivals              map[int]int     // refused callers who return, by second
}

func (r *returnsTally) quantile(share float64) time.Duration {
	slices.Sort(r.times)
	return r.times[int(share*float64(len(r.times)-1))]
}

const maxReturns = 4

// runReturns offers a light load and, from 2 s on, a burst of it. Refused callers come back after the whole
// seconds that they are told, a few times.
func runReturns(t testing.TB, burst float64, length time.Duration, seed uint64) *returnsTally {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 9))
	h := newHarness(t)
	h.addWorkers(fastWorkers, fastCores, fleets[1].fast)
	h.addWorkers(slowWorkers, slowCores, fleets[1].slow)
	tally := &returnsTally{arrivals: map[int]int{}}
	open := map[*Job]*returning{}
	due := map[time.Time][]*returning{}
	next := make([]time.Duration, len(usersMix))
	began := h.now
	for at := time.Duration(0); at < 24*time.Second; at += step {
		factor := 1.0
		if at >= 2*time.Second && at < 2*time.Second+length {
			factor = burst
		}
		var arriving []*returning
		for when, callers := range due {
			if !when.After(h.now) {
				tally.arrivals[int(at.Seconds())] += len(callers)
				arriving = append(arriving, callers...)
				delete(due, when)
			}
		}
		for i := range usersMix {
			for next[i] <= at {
				kind := &usersMix[i]
				drawn := drawShape(kind, random)
				estimate := time.Duration(float64(drawn.work) * (0.6 + 0.8*random.Float64()))
				arriving = append(arriving, &returning{kind: kind, shape: drawn, estimate: estimate, since: h.now})
				tally.asked++
				next[i] += time.Duration(random.ExpFloat64() / (factor * kind.rate) * float64(time.Second))
			}
		}
		for _, caller := range arriving {
			open[h.send(caller)] = caller
		}
		h.pass(step)
		h.settleReturns(open, due, tally)
	}
	t.Logf("seed %d: asked %d, served in time %d, gave up %d, attempts %d, returns by second %v, since %s", seed, tally.asked, tally.served, tally.gaveUp, tally.attempts, tally.arrivals, began)
	return tally
}

// send submits a caller's job as a new request.
func (h *harness) send(caller *returning) *Job {
	caller.attempts++
	objective := time.Duration(stretch*float64(caller.estimate)) + target
	job := h.job(caller.shape.tasks, caller.shape.cores, caller.estimate, objective, 3*objective+time.Second)
	h.objectives[job] = time.Duration(stretch*float64(caller.shape.work)) + target
	job.Queue = caller.kind.name
	job.Priority = caller.kind.priority
	h.runTimes[job.ID] = caller.shape.work
	h.submit(job)
	return job
}

func (h *harness) settleReturns(open map[*Job]*returning, due map[time.Time][]*returning, tally *returnsTally) {
	for job, caller := range open {
		answer, ok := h.answers[job.ID]
		if !ok {
			continue
		}
		delete(open, job)
		tally.attempts++
		took := h.decided[job.ID].Sub(job.Arrived)
		switch {
		case answer.Outcome == Completed && took <= h.objectives[job]:
			tally.served++
			tally.times = append(tally.times, h.decided[job.ID].Sub(caller.since))
		case answer.Outcome == Refused && caller.attempts <= maxReturns:
			whole := time.Duration(math.Ceil(answer.RetryAfter.Seconds())) * time.Second // as the header has it
			when := h.decided[job.ID].Add(whole)
			due[when] = append(due[when], caller)
		case answer.Outcome == Refused:
			tally.gaveUp++
		}
	}
}

// TestRefusedReturnTogether is the load in which a burst is refused and its callers come back: they must not come back
// as a second burst.
func TestRefusedReturnTogether(t *testing.T) {
	const seeds = 3
	asked, served, attempts := 0, 0, 0
	for seed := range uint64(seeds) {
		tally := runReturns(t, 5, 4*time.Second, seed+1)
		asked += tally.asked
		served += tally.served
		attempts += tally.attempts
	}
	require.Greater(t, float64(served)/float64(asked), 0.9)
	require.Less(t, float64(attempts)/float64(asked), 1.75)
}

// TestFewRefusedReturnSoon is the load in which a short burst is refused in small part: nobody is to stay away for
// longer than that takes.
func TestFewRefusedReturnSoon(t *testing.T) {
	tally := runReturns(t, 3, 500*time.Millisecond, 1)
	require.Less(t, tally.quantile(0.99), 2*time.Second)
}

// TestCallersRefusedTogetherAreToldDifferentTimes refuses many callers in the same moment.
func TestCallersRefusedTogetherAreToldDifferentTimes(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	h.submit(h.job(4, 7, time.Second, 2*time.Second, 6*time.Second))
	seconds := map[time.Duration]int{}
	const callers = 200
	for range callers {
		job := h.job(2, 7, 100*time.Millisecond, 200*time.Millisecond, longDeadline)
		h.submit(job)
		require.Equal(t, "refused", h.outcome(job))
		told := h.answers[job.ID].RetryAfter
		require.GreaterOrEqual(t, told, minRetryDelay)
		require.LessOrEqual(t, told, maxRetryDelay)
		seconds[told.Truncate(time.Second)]++
	}
	for second, count := range seconds {
		require.Less(t, count, callers/2, "callers told to return within one second after %s", second)
	}
}
