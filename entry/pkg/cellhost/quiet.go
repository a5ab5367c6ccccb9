package cellhost

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"chervilusher.dev/entry/pkg/peer"
)

const (
	// quietAfter is how long a cell must be without a keeper that is heard until its workers are looked at; by then every
	// lease that a dead keeper renewed last has lapsed, also on a slow clock.
	quietAfter = 1100 * time.Millisecond
	// quietInterval is how often the workers are looked at.
	quietInterval = 200 * time.Millisecond
	// quietLooks is how often in a row nothing may run; a live keeper's workers are seldom all idle.
	quietLooks = 3
)

// quietProbe tells a host that hears too few others whether the keeper of a cell still lives: then something runs at the
// cell's workers. It reads their lists with the token of that keeper, which changes nothing there.
type quietProbe struct {
	workers WorkerClient
	clock   clockwork.Clock

	mu    sync.Mutex
	cells map[peer.CellKey]*quietCell
}

// quietCell is what was seen of a cell.
type quietCell struct {
	token   int64
	looked  time.Time
	looking bool
	quiet   int // looks in a row at which nothing ran
}

func newQuietProbe(workers WorkerClient, clock clockwork.Clock) *quietProbe {
	return &quietProbe{workers: workers, clock: clock, cells: map[peer.CellKey]*quietCell{}}
}

// forget drops what was seen of a cell.
func (p *quietProbe) forget(key peer.CellKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cells, key)
}

// isQuiet reports whether nothing runs at the cell's workers any more, and looks at them again when that is due.
func (p *quietProbe) isQuiet(key peer.CellKey, token int64, workers []peer.WorkerInfo) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen, ok := p.cells[key]
	if !ok || seen.token != token {
		seen = &quietCell{token: token}
		p.cells[key] = seen
	}
	if seen.quiet >= quietLooks {
		return true
	}
	if now := p.clock.Now(); !seen.looking && now.Sub(seen.looked) >= quietInterval {
		seen.looked = now
		seen.looking = true
		go p.look(seen, workers)
	}
	return false
}

// look reads the lists of all workers; those that do not answer tell nothing, but most of them must.
func (p *quietProbe) look(seen *quietCell, workers []peer.WorkerInfo) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var mu sync.Mutex
	idle, busy := 0, 0
	for i := range workers {
		calls.Go(func() {
			report, err := p.workers.Hold(ctx, Target{ID: workers[i].ID, Address: workers[i].Address}, HoldCall{Token: seen.token})
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
	seen.looking = false
	if busy == 0 && 2*idle > len(workers) {
		seen.quiet++
	} else {
		seen.quiet = 0
	}
}
