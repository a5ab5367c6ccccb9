package cellhost

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// assignedWorker is a worker that this host has to hold.
type assignedWorker struct {
	info     peer.WorkerInfo
	epoch    int64 // of the claim of its cell
	keepOnly bool  // it is kept if it is held, but not taken
}

// Sync holds the claimed workers and releases all others once nothing runs on them. A leaving host that has a successor
// releases its workers in two halves, so that the failure domain keeps capacity during the handover.
func (k *KeeperController) Sync(claimed map[string]assignedWorker, workers map[string]peer.WorkerInfo, view *View, hasSuccessor bool) {
	now := k.common.Clock.Now()
	stage := k.updateHandover(hasSuccessor, now)
	elsewhere := heldElsewhere(view, k.options.Name)
	assigned := make(map[string]bool, len(claimed))
	for id, worker := range claimed {
		if stage == handoverAll || (stage == handoverHalf && isFirstHalf(id)) {
			continue
		}
		loop := k.findLoop(id)
		if loop != nil && worker.keepOnly && loop.heldByOther.Load() {
			k.dropWorker(id) // to take it back would end what runs there for the later keeper
			continue
		}
		assigned[id] = true
		if !elsewhere[id] && stage == handoverNone && (!worker.keepOnly || loop != nil) {
			k.holdWorker(worker.info, worker.epoch)
		}
	}
	for _, id := range k.heldWorkers() {
		if assigned[id] {
			continue
		}
		entry, listed := workers[id]
		k.releaseWorker(id, &entry, listed, now)
	}
}

// handoverStage is how far a leaving keeper has handed over its workers.
type handoverStage int

const (
	handoverNone handoverStage = iota
	handoverHalf
	handoverAll
)

func (k *KeeperController) updateHandover(hasSuccessor bool, now time.Time) handoverStage {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case !hasSuccessor:
		k.successorSince = time.Time{}
		return handoverNone
	case k.successorSince.IsZero():
		k.successorSince = now
		return handoverHalf
	case now.Sub(k.successorSince) < handoverHalfDelay:
		return handoverHalf
	default:
		return handoverAll
	}
}

func isFirstHalf(worker string) bool {
	return xxhash.Sum64String(worker)&1 == 0
}

// heldElsewhere returns the workers that other hosts have not released yet to the keeper that they belong to.
func heldElsewhere(view *View, self string) map[string]bool {
	held := map[string]bool{}
	for name := range view.Hosts {
		state := view.Hosts[name]
		if name == self || !state.Alive {
			continue
		}
		for id := range state.UnreleasedWorkers {
			held[id] = true
		}
	}
	return held
}

// releaseWorker stops new tasks at a worker and drops it once nothing runs there, it is not listed any more, or
// releaseTimeout has passed.
func (k *KeeperController) releaseWorker(id string, entry *peer.WorkerInfo, listed bool, now time.Time) {
	k.mu.Lock()
	loop := k.loops[id]
	if loop.releasingSince.IsZero() {
		loop.releasingSince = now
	}
	k.cell.SetReleasing(loop.worker, true)
	if listed && entry.Address == loop.target.Address {
		k.cell.SetLeaving(loop.worker, entry.Leaving)
	}
	done := !listed || loop.worker.Idle() || now.Sub(loop.releasingSince) > releaseTimeout
	k.mu.Unlock()
	if done {
		k.dropWorker(id)
	}
}

// holdWorker starts the loop of a worker, or applies a change of its directory entry.
func (k *KeeperController) holdWorker(info peer.WorkerInfo, epoch int64) {
	worker := workerOf(&info)
	k.mu.Lock()
	loop, ok := k.loops[info.ID]
	k.mu.Unlock()
	if ok && loop.target.Address == info.Address && loop.epoch == epoch {
		k.updateWorker(loop, worker)
		return
	}
	if ok {
		k.dropWorker(info.ID)
	}
	loop = newWorkerLoop(k, worker, epoch)
	k.mu.Lock()
	if last, held := k.droppedTokens[info.ID]; held && last.token >= epoch {
		loop.token.Store(nextToken(last.token)) // calls of the earlier loop may still be carried out
	}
	k.cell.Add(worker)
	k.loops[info.ID] = loop
	k.mu.Unlock()
	go loop.serve()
}

// updateWorker applies what the directory's entry says of a worker that this host holds.
func (k *KeeperController) updateWorker(loop *workerLoop, entry *cell.Worker) {
	var before cell.Resources
	changed := false
	k.apply(func(now time.Time) (effects cell.Effects) {
		loop.releasingSince = time.Time{}
		before = loop.worker.Capacity
		effects, changed = k.cell.Update(loop.worker, entry, now)
		return effects
	})
	if !changed || before == entry.Capacity {
		return
	}
	if entry.Capacity.Fits(before) {
		cellGrown.Inc()
	} else {
		cellShrunk.Inc()
	}
	k.common.Log.WithField("worker", entry.ID).WithField("before", before.String()).WithField("after", entry.Capacity.String()).
		Info("worker's capacity changed")
}

// workerOf returns a worker as its directory entry describes it.
func workerOf(info *peer.WorkerInfo) *cell.Worker {
	return &cell.Worker{
		ID:            info.ID,
		Address:       info.Address,
		FailureDomain: info.FailureDomain,
		Rack:          info.Rack,
		Kind:          info.Kind,
		Group:         info.Group,
		Capacity:      info.Capacity,
		Leaving:       info.Leaving,
	}
}

// droppedToken is the last token under which a worker was held.
type droppedToken struct {
	token int64
	at    time.Time
}

// dropWorker stops holding a worker, whatever runs there.
func (k *KeeperController) dropWorker(id string) {
	k.mu.Lock()
	now := k.common.Clock.Now()
	loop := k.loops[id]
	delete(k.loops, id)
	maps.DeleteFunc(k.droppedTokens, func(_ string, last droppedToken) bool { return now.Sub(last.at) > maxCallDelay })
	k.droppedTokens[id] = droppedToken{token: loop.token.Load(), at: now}
	effects := k.cell.Remove(id, now)
	k.mu.Unlock()
	loop.cancel()
	k.execute(&effects)
}

func (k *KeeperController) heldWorkers() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	ids := make([]string, 0, len(k.loops))
	for id := range k.loops {
		ids = append(ids, id)
	}
	return ids
}

// WorkerCount returns the number of workers that this host holds.
func (k *KeeperController) WorkerCount() int {
	return len(k.heldWorkers())
}

// PendingJobs returns the number of jobs that wait for their answer here.
func (k *KeeperController) PendingJobs() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.waiters)
}

// raiseToken returns a token above the last one, for a worker that has seen a higher one; each attempt goes further
// ahead of the clock.
func raiseToken(token int64, attempts int, now time.Time) int64 {
	ahead := time.Duration(1<<min(attempts, maxRaiseExponent)) * time.Second
	return max(nextToken(token), now.Add(ahead).UnixMilli()<<hostBits|token&(1<<hostBits-1))
}

// nextToken returns the lowest token of the same host above the last one.
func nextToken(token int64) int64 {
	return token + 1<<hostBits
}

// maxRaiseExponent bounds how far a token goes ahead of the clock: 2^4 s is more than the clocks of hosts differ.
const maxRaiseExponent = 4
