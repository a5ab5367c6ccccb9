package cellhost

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/peer"
)

// entriesRefused counts entries of the directory that name no worker that can be used.
var entriesRefused = metrics.NewCounter(`chervilusher_directory_entries_refused_total`)

// DirectoryChange is what a reading of the directory, or a peer's answer, changes.
type DirectoryChange struct {
	Entries    []DirectoryEntry // in the order in which they were written
	Snapshot   bool             // workers that are not named are removed too
	FromPeer   bool             // sent by a peer, which names only what has changed
	From       int64            // position in the directory's log at which the change begins; unused for a snapshot
	Next       int64            // position in the log at which the change ends
	CompleteAt time.Time        // when the log had no entry beyond Next; zero if more entries follow
}

// DirectoryEntry is the directory's entry of one worker; without Listed the worker is not listed any more, or not
// usable.
type DirectoryEntry struct {
	ID     string
	Worker peer.WorkerInfo
	Listed bool
}

// DirectoryController maintains the workers that the directory lists; a removed one stays in use for removalGrace,
// since the directory drops live workers in an outage.
type DirectoryController struct {
	common   *common.Common
	board    *Board
	refusals common.Refusals

	mu       sync.Mutex
	workers  map[string]peer.WorkerInfo
	removed  map[string]time.Time
	changed  map[string]int64 // log position of each worker's last change
	base     int64            // changes before this position are not known
	position int64            // up to which the log is known; zero before the first reading
	lastRead time.Time        // when the whole directory was last known
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

// Apply applies a change and returns true; a change that is out of order is rejected with false.
func (d *DirectoryController) Apply(change *DirectoryChange) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if change.Next < d.position || (!change.Snapshot && change.From != d.position) {
		return false
	}
	changed := false
	var logged []*peer.WorkerInfo
	for i := range change.Entries {
		entry := &change.Entries[i]
		if err := peer.CheckName(entry.ID); err != nil {
			d.refuse(entry.ID, err) // no message may hold it
			continue
		}
		if !entry.Listed {
			d.drop(entry.ID, change)
			continue
		}
		if err := entry.Worker.Check(); err != nil {
			d.refuse(entry.ID, err)
			d.drop(entry.ID, change)
			continue
		}
		d.refusals.Remove(entry.ID)
		differs, toLog := d.upsert(&entry.Worker, change)
		changed = changed || differs
		if toLog {
			logged = append(logged, &entry.Worker)
		}
	}
	d.logListed(logged)
	if change.Snapshot {
		for _, id := range d.missingFrom(change.Entries) {
			d.drop(id, change)
		}
	}
	if change.Snapshot || d.position == 0 {
		d.base = change.Next // entries before it may have changed and changed back
	}
	d.position = change.Next
	if change.CompleteAt.After(d.lastRead) {
		d.lastRead = change.CompleteAt
		d.board.directoryReadAt.Store(&change.CompleteAt)
	}
	if changed {
		d.publish()
	}
	return true
}

// refuse counts an entry that cannot be used, and logs it once.
func (d *DirectoryController) refuse(id string, err error) {
	entriesRefused.Inc()
	if d.refusals.Add(id) {
		d.common.Log.WithField("worker", id).WithError(err).Warn("cannot use a worker's entry")
	}
}

// upsert stores a listed worker, and reports whether it is new or differs, and whether that is to be logged.
func (d *DirectoryController) upsert(worker *peer.WorkerInfo, change *DirectoryChange) (differs, toLog bool) {
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

// maxWorkerLogLines is the number of workers in one change up to which each is logged on its own line; the first
// reading of a large directory would use up the log lines that a host may write in several seconds.
const maxWorkerLogLines = 50

// logListed logs workers that are new, or whose leaving state has changed.
func (d *DirectoryController) logListed(workers []*peer.WorkerInfo) {
	if len(workers) <= maxWorkerLogLines {
		for _, worker := range workers {
			d.common.Log.WithField("worker", worker.ID).WithField("leaving", worker.Leaving).WithField("place", worker.FailureDomain).Info("worker listed")
		}
		return
	}
	leaving := 0
	for _, worker := range workers {
		leaving += boolToInt(worker.Leaving)
	}
	d.common.Log.WithField("workers", len(workers)).WithField("leaving", leaving).Info("workers listed")
}

// missingFrom returns the known workers that are not among the entries.
func (d *DirectoryController) missingFrom(entries []DirectoryEntry) []string {
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
		d.common.Log.WithField("worker", id).Info("worker removed from the directory")
	}
}

// LastRead returns the latest time at which this host is known to have had the whole directory, read by itself or by
// a peer.
func (d *DirectoryController) LastRead() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastRead
}

// Position returns the position up to which the directory's log is known, or zero before the first reading.
func (d *DirectoryController) Position() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position
}

// ChangesSince returns the changes since a position or, if these are not known and the caller accepts a snapshot, all
// workers.
func (d *DirectoryController) ChangesSince(request *peer.ChangesRequest) *peer.ChangesResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	position := request.Since
	tooOld := position < d.base
	if d.position == 0 || position > d.position || (tooOld && !request.AllowFull) {
		return &peer.ChangesResponse{Position: d.position}
	}
	response := &peer.ChangesResponse{Known: true, Full: tooOld, Position: d.position, Age: int64(d.common.Clock.Since(d.lastRead))}
	if tooOld {
		response.Workers = d.listedWorkers()
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

// listedWorkers returns the workers that the directory lists; the caller holds the lock.
func (d *DirectoryController) listedWorkers() []peer.WorkerInfo {
	workers := make([]peer.WorkerInfo, 0, len(d.workers))
	for id, worker := range d.workers {
		if _, dropped := d.removed[id]; !dropped {
			workers = append(workers, worker)
		}
	}
	return workers
}

// Serve removes workers after removalGrace until the context ends.
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
