package lending

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// giveBack returns idle slots: recalled ones, and those clearly slower than offered ones, at once;
// others after a full hold time without use.
func (b *Borrower) giveBack(now time.Time) {
	checkIdle := now.Sub(b.lastIdleCheck) >= b.options.Hold
	if checkIdle {
		b.lastIdleCheck = now
	}
	for name, holder := range b.holders {
		backend := b.backend(name)
		if backend == nil {
			continue
		}
		slots := b.surplus(holder, backend, checkIdle, now)
		if checkIdle {
			backend.Peak = backend.Busy
		}
		if slots > 0 {
			b.release(holder, backend, slots)
		}
	}
}

func (b *Borrower) surplus(holder *lenderState, backend *blackboard.Backend, checkIdle bool, now time.Time) int {
	idle := max(0, backend.Granted-backend.Busy)
	if idle == 0 {
		return 0
	}
	if backend.IsClosed() {
		return idle
	}
	if backend.Ejected {
		return max(0, idle-1) // a probe needs one
	}
	recalled := min(idle, max(backend.Recalled, backend.Overlent))
	group := b.board.Groups[backend.Group]
	if group == nil {
		return recalled
	}
	if group.Queue.Len() > 0 {
		if now.Before(b.blockedUntil[group.Name]) {
			return idle
		}
		return recalled
	}
	if b.fasterSlotFree(holder, backend, now) {
		return idle
	}
	if checkIdle {
		return max(recalled, backend.Granted-max(backend.Peak, backend.Busy))
	}
	return recalled
}

// fasterSlotFree reports whether a lender offers a clearly faster slot.
func (b *Borrower) fasterSlotFree(holder *lenderState, backend *blackboard.Backend, now time.Time) bool {
	for _, lender := range b.order {
		if lender != holder && now.Sub(lender.lastRequest) > offerMaxAge && lender.Name != b.options.Host {
			continue
		}
		for _, offer := range lender.offers[backend.Group] {
			if offer.Free > 0 && offer.Slowness*releaseSpeedup < backend.Slowness {
				return true
			}
		}
	}
	return false
}

func (b *Borrower) release(holder *lenderState, backend *blackboard.Backend, slots int) {
	b.countUsed(holder, backend.Name)
	unused := min(slots, holder.unused[backend.Name])
	b.Counts.Unused += unused
	holder.unused[backend.Name] -= unused
	backend.Granted -= slots
	backend.Recalled = max(0, backend.Recalled-slots)
	backend.Overlent = max(0, backend.Overlent-slots)
	holder.held[backend.Name] -= slots
	holder.returns[backend.Name] += slots
	if holder.held[backend.Name] <= 0 {
		delete(holder.held, backend.Name)
		delete(b.holders, backend.Name)
	}
	b.notifyObserver(backend)
}

// expireLoans drops the idle slots of expired loans; busy slots stay counted until their tasks end.
func (b *Borrower) expireLoans(now time.Time) {
	for name, holder := range b.holders {
		backend := b.backend(name)
		if backend == nil || now.Before(holder.loansUntil) || holder.requestPending {
			continue
		}
		if idle := backend.Granted - backend.Busy; idle > 0 {
			b.release(holder, backend, idle)
			delete(holder.returns, name)
			holder.reportAll = true
		}
	}
}

// countUsed subtracts the starts since the last count from the granted slots that are not yet used.
func (b *Borrower) countUsed(holder *lenderState, name string) {
	backend := b.backend(name)
	if backend == nil {
		return
	}
	started := backend.Starts - holder.starts[name]
	holder.starts[name] = backend.Starts
	holder.unused[name] = max(0, holder.unused[name]-started)
}
