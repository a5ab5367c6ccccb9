package cellhost

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// assignedWorker is a worker that a host is to keep.
type assignedWorker struct {
	info  peer.WorkerInfo
	epoch int64 // of the claim of its cell
}

// Sync makes the wanted workers those that this host keeps, and gives the others up once nothing runs there. A leaving host that is followed gives all of them up, one half after the other, so that the place is not
// without room while they change hands.
func (k *KeeperController) Sync(claimed map[string]assignedWorker, workers map[string]peer.WorkerInfo, view *View, followed bool) {
	now := k.common.Clock.Now()
	stage := k.stage(followed, now)
	elsewhere := keptElsewhere(view, k.options.Name)
	wanted := make(map[string]bool, len(claimed))
	for id, worker := range claimed {
		if stage == handsAll || (stage == handsHalf && isFirstHalf(id)) {
			continue
		}
		wanted[id] = true
		if !elsewhere[id] && stage == handsNone {
			k.keep(worker.info, worker.epoch)
		}
	}
	for _, id := range k.kept() {
		if wanted[id] {
			continue
		}
		_, listed := workers[id]
		k.release(id, listed, now)
	}
}

// stage is how far a leaving keeper has handed its workers over.
type stage int

const (
	handsNone stage = iota
	handsHalf
	handsAll
)

func (k *KeeperController) stage(followed bool, now time.Time) stage {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case !followed:
		k.followed = time.Time{}
		return handsNone
	case k.followed.IsZero():
		k.followed = now
		return handsHalf
	case now.Sub(k.followed) < handoverHalfDelay:
		return handsHalf
	default:
		return handsAll
	}
}

func isFirstHalf(worker string) bool {
	return xxhash.Sum64String(worker)&1 == 0
}

// keptElsewhere returns the workers that other hosts have not given up yet to the keeper that they belong to.
func keptElsewhere(view *View, self string) map[string]bool {
	kept := map[string]bool{}
	for name := range view.Hosts {
		neighbour := view.Hosts[name]
		if name == self || !neighbour.Alive {
			continue
		}
		for id := range neighbour.UnreleasedWorkers {
			kept[id] = true
		}
	}
	return kept
}

// release lets no more task start at a worker, and gives it up once nothing runs there.
func (k *KeeperController) release(id string, listed bool, now time.Time) {
	k.mu.Lock()
	loop := k.loops[id]
	if loop.released.IsZero() {
		loop.released = now
	}
	k.cell.SetLeaving(loop.worker, true)
	over := !listed || loop.worker.Idle() || now.Sub(loop.released) > releaseTimeout
	k.mu.Unlock()
	if over {
		k.drop(id)
	}
}

// keep starts to keep a worker, or takes in that its entry has changed.
func (k *KeeperController) keep(info peer.WorkerInfo, epoch int64) {
	k.mu.Lock()
	loop, ok := k.loops[info.ID]
	if ok && loop.target.Address == info.Address && loop.epoch == epoch {
		loop.released = time.Time{}
		k.cell.SetLeaving(loop.worker, info.Leaving)
		k.mu.Unlock()
		return
	}
	k.mu.Unlock()
	if ok {
		k.drop(info.ID)
	}
	worker := &cell.Worker{
		ID:            info.ID,
		Address:       info.Address,
		FailureDomain: info.FailureDomain,
		Rack:          info.Rack,
		Kind:          info.Kind,
		Group:         info.Group,
		Capacity:      info.Capacity,
		Leaving:       info.Leaving,
	}
	loop = newWorkerLoop(k, worker, epoch)
	k.mu.Lock()
	k.cell.Add(worker)
	k.loops[info.ID] = loop
	k.mu.Unlock()
	go loop.serve()
}

// drop gives a worker up, whatever runs there.
func (k *KeeperController) drop(id string) {
	k.mu.Lock()
	loop := k.loops[id]
	delete(k.loops, id)
	effects := k.cell.Remove(id, k.common.Clock.Now())
	k.mu.Unlock()
	loop.cancel()
	k.carry(&effects)
}

func (k *KeeperController) kept() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	names := make([]string, 0, len(k.loops))
	for name := range k.loops {
		names = append(names, name)
	}
	return names
}

// WorkerCount returns how many workers this host keeps.
func (k *KeeperController) WorkerCount() int {
	return len(k.kept())
}

// PendingJobs returns how many jobs wait for their answer here.
func (k *KeeperController) PendingJobs() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.waiters)
}

// raiseToken returns a token above the last one, for a worker that has seen a higher one; each try goes further ahead of the clock.
func raiseToken(token int64, tries int, now time.Time) int64 {
	ahead := time.Duration(1<<min(tries, maxRaise)) * time.Second
	return max(token+1<<hostBits, now.Add(ahead).UnixMilli()<<hostBits|token&(1<<hostBits-1))
}

// maxRaise bounds how far a token goes ahead of the clock: 2^4 s is more than clocks of hosts differ.
const maxRaise = 4
