package dispatch

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	expiredTotal      = metrics.NewCounter(`chervilusher_expired_total`)
	overrunsTotal     = metrics.NewCounter(`chervilusher_overruns_total`)
	reservationsTotal = metrics.NewCounter(`chervilusher_reservations_total`)
	waitShort         = metrics.NewHistogram(`chervilusher_wait_seconds{class="short"}`)
	waitLong          = metrics.NewHistogram(`chervilusher_wait_seconds{class="long"}`)
)

func countRefusal(owner string, refusal *Refusal) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`chervilusher_refusals_total{owner=%q,code=%q}`, owner, refusal.Code)).Inc()
}

// observeWait counts how long a task waited for its first start, in seconds.
func observeWait(long bool, seconds float64) {
	if long {
		waitLong.Update(seconds)
		return
	}
	waitShort.Update(seconds)
}
