package cellhost

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/queues"
)

const (
	// minEarlyRetry and maxEarlyRetry bound when callers of jobs that were refused at once should retry.
	minEarlyRetry = time.Second
	maxEarlyRetry = 5 * time.Second
)

// RefuseEarly returns the refusal of a job that no keeper of this failure domain is likely to start in time, by their last
// heartbeats, or nil. It refuses only the fraction that the keepers report, so that they find free room at once.
func (h *HomeController) RefuseEarly(id string, queue *queues.Queue) *cell.Answer {
	refusal := h.foreseeRefusal(queue.Name)
	if refusal.fraction == 0 || rand.Float64() >= refusal.fraction || h.isOpen(id) || h.keeper.mayStartJobLate(id) {
		return nil
	}
	retryAfter := refusal.spreadRetry(rand.Float64())
	metrics.GetOrCreateCounter(fmt.Sprintf(`chervilusher_home_refused_early_total{queue=%q}`, queue.Name)).Inc()
	h.common.Log.WithFields(log.Fields{
		"job": id, "queue": queue.Name, "keeper": refusal.keeper, "fraction": refusal.fraction, "retry": retryAfter.String(),
	}).Info("job refused early")
	return &cell.Answer{Outcome: cell.Refused, Reason: "no keeper can start it in time", RetryAfter: retryAfter}
}

// earlyRefusal is the fraction of a queue's jobs to refuse, by the keeper that takes most of them.
type earlyRefusal struct {
	keeper     string
	fraction   float64
	retryAfter time.Duration
}

// spreadRetry returns when a refused caller should retry, at random between the reported time and as many times of it as
// callers are refused for each one that is served, so that they do not return together.
func (r *earlyRefusal) spreadRetry(random float64) time.Duration {
	spread := float64(r.retryAfter) * (1 + random*r.fraction/(1-r.fraction))
	return time.Duration(min(max(spread, float64(minEarlyRetry)), float64(maxEarlyRetry)))
}

// foreseeRefusal returns the refusal by the keepers of this failure domain, or by all if it has none: they try to forward what
// they cannot start themselves, so what they refuse finds no room elsewhere either.
func (h *HomeController) foreseeRefusal(queue string) earlyRefusal {
	now := h.common.Clock.Now()
	keepers := h.keepers()
	for i, keeper := range keepers {
		if keeper.Name == h.options.Name {
			own := *keeper
			own.Excesses, own.LastHeartbeat = h.keeper.Excesses(), now
			keepers[i] = &own
		}
	}
	return leastRefusal(keepers, h.options.FailureDomain, queue, now)
}

func leastRefusal(keepers []*PeerState, domain, queue string, now time.Time) earlyRefusal {
	var least, leastLocal earlyRefusal
	found, foundLocal := false, false
	for _, keeper := range keepers {
		if keeper.Leaving {
			continue
		}
		told := excessOf(keeper, queue, now)
		refusal := earlyRefusal{keeper: keeper.Name, fraction: told.refused, retryAfter: told.retryAfter}
		if !found || told.refused < least.fraction {
			least, found = refusal, true
		}
		if keeper.FailureDomain == domain && (!foundLocal || told.refused < leastLocal.fraction) {
			leastLocal, foundLocal = refusal, true
		}
	}
	if foundLocal {
		return leastLocal
	}
	return least
}

func (h *HomeController) isOpen(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, open := h.openJobs[id]
	return open
}
