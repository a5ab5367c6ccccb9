package cellhost

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/cell"
)

var (
	noticeTime       = metrics.NewHistogram(`chervilusher_start_notice_seconds`)
	lateNotices      = metrics.NewCounter(`chervilusher_start_notices_late_total`)
	lostKeeperStarts = metrics.NewCounter(`chervilusher_starts_of_lost_keepers_total`)
)

// noticeDelay bounds how long a start waits until the notices of it are written, which takes longer only for a connection that
// has to be opened first or has filled up.
const noticeDelay = 5 * time.Millisecond

// StartNotifier tells other hosts of starts.
type StartNotifier interface {
	// Notify returns a channel that is closed once the notices are written, or could not be.
	Notify(starts []cell.SentStart) <-chan struct{}
}

// sendStarts sends the starts once other hosts were told of them.
func (k *KeeperController) sendStarts(starts []cell.Start) {
	if len(starts) == 0 {
		return
	}
	for i := range starts {
		k.orders.beginStart(starts[i].Run)
	}
	go func() {
		k.tellWitnesses(starts)
		for i := range starts {
			go func() {
				defer k.orders.endStart(starts[i].Run)
				k.sendStart(starts[i])
			}()
		}
	}()
}

// SetWitnesses sets who tells other hosts of starts; it must be called before Serve.
func (k *KeeperController) SetWitnesses(witnesses StartNotifier) {
	k.witnesses = witnesses
}

// tellWitnesses tells other hosts of the starts, and returns once the notices are written, but soon in any case: a host that
// cannot be reached must not hold up the starts.
func (k *KeeperController) tellWitnesses(starts []cell.Start) {
	if k.witnesses == nil {
		return
	}
	began := k.common.Clock.Now()
	written := k.witnesses.Notify(cell.SentStarts(starts))
	timeout := k.common.Clock.NewTimer(noticeDelay)
	defer timeout.Stop()
	select {
	case <-written:
	case <-timeout.Chan():
		lateNotices.Inc()
	}
	noticeTime.Update(k.common.Clock.Since(began).Seconds())
}

// WitnessStarts implements StartRecorder. A notice may be read after its sender was found to be lost.
func (k *KeeperController) WitnessStarts(sender cell.Sender, starts []cell.SentStart) {
	k.mu.Lock()
	k.cell.WitnessStarts(sender, starts, k.common.Clock.Now())
	k.mu.Unlock()
	switch state := k.board.View().Hosts[sender.Host]; {
	case !state.Alive:
		k.takeWitnessedStarts(sender.Host, "")
	case state.Incarnation != sender.Incarnation:
		k.takeWitnessedStarts(sender.Host, state.Incarnation)
	}
}

// takeWitnessedStarts takes the starts of which a lost host has told, other than its present process, for ones without an answer.
func (k *KeeperController) takeWitnessedStarts(host, exceptIncarnation string) {
	taken := 0
	k.apply(func(now time.Time) (effects cell.Effects) {
		effects, taken = k.cell.HandleKeeperLoss(host, exceptIncarnation, now)
		return effects
	})
	if taken > 0 {
		lostKeeperStarts.Add(taken)
		k.common.Log.WithField("peer", host).WithField("starts", taken).Info("workers may carry out starts of a lost keeper")
	}
}
