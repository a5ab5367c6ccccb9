package cellhost

import (
	"time"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// Sync makes the workers of the claimed cells those that this host keeps; a draining host only gives up what is idle.
func (k *KeeperController) Sync(claims []peer.Claim, workers map[string]WorkerInfo, view *View, draining bool) {
	k.mu.Lock()
	k.draining = draining
	k.mu.Unlock()
	if draining {
		k.giveUpIdle()
		return
	}
	kept := keptByLeaving(view, k.options.Name)
	wanted := map[string]bool{}
	for id, info := range workers {
		claim, claimed := claimOf(claims, info.Place)
		if !claimed || kept[id] {
			continue
		}
		wanted[id] = true
		k.keep(info, claim.Epoch)
	}
	for _, id := range k.kept() {
		if !wanted[id] {
			k.drop(id)
		}
	}
}

// keptByLeaving returns the workers that leaving hosts have not given up yet.
func keptByLeaving(view *View, self string) map[string]bool {
	kept := map[string]bool{}
	for name := range view.Hosts {
		neighbour := view.Hosts[name]
		if name == self || !neighbour.Alive || !neighbour.Leaving {
			continue
		}
		for id := range neighbour.Keeping {
			kept[id] = true
		}
	}
	return kept
}

// keep starts to keep a worker, or takes in that its entry has changed.
func (k *KeeperController) keep(info WorkerInfo, epoch int64) {
	k.mu.Lock()
	loop, ok := k.loops[info.ID]
	if ok && loop.target.Address == info.Address && loop.epoch == epoch {
		k.cell.SetLeaving(loop.worker, info.Leaving)
		k.mu.Unlock()
		return
	}
	k.mu.Unlock()
	if ok {
		k.drop(info.ID)
	}
	worker := &cell.Worker{
		ID:       info.ID,
		Address:  info.Address,
		Place:    info.Place,
		Rack:     info.Rack,
		Kind:     info.Kind,
		Group:    info.Group,
		Capacity: info.Capacity,
		Leaving:  info.Leaving,
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

// giveUpIdle lets no more task start, and gives up the workers that nothing runs at.
func (k *KeeperController) giveUpIdle() {
	for _, id := range k.kept() {
		k.mu.Lock()
		loop := k.loops[id]
		k.cell.SetLeaving(loop.worker, true)
		idle := loop.worker.Idle()
		k.mu.Unlock()
		if idle {
			k.drop(id)
		}
	}
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

// Holding returns how many workers this host keeps.
func (k *KeeperController) Holding() int {
	return len(k.kept())
}

// Running returns how many jobs wait for their answer here.
func (k *KeeperController) Running() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.waiters)
}

// raise returns a token above the last one, for a worker that has seen a higher one; each try goes further ahead of the clock.
func raise(token int64, tries int, now time.Time) int64 {
	ahead := time.Duration(1<<min(tries, maxRaise)) * time.Second
	return max(token+1<<hostBits, now.Add(ahead).UnixMilli()<<hostBits|token&(1<<hostBits-1))
}

// maxRaise bounds how far a token goes ahead of the clock: 2^4 s is more than clocks of hosts differ.
const maxRaise = 4
