package cell

import (
	"maps"
	"slices"
	"time"
)

// capacityDelay is the longest time until the cell learns of a changed capacity, as the platform states it.
const capacityDelay = 4500 * time.Millisecond

// add adds the worker to the cell.
func (h *harness) add(worker *Worker) {
	h.cell.Add(worker)
	h.told[worker.ID] = worker.Capacity
}

// setCapacity changes the capacity of a worker, of which the cell learns after the delay.
func (h *harness) setCapacity(id string, cores int64, delay time.Duration) {
	h.workers[id].capacity.Cores = cores * 1000
	if _, pending := h.learnAt[id]; !pending {
		h.learnAt[id] = h.now.Add(delay)
	}
	h.learnCapacities()
}

// learnCapacities tells the cell of the changed capacities that are due.
func (h *harness) learnCapacities() {
	for _, id := range slices.Sorted(maps.Keys(h.learnAt)) {
		if !h.now.Before(h.learnAt[id]) {
			delete(h.learnAt, id)
			h.tellCapacity(id)
		}
	}
}

// tellCapacity tells the cell of a worker's present capacity.
func (h *harness) tellCapacity(id string) {
	worker := h.cell.Worker(id)
	h.told[id] = h.workers[id].capacity
	for i := range h.late {
		if late := &h.late[i]; late.start.Run.Worker.ID == id {
			late.capacity.Cores = max(late.capacity.Cores, h.told[id].Cores)
		}
	}
	entry := *worker
	entry.Capacity = h.told[id]
	effects, _ := h.cell.Update(worker, &entry, h.now)
	h.applyEffects(&effects)
}
