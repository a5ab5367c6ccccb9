package cellhost

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"chervilusher.dev/entry/pkg/peer"
)

const (
	// rateWindow is the time constant of the counts, about that of the runs of short tasks.
	rateWindow = 300 * time.Millisecond
	// rateStep is the interval between two corrections of the fractions.
	rateStep = 50 * time.Millisecond
	// reportSteps is how many steps homes are behind with the fractions.
	reportSteps = 2
	// waitTarget is the part of their time until the latest start that the waiting jobs of a queue are to have waited on average:
	// long enough that no room stands idle, and short enough that few are refused in the end.
	waitTarget = 0.25
	// waitGain is how much a wait beside waitTarget changes the accepted work; with the delay of the reports twice as much
	// would oscillate.
	waitGain = 0.7
	// idleGrowth is the factor by which the accepted work grows while no job waits.
	idleGrowth = 2
	// priorTasks are added to the offered and the started tasks, so that a single refusal has little effect.
	priorTasks = 8
	// shortThreshold is the refused part of the tasks from which on jobs are refused before they are offered.
	shortThreshold = 0.03
	// reportedFraction is the lowest fraction that heartbeats report.
	reportedFraction = 0.05
	// maxFraction lets some jobs through, which show when there is room again.
	maxFraction = 0.95
	// maxReportedQueues bounds the bytes of a heartbeat.
	maxReportedQueues = 16
	// forgetRateAfter is how long after its last job a queue's counts are dropped.
	forgetRateAfter = 5 * time.Second
)

// refusalRates determines for each queue which fraction of its jobs homes are to refuse at once, because this keeper could not
// start them in time: the part of the offered tasks beyond those that start, corrected by how long the jobs wait.
type refusalRates struct {
	mu        sync.Mutex
	byQueue   map[string]*refusalRate
	steppedAt time.Time
}

// refusalRate holds what was counted of one queue; the counts decay with rateWindow.
type refusalRate struct {
	demand, started, refused float64 // tasks; the demand includes those that homes have refused
	fractions                [reportSteps + 1]float64
	retryAfter               time.Duration // mean of the last refusals
	offeredAt                time.Time
}

func newRefusalRates() *refusalRates {
	return &refusalRates{byQueue: map[string]*refusalRate{}}
}

// addOffered counts the tasks of a job that is to start on this keeper's workers.
func (r *refusalRates) addOffered(queue string, tasks int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate, ok := r.byQueue[queue]
	if !ok {
		rate = &refusalRate{}
		r.byQueue[queue] = rate
	}
	rate.offeredAt = now
	rate.demand += float64(tasks) / (1 - rate.fractions[reportSteps])
}

// addStarted counts started tasks.
func (r *refusalRates) addStarted(queue string, tasks int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate, ok := r.byQueue[queue]; ok {
		rate.started += float64(tasks)
	}
}

// addRefused counts the tasks of a job that this keeper could not start in time.
func (r *refusalRates) addRefused(queue string, tasks int, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate, ok := r.byQueue[queue]
	if !ok {
		return
	}
	rate.refused += float64(tasks)
	if rate.retryAfter == 0 {
		rate.retryAfter = retryAfter
	}
	rate.retryAfter += (retryAfter - rate.retryAfter) / 8
}

// isStepDue reports whether step is to be called.
func (r *refusalRates) isStepDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.steppedAt) >= rateStep
}

// step corrects the fractions. Waits holds for each queue with waiting jobs the part of their time until the latest start that
// they have waited on average.
func (r *refusalRates) step(waits map[string]float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	decay := math.Exp(-now.Sub(r.steppedAt).Seconds() / rateWindow.Seconds())
	r.steppedAt = now
	for queue, rate := range r.byQueue {
		if now.Sub(rate.offeredAt) > forgetRateAfter {
			delete(r.byQueue, queue)
			continue
		}
		wait, waiting := waits[queue]
		copy(rate.fractions[1:], rate.fractions[:reportSteps])
		rate.fractions[0] = rate.next(wait, waiting)
		rate.demand *= decay
		rate.started *= decay
		rate.refused *= decay
	}
}

// next returns the fraction for the counts and the wait of the queue's jobs.
func (r *refusalRate) next(wait float64, waiting bool) float64 {
	if r.fractions[0] == 0 && r.refused < shortThreshold*(r.demand+priorTasks) {
		return 0
	}
	factor := 1 + waitGain*(waitTarget-min(wait, 1))
	if !waiting {
		factor = idleGrowth
	}
	return min(max(0, 1-factor*(r.started+priorTasks)/(r.demand+priorTasks)), maxFraction)
}

// reported returns the queues of which jobs are to be refused, those with the largest fractions if there are many.
func (r *refusalRates) reported() []peer.Refusing {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []peer.Refusing //nolint:prealloc // in calm there is none
	for queue, rate := range r.byQueue {
		if rate.fractions[0] < reportedFraction {
			continue
		}
		found = append(found, peer.Refusing{
			Queue:      queue,
			Thousandth: int(math.Round(1000 * rate.fractions[0])),
			RetryAfter: rate.retryAfter.Milliseconds(),
		})
	}
	slices.SortFunc(found, func(a, b peer.Refusing) int {
		return cmp.Or(cmp.Compare(b.Thousandth, a.Thousandth), cmp.Compare(a.Queue, b.Queue))
	})
	return found[:min(len(found), maxReportedQueues)]
}

// fraction returns the fraction of the queue's jobs that is to be refused.
func (r *refusalRates) fraction(queue string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate, ok := r.byQueue[queue]; ok {
		return rate.fractions[0]
	}
	return 0
}
