package cellhost

import (
	"syscall"

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

func (k *KeeperController) logCrash(crash *cell.CrashedWorker) {
	cellWorkerCrashes.Inc()
	k.common.Log.WithField("worker", crash.Worker).WithField("evidence", string(crash.Evidence)).
		WithField("tasks", crash.Tasks).Warn("worker crashed")
}
