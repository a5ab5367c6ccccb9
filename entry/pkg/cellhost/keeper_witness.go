package cellhost

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

var failedKeeperStarts = metrics.NewCounter(`chervilusher_starts_of_lost_keepers_total`)

// StartNotifier notifies other hosts of starts.
type StartNotifier interface {
	// Notify returns once the notices are written, cannot be, or take too long.
	Notify(starts []cell.LateStart)
}

// sendStarts sends the starts once other hosts are notified of them.
func (k *KeeperController) sendStarts(starts []cell.Start) {
	if len(starts) == 0 {
		return
	}
	for i := range starts {
		k.orders.beginStart(starts[i].Run)
	}
	go func() {
		k.notifier.Notify(cell.Notices(starts, maxCallDelay))
		for i := range starts {
			go func() {
				defer k.orders.endStart(starts[i].Run)
				k.sendStart(starts[i])
			}()
		}
	}()
}

// serveNotice records starts of another keeper. The notice may arrive after its sender was found to have failed.
func (k *KeeperController) serveNotice(_ context.Context, notice *peer.StartsNotice) (*peer.StartsNoticed, error) {
	k.mu.Lock()
	k.cell.WitnessStarts(cell.Sender{Host: notice.Host, Incarnation: notice.Incarnation}, notice.Starts, k.common.Clock.Now())
	k.mu.Unlock()
	switch state := k.board.View().Hosts[notice.Host]; {
	case !state.Alive:
		k.handleKeeperFailure(notice.Host, "")
	case state.Incarnation != notice.Incarnation:
		k.handleKeeperFailure(notice.Host, state.Incarnation)
	}
	return &peer.StartsNoticed{}, nil
}

// handleKeeperFailure records the witnessed starts of a failed host, other than its present process, as unsettled.
func (k *KeeperController) handleKeeperFailure(host, exceptIncarnation string) {
	unsettled := 0
	k.apply(func(now time.Time) (effects cell.Effects) {
		effects, unsettled = k.cell.HandleKeeperFailure(host, exceptIncarnation, now)
		return effects
	})
	if unsettled > 0 {
		failedKeeperStarts.Add(unsettled)
		k.common.Log.WithField("peer", host).WithField("starts", unsettled).Info("workers may carry out starts of a lost keeper")
	}
}
