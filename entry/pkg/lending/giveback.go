package lending

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
)

// giveBack returns idle slots: those recalled and those slower than what is free elsewhere at once, others when they were idle for a whole hold time.
func (b *Borrower) giveBack(now time.Time) {
	look := now.Sub(b.looked) >= b.options.Hold
	if look {
		b.looked = now
	}
	for name, holder := range b.holders {
		backend := b.backend(name)
		if backend == nil {
			continue
		}
		slots := b.surplus(holder, backend, look, now)
		if look {
			backend.Peak = backend.Busy
		}
		if slots > 0 {
			b.release(holder, backend, slots)
		}
	}
}

func (b *Borrower) surplus(holder *lenderState, backend *blackboard.Backend, look bool, now time.Time) int {
	idle := max(0, backend.Granted-backend.Busy)
	if idle == 0 {
		return 0
	}
	if backend.Leaving {
		return idle
	}
	if backend.Ejected {
		return max(0, idle-1) // a probe needs one
	}
	recalled := min(idle, backend.Recalled)
	group := b.board.Groups[backend.Group]
	if group == nil {
		return recalled
	}
	if group.Queue.Len() > 0 {
		if now.Before(b.blocked[group.Name]) {
			return idle
		}
		return recalled
	}
	if b.better(holder, backend, now) {
		return idle
	}
	if look {
		return max(recalled, backend.Granted-max(backend.Peak, backend.Busy))
	}
	return recalled
}

// better reports whether a keeper has a free slot that is clearly faster.
func (b *Borrower) better(holder *lenderState, backend *blackboard.Backend, now time.Time) bool {
	for _, lender := range b.order {
		if lender != holder && now.Sub(lender.asked) > offerAge && lender.Name != b.options.Host {
			continue
		}
		for _, offer := range lender.offers[backend.Group] {
			if offer.Free > 0 && offer.Slowness*faster < backend.Slowness {
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
	holder.held[backend.Name] -= slots
	holder.returns[backend.Name] += slots
	if holder.held[backend.Name] <= 0 {
		delete(holder.held, backend.Name)
		delete(b.holders, backend.Name)
	}
	b.changed(backend)
}

// lapse drops the idle part of holdings whose loan ran out; busy slots stay counted until their tasks end.
func (b *Borrower) lapse(now time.Time) {
	for name, holder := range b.holders {
		backend := b.backend(name)
		if backend == nil || now.Before(holder.until) || holder.calling {
			continue
		}
		if idle := backend.Granted - backend.Busy; idle > 0 {
			b.release(holder, backend, idle)
			delete(holder.returns, name)
			holder.full = true
		}
	}
}

// countUsed takes the starts since the last count off the slots that were granted and not used.
func (b *Borrower) countUsed(holder *lenderState, name string) {
	backend := b.backend(name)
	if backend == nil {
		return
	}
	started := backend.Starts - holder.starts[name]
	holder.starts[name] = backend.Starts
	holder.unused[name] = max(0, holder.unused[name]-started)
}
