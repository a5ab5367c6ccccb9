package cellhost

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

const (
	// rateWindow is the time constant of the counts, about that of the runs of short tasks.
	rateWindow = 300 * time.Millisecond
	// waitWindow is the time constant of the waits.
	waitWindow = 120 * time.Millisecond
	// rateStep is the interval between two corrections of the fractions.
	rateStep = 50 * time.Millisecond
	// reportSteps is how many steps homes are behind with the fractions.
	reportSteps = 2
	// waitTarget is the part of their time until the latest start after which the jobs of a queue are to start: so late that no room
	// stands idle, and so early that few are refused in the end.
	waitTarget = 0.4
	// waitGain is how much a wait beside waitTarget changes the accepted work; with the delay of the reports twice as much
	// would oscillate.
	waitGain = 0.4
	// idleWait is the wait below which room is taken to stand idle.
	idleWait = 0.1
	// idleGrowth is the factor by which the accepted work grows while room stands idle.
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
// start them in time: the part of the offered tasks beyond those that start, corrected by how long these have waited.
type refusalRates struct {
	mu        sync.Mutex
	byQueue   map[string]*refusalRate
	steppedAt time.Time
}

// refusalRate holds what was counted of one queue; the counts decay with rateWindow.
type refusalRate struct {
	demand, started, refused float64 // tasks; the demand includes those that homes have refused
	recent, waited           float64 // started tasks and the sum of their waits, which decay with waitWindow
	fraction                 float64
	refusable                [reportSteps + 1]float64 // to homes, the last one first
	group                    string
	retryAfter               time.Duration // mean of the last refusals
	offeredAt                time.Time
}

func newRefusalRates() *refusalRates {
	return &refusalRates{byQueue: map[string]*refusalRate{}}
}

// addOffered counts a job that is to start on this keeper's workers.
func (r *refusalRates) addOffered(job *cell.Job, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate, ok := r.byQueue[job.Queue]
	if !ok {
		rate = &refusalRate{group: job.Group}
		r.byQueue[job.Queue] = rate
	}
	rate.offeredAt = now
	rate.demand += float64(len(job.Tasks)) / (1 - rate.refusable[reportSteps])
}

// addStarted counts started tasks, whose job has waited for a part of its time until the latest start.
func (r *refusalRates) addStarted(queue string, tasks int, waited float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate, ok := r.byQueue[queue]; ok {
		rate.started += float64(tasks)
		rate.recent += float64(tasks)
		rate.waited += float64(tasks) * waited
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

// step corrects the fractions. What finds room at other keepers is not to be refused: this one forwards it.
func (r *refusalRates) step(roomElsewhere func(queue, group string) int, now time.Time) (changed []shortageChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	passed := now.Sub(r.steppedAt).Seconds()
	decay, waitDecay := math.Exp(-passed/rateWindow.Seconds()), math.Exp(-passed/waitWindow.Seconds())
	r.steppedAt = now
	for queue, rate := range r.byQueue {
		if now.Sub(rate.offeredAt) > forgetRateAfter {
			delete(r.byQueue, queue)
			continue
		}
		wasShort := rate.fraction > 0
		rate.fraction = rate.next()
		if wasShort != (rate.fraction > 0) {
			changed = append(changed, shortageChange{queue: queue, fraction: rate.fraction})
		}
		copy(rate.refusable[1:], rate.refusable[:reportSteps])
		rate.refusable[0] = rate.withoutRoom(roomElsewhere(queue, rate.group))
		rate.demand *= decay
		rate.started *= decay
		rate.recent *= waitDecay
		rate.waited *= waitDecay
		rate.refused *= decay
	}
	return changed
}

// shortageChange is the begin or end of a queue's shortage.
type shortageChange struct {
	queue    string
	fraction float64 // zero at its end
}

// next returns the fraction for the counts.
func (r *refusalRate) next() float64 {
	if r.fraction == 0 && r.refused < shortThreshold*(r.demand+priorTasks) {
		return 0
	}
	wait := min(max(0, r.waited/max(r.recent, 1)), 1)
	factor := 1 + waitGain*(waitTarget-wait)
	if wait < idleWait {
		factor = idleGrowth
	}
	return min(max(0, 1-factor*(r.started+priorTasks)/(r.demand+priorTasks)), maxFraction)
}

// withoutRoom returns the fraction without the tasks for which there is room elsewhere until the next heartbeat.
func (r *refusalRate) withoutRoom(room int) float64 {
	interval := DefaultHeartbeatInterval.Seconds() / rateWindow.Seconds()
	excess := r.fraction * r.demand * interval
	if excess <= float64(room) {
		return 0
	}
	return r.fraction * (1 - float64(room)/excess)
}

// excesses returns the queues of which not all jobs can start in time, those with the largest fractions if there are many.
func (r *refusalRates) excesses() []peer.Excess {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []peer.Excess //nolint:prealloc // in calm there is none
	for queue, rate := range r.byQueue {
		if rate.fraction < reportedFraction {
			continue
		}
		found = append(found, peer.Excess{
			Queue:      queue,
			Beyond:     int(math.Round(1000 * rate.fraction)),
			Refused:    int(math.Round(1000 * rate.refusable[0])),
			RetryAfter: rate.retryAfter.Milliseconds(),
		})
	}
	slices.SortFunc(found, func(a, b peer.Excess) int {
		return cmp.Or(cmp.Compare(b.Beyond, a.Beyond), cmp.Compare(a.Queue, b.Queue))
	})
	return found[:min(len(found), maxReportedQueues)]
}

// fraction returns the fraction of the queue's jobs that this keeper cannot start in time.
func (r *refusalRates) fraction(queue string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate, ok := r.byQueue[queue]; ok {
		return rate.fraction
	}
	return 0
}
