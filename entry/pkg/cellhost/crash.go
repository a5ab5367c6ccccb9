package cellhost

import (
	"context"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/cell"
)

var cellWorkerCrashes = metrics.NewCounter(`chervilusher_cell_worker_crashes_total`)

// crashEvidence reports whether a failed call shows that the worker's process has ended, and how.
func crashEvidence(err error) (cell.CrashEvidence, bool) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return cell.ConnectionRefused, true
	case errors.Is(err, ErrOtherIncarnation):
		return cell.AnotherIncarnation, true
	default:
		return "", false
	}
}

// isUndelivered reports whether nothing of a failed call was sent. Calls are made once, on one connection.
func isUndelivered(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// HeartbeatSender sends heartbeats to other hosts at once.
type HeartbeatSender interface {
	SendHeartbeats()
}

// SetHeartbeats sets who tells other hosts at once of a crash; it must be called before Serve.
func (k *KeeperController) SetHeartbeats(heartbeats HeartbeatSender) {
	k.heartbeats = heartbeats
}

// RecentCrashes implements CrashExchange.
func (k *KeeperController) RecentCrashes() []cell.CrashCount {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.RecentCrashes(k.common.Clock.Now())
}

// KnownCrashes implements CrashExchange.
func (k *KeeperController) KnownCrashes() []cell.CrashCount {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.KnownCrashes(k.common.Clock.Now())
}

// MergeCrashes implements CrashExchange.
func (k *KeeperController) MergeCrashes(counts []cell.CrashCount) {
	k.apply(func(now time.Time) cell.Effects { return k.cell.MergeCrashes(counts, now) })
}

// RecentLateStarts implements CrashExchange.
func (k *KeeperController) RecentLateStarts() []cell.LateStart {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.RecentLateStarts(k.common.Clock.Now())
}

// KnownLateStarts implements CrashExchange.
func (k *KeeperController) KnownLateStarts() []cell.LateStart {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.KnownLateStarts(k.common.Clock.Now())
}

// MergeLateStarts implements CrashExchange.
func (k *KeeperController) MergeLateStarts(starts []cell.LateStart) {
	k.apply(func(now time.Time) cell.Effects { return k.cell.MergeLateStarts(starts, now) })
}

// StartsReportedUntil implements CrashExchange.
func (k *KeeperController) StartsReportedUntil() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cell.StartsReportedUntil()
}

// HandleStartsReported implements CrashExchange.
func (k *KeeperController) HandleStartsReported(sender cell.Sender, until int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cell.HandleStartsReported(sender, until)
}

// failCrashing answers a job under one of whose tasks too many workers have crashed, wherever and for whichever of its
// submissions that was; it returns nil for other jobs.
func (k *KeeperController) failCrashing(ctx context.Context, job *cell.Job) chan *cell.Answer {
	var answers chan *cell.Answer
	k.apply(func(now time.Time) (effects cell.Effects) {
		if !k.cell.CrashesWorkers(job, now) {
			return effects
		}
		answers = k.addWaiter(ctx, job)
		return k.cell.Submit(job, now)
	})
	return answers
}

// reportCrashes logs crashes, and workers that have left, and tells other hosts at once.
func (k *KeeperController) reportCrashes(crashes []cell.CrashedWorker) {
	for i := range crashes {
		k.logCrash(&crashes[i])
	}
	if len(crashes) > 0 && k.heartbeats != nil {
		k.heartbeats.SendHeartbeats()
	}
}

func (k *KeeperController) logCrash(crash *cell.CrashedWorker) {
	line := k.common.Log.WithField("worker", crash.Worker).WithField("evidence", string(crash.Evidence)).WithField("tasks", crash.Tasks)
	if crash.Left {
		line.Info("worker has left")
		return
	}
	cellWorkerCrashes.Inc()
	line.Warn("worker crashed")
}
