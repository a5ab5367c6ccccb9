package cellhost

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/cell"
)

// logShortages logs and counts the shortages of groups that have begun or ended.
func (k *KeeperController) logShortages(changes []cell.ShortageChange) {
	for _, change := range changes {
		line := k.common.Log.WithField("group", change.Group).
			WithField("offered", fmt.Sprintf("%.1f", change.Offered)).WithField("served", fmt.Sprintf("%.1f", change.Served))
		if change.Short {
			metrics.GetOrCreateCounter(`chervilusher_cell_shortages_total`).Inc()
			line.Warn("the group is short of room; its queues get their shares")
			continue
		}
		metrics.GetOrCreateFloatCounter(`chervilusher_cell_short_seconds_total`).Add(change.Duration.Seconds())
		line.WithField("took", change.Duration.String()).Info("the group has room again")
	}
}

// countShare counts a job that arrived in a shortage by what its queue's share covered and by its outcome.
func countShare(rank string, outcome cell.Outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`chervilusher_cell_shares_total{share=%q,outcome=%q}`, rank, outcome)).Inc()
}
