package cellhost

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/interference"
)

// reportInterference logs and counts the queues that have begun or ended to slow each other down.
func (k *KeeperController) reportInterference() {
	for _, pair := range k.takeInterference() {
		change := "found"
		if pair.Ended {
			change = "ended"
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`chervilusher_cell_interference_total{queue=%q,neighbour=%q,change=%q}`,
			pair.Queue, pair.Neighbour, change)).Inc()
		line := k.common.Log.WithField("queue", pair.Queue).WithField("neighbour", pair.Neighbour)
		if pair.Ended {
			line.Info("tasks are no longer kept apart from those of the neighbour")
			continue
		}
		line.WithField("slowdown", fmt.Sprintf("%.2f", pair.Slowdown)).Info("tasks take longer beside those of the neighbour, and are kept apart where there is room")
	}
}

func (k *KeeperController) takeInterference() []interference.Pair {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.TakeInterference()
}
