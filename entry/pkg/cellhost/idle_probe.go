package cellhost

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

const (
	// idleProbeDelay is how long a cell must be without a keeper that is heard before its workers are probed; by then every
	// lease that a dead keeper renewed last has lapsed, also on a slow clock.
	idleProbeDelay = 1100 * time.Millisecond
	// idleProbeInterval is the interval between probes.
	idleProbeInterval = 200 * time.Millisecond
	// idleProbeRounds is how many successive probes must find nothing running; a live keeper's workers are seldom all
	// idle.
	idleProbeRounds = 3
	// maxProbedRaises bounds the raised tokens that are tried at a worker: one for each of its restarts under the keeper.
	maxProbedRaises = 8
)

// idleProbe detects for a host that hears too few others whether the keeper of a cell is still running: then tasks
// run at the cell's workers. It lists their runs under the fencing token of that keeper, which changes nothing there.
type idleProbe struct {
	workers WorkerClient
	clock   clockwork.Clock

	mu    sync.Mutex
	cells map[peer.CellKey]*cellProbe
}

// cellProbe is the state of the probes of one cell.
type cellProbe struct {
	token      int64
	probedAt   time.Time
	probing    bool
	idleRounds int // successive probes at which nothing ran
}

func newIdleProbe(workers WorkerClient, clock clockwork.Clock) *idleProbe {
	return &idleProbe{workers: workers, clock: clock, cells: map[peer.CellKey]*cellProbe{}}
}

// forget drops the state of a cell.
func (p *idleProbe) forget(key peer.CellKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cells, key)
}

// isIdle reports whether nothing runs at the cell's workers any more, and probes them again when due.
func (p *idleProbe) isIdle(key peer.CellKey, token int64, workers []peer.WorkerInfo) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen, ok := p.cells[key]
	if !ok || seen.token != token {
		seen = &cellProbe{token: token}
		p.cells[key] = seen
	}
	if seen.idleRounds >= idleProbeRounds {
		return true
	}
	if now := p.clock.Now(); !seen.probing && now.Sub(seen.probedAt) >= idleProbeInterval {
		seen.probedAt = now
		seen.probing = true
		go p.probe(seen, workers)
	}
	return false
}

// probe lists the runs of all workers; those that do not answer do not count, but most of them must answer.
func (p *idleProbe) probe(seen *cellProbe, workers []peer.WorkerInfo) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var mu sync.Mutex
	idle, busy := 0, 0
	for i := range workers {
		calls.Go(func() {
			report, err := p.list(ctx, Target{ID: workers[i].ID, Address: workers[i].Address}, seen.token)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && len(report.Running) == 0:
				idle++
			case err == nil || isFenced(err):
				busy++
			}
		})
	}
	calls.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	seen.probing = false
	if busy == 0 && 2*idle > len(workers) {
		seen.idleRounds++
	} else {
		seen.idleRounds = 0
	}
}

// list reads the worker's lists under the keeper's token for it, which is the claim's or has been raised after restarts of
// the worker. No token that is tried is higher, so that the keeper is not fenced.
func (p *idleProbe) list(ctx context.Context, target Target, token int64) (*cell.Report, error) {
	report, err := p.workers.Hold(ctx, target, HoldCall{Token: token})
	for raises := 0; isFenced(err) && raises < maxProbedRaises; raises++ {
		token = nextToken(token)
		report, err = p.workers.Hold(ctx, target, HoldCall{Token: token})
	}
	return report, err
}
