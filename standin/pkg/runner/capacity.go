package runner

import "time"

// ShrinkGrace is how long after a shrink starts may still count on the capacity from before: the users' contact_ms and
// one beat.
const ShrinkGrace = 4500 * time.Millisecond

// room is a capacity and since when it is in force.
type room struct {
	cores int64 // thousandths of a core
	since time.Time
}

// SetCores changes the capacity; what runs goes on.
func (r *Runner) SetCores(cores int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rooms = append(r.rooms, room{cores: cores, since: r.clock.Now()})
}

// cores returns the capacity.
func (r *Runner) cores() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rooms[len(r.rooms)-1].cores
}

// mostCores returns the largest capacity that a start ordered at that time may count on; the caller holds the lock.
func (r *Runner) mostCores(ordered time.Time) int64 {
	most := int64(0)
	for i := len(r.rooms) - 1; i >= 0; i-- {
		most = max(most, r.rooms[i].cores)
		if !r.rooms[i].since.After(ordered.Add(-ShrinkGrace)) {
			break
		}
	}
	return most
}

// checkRoom notes a start that was ordered at that time and brings the runner over its capacity.
func (r *Runner) checkRoom(ordered time.Time) {
	used := int64(0)
	for _, running := range r.running {
		used += running.cores
	}
	if most := r.mostCores(ordered); used > most {
		r.ledger.breach("%s runner %s has %d of %d thousandths of a core in use", r.clock.Now().Format(time.RFC3339Nano), r.ID, used, most)
	}
}
