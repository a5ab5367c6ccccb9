package dispatch

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	expiredTotal      = metrics.NewCounter(`chervilusher_expired_total`)
	overrunsTotal     = metrics.NewCounter(`chervilusher_overruns_total`)
	reservationsTotal = metrics.NewCounter(`chervilusher_reservations_total`)
	shortWaitSeconds  = metrics.NewHistogram(`chervilusher_wait_seconds{class="short"}`)
	longWaitSeconds   = metrics.NewHistogram(`chervilusher_wait_seconds{class="long"}`)
)

func countRefusal(account string, refusal *Refusal) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`chervilusher_refusals_total{owner=%q,code=%q}`, account, refusal.Code)).Inc()
}

// observeWait records a task's queueing delay before its first start, in seconds.
func observeWait(long bool, seconds float64) {
	if long {
		longWaitSeconds.Update(seconds)
		return
	}
	shortWaitSeconds.Update(seconds)
}
