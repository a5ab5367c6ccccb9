package cellhost

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

// DirectoryController keeps the workers that the directory shows; one that it drops stays in use for a while, since the directory forgets live workers in an outage.
type DirectoryController struct {
	common *common.Common
	board  *Board

	mu      sync.Mutex
	workers map[string]peer.WorkerInfo
	removed map[string]time.Time
	read    atomic.Int64 // when the directory was last read, in Unix nanoseconds
}

// NewDirectoryController returns a controller without workers.
func NewDirectoryController(c *common.Common, board *Board) *DirectoryController {
	return &DirectoryController{
		common:  c.Prefixed("directory"),
		board:   board,
		workers: map[string]peer.WorkerInfo{},
		removed: map[string]time.Time{},
	}
}

// Show takes in workers that the directory shows.
func (d *DirectoryController) Show(workers []peer.WorkerInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, worker := range workers {
		delete(d.removed, worker.ID)
		before, known := d.workers[worker.ID]
		if known && before == worker {
			continue
		}
		changed = true
		d.workers[worker.ID] = worker
		if !known || before.Leaving != worker.Leaving {
			d.common.Log.WithField("worker", worker.ID).WithField("leaving", worker.Leaving).WithField("place", worker.Place).Info("worker listed")
		}
	}
	if changed {
		d.publish()
	}
}

// Read takes in that the directory was read up to a time.
func (d *DirectoryController) Read(at time.Time) {
	d.read.Store(at.UnixNano())
}

// LastRead returns when the directory was last read.
func (d *DirectoryController) LastRead() time.Time {
	return time.Unix(0, d.read.Load())
}

// Drop takes in that the directory does not show a worker any more.
func (d *DirectoryController) Drop(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.workers[id]; !known {
		return
	}
	if _, dropped := d.removed[id]; !dropped {
		d.removed[id] = d.common.Clock.Now()
		d.common.Log.WithField("worker", id).Info("worker not listed any more")
	}
}

// Keep drops all workers but the named ones, after the directory was read as a whole.
func (d *DirectoryController) Keep(ids map[string]bool) {
	d.mu.Lock()
	known := maps.Clone(d.workers)
	d.mu.Unlock()
	for id := range known {
		if !ids[id] {
			d.Drop(id)
		}
	}
}

// Serve forgets workers that stayed away until the context ends.
func (d *DirectoryController) Serve(ctx context.Context) {
	d.common.Every(ctx, removalGrace/10, d.expire)
}

func (d *DirectoryController) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for id, at := range d.removed {
		if d.common.Clock.Since(at) >= removalGrace {
			delete(d.removed, id)
			delete(d.workers, id)
			changed = true
		}
	}
	if changed {
		d.publish()
	}
}

func (d *DirectoryController) publish() {
	workers := maps.Clone(d.workers)
	d.board.workers.Store(&workers)
}
