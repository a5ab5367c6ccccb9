package cellhost

import (
	"context"
	"maps"
	"sync"
	"time"

	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

// DirectoryChange is what a reading of the directory, or a peer's answer, tells anew.
type DirectoryChange struct {
	Entries    []DirectoryEntry // in the order in which they were written
	Snapshot   bool             // workers that are not named are gone too
	FromPeer   bool             // a peer tells it, and names only what has changed
	From       int64            // position in the directory's log at which the change begins; a whole one stands for itself
	Next       int64            // position up to which the change tells
	CompleteAt time.Time        // when the directory said nothing beyond it; zero when more is to come
}

// DirectoryEntry is what the directory says of one worker; without Listed it is not listed any more, or not usable.
type DirectoryEntry struct {
	ID     string
	Worker peer.WorkerInfo
	Listed bool
}

// DirectoryController keeps the workers that the directory shows; one that it drops stays in use for a while, since the directory forgets live workers in an outage.
type DirectoryController struct {
	common *common.Common
	board  *Board

	mu       sync.Mutex
	workers  map[string]peer.WorkerInfo
	removed  map[string]time.Time
	changed  map[string]int64 // position up to which each worker's last change was known
	base     int64            // what changed before this position is not known
	position int64            // up to which the directory is known; zero before it was read
	read     time.Time        // when it was last known as a whole
}

// NewDirectoryController returns a controller without workers.
func NewDirectoryController(c *common.Common, board *Board) *DirectoryController {
	return &DirectoryController{
		common:  c.Prefixed("directory"),
		board:   board,
		workers: map[string]peer.WorkerInfo{},
		removed: map[string]time.Time{},
		changed: map[string]int64{},
	}
}

// Apply takes a change in, and reports false for one that another has overtaken.
func (d *DirectoryController) Apply(change *DirectoryChange) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if change.Next < d.position || (!change.Snapshot && change.From != d.position) {
		return false
	}
	changed := false
	var news []*peer.WorkerInfo
	for i := range change.Entries {
		entry := &change.Entries[i]
		if !entry.Listed {
			d.drop(entry.ID, change)
			continue
		}
		differs, isNews := d.show(&entry.Worker, change)
		changed = changed || differs
		if isNews {
			news = append(news, &entry.Worker)
		}
	}
	d.logListed(news)
	if change.Snapshot {
		for _, id := range d.unnamed(change.Entries) {
			d.drop(id, change)
		}
	}
	if change.Snapshot || d.position == 0 {
		d.base = change.Next // entries between may have changed and changed back
	}
	d.position = change.Next
	if change.CompleteAt.After(d.read) {
		d.read = change.CompleteAt
	}
	if changed {
		d.publish()
	}
	return true
}

// show takes a worker in, and reports whether it is new or differs, and whether that is worth a line.
func (d *DirectoryController) show(worker *peer.WorkerInfo, change *DirectoryChange) (differs, isNews bool) {
	before, known := d.workers[worker.ID]
	_, dropped := d.removed[worker.ID]
	delete(d.removed, worker.ID)
	differs = !known || before != *worker
	if differs || dropped || change.FromPeer {
		d.changed[worker.ID] = change.Next
	}
	if differs {
		d.workers[worker.ID] = *worker
	}
	return differs, !known || before.Leaving != worker.Leaving
}

// mostListedLines is up to how many workers that one change lists get a line each; the first reading of a large directory
// would use up all lines that a host may write in several seconds.
const mostListedLines = 50

// logListed logs workers that are new, or that leave or stay after all.
func (d *DirectoryController) logListed(workers []*peer.WorkerInfo) {
	if len(workers) <= mostListedLines {
		for _, worker := range workers {
			d.common.Log.WithField("worker", worker.ID).WithField("leaving", worker.Leaving).WithField("place", worker.FailureDomain).Info("worker listed")
		}
		return
	}
	leaving := 0
	for _, worker := range workers {
		leaving += count(worker.Leaving)
	}
	d.common.Log.WithField("workers", len(workers)).WithField("leaving", leaving).Info("workers listed")
}

// unnamed returns the known workers that are not among the entries.
func (d *DirectoryController) unnamed(entries []DirectoryEntry) []string {
	named := make(map[string]bool, len(entries))
	for i := range entries {
		named[entries[i].ID] = true
	}
	var others []string
	for id := range d.workers {
		if !named[id] {
			others = append(others, id)
		}
	}
	return others
}

func (d *DirectoryController) drop(id string, change *DirectoryChange) {
	_, known := d.workers[id]
	_, dropped := d.removed[id]
	isNew := known && !dropped
	if isNew || change.FromPeer {
		d.changed[id] = change.Next
	}
	if isNew {
		d.removed[id] = d.common.Clock.Now()
		d.common.Log.WithField("worker", id).Info("worker not listed any more")
	}
}

// LastRead returns the latest time at which this host is known to have known all of the directory, by its own reading or a peer's.
func (d *DirectoryController) LastRead() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.read
}

// Position returns up to which position of its log the directory is known; zero stands for one that was not read.
func (d *DirectoryController) Position() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position
}

// ChangesSince returns what has changed since a position, or where that is not known all workers, if the asker takes them.
func (d *DirectoryController) ChangesSince(request *peer.ChangesRequest) *peer.ChangesResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	position := request.Since
	tooOld := position < d.base
	if d.position == 0 || position > d.position || (tooOld && !request.AllowFull) {
		return &peer.ChangesResponse{Position: d.position}
	}
	response := &peer.ChangesResponse{Known: true, Full: tooOld, Position: d.position, Age: int64(d.common.Clock.Since(d.read))}
	if tooOld {
		response.Workers = d.listed()
		return response
	}
	for id, at := range d.changed {
		if at <= position {
			continue
		}
		worker, known := d.workers[id]
		if _, dropped := d.removed[id]; known && !dropped {
			response.Workers = append(response.Workers, worker)
		} else {
			response.Removed = append(response.Removed, id)
		}
	}
	return response
}

// listed returns the workers that the directory lists; the caller holds the lock.
func (d *DirectoryController) listed() []peer.WorkerInfo {
	workers := make([]peer.WorkerInfo, 0, len(d.workers))
	for id, worker := range d.workers {
		if _, dropped := d.removed[id]; !dropped {
			workers = append(workers, worker)
		}
	}
	return workers
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
