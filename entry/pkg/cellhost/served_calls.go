package cellhost

import (
	"context"
	"time"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// servedCall is a call of another host to run a job, whether the job is in this cell, forwarded, or between the two.
type servedCall struct {
	job               string
	home, incarnation string
	number            int64
	sentAt            time.Time // on the home's clock
	cancel            context.CancelFunc
}

// serveCall registers the call of a request until the returned function is called; the context also ends when the home
// does not list the call any more.
func (k *KeeperController) serveCall(ctx context.Context, request *peer.RunRequest) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if request.Call == 0 { // the home does not list its calls
		return ctx, cancel
	}
	call := &servedCall{
		job:         request.ID,
		home:        request.Home,
		incarnation: request.HomeIncarnation,
		number:      request.Call,
		sentAt:      time.Unix(0, request.Sent),
		cancel:      cancel,
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.served[call] = struct{}{}
	return ctx, func() {
		cancel()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.served, call)
	}
}

// cancelClosedCalls ends the served calls that the home does not list any more. The caller holds the lock.
func (k *KeeperController) cancelClosedCalls(report *cell.HomeReport) {
	for call := range k.served {
		if call.home != report.Home || call.incarnation != report.Incarnation {
			continue
		}
		if _, open := report.WantedAt[call.number]; !open && call.sentAt.Before(report.Sent) {
			call.cancel()
		}
	}
}
