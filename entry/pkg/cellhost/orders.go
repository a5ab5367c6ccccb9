package cellhost

import (
	"sync"

	"chervilusher.dev/entry/pkg/cell"
)

// stopKey identifies the run that a stop is for.
type stopKey struct {
	worker, task string
	number       int
}

// openOrders are the starts and stops that are being sent, of stops at most one for each run.
type openOrders struct {
	mu    sync.Mutex
	stops map[stopKey]struct{}
	jobs  map[string]int // number of orders by job identifier
}

func newOpenOrders() *openOrders {
	return &openOrders{stops: map[stopKey]struct{}{}, jobs: map[string]int{}}
}

// ofJob returns the number of orders for runs of a job.
func (o *openOrders) ofJob(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.jobs[id]
}

func (o *openOrders) beginStart(run *cell.Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.jobs[run.Task.Job.ID]++
}

func (o *openOrders) endStart(run *cell.Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.end(run)
}

// beginStop notes a stop, and reports whether none was being sent for its run.
func (o *openOrders) beginStop(stop *cell.Stop) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := keyOf(stop)
	if _, sending := o.stops[key]; sending {
		return false
	}
	o.stops[key] = struct{}{}
	if stop.Run != nil {
		o.jobs[stop.Run.Task.Job.ID]++
	}
	return true
}

func (o *openOrders) endStop(stop *cell.Stop) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.stops, keyOf(stop))
	if stop.Run != nil {
		o.end(stop.Run)
	}
}

// end notes that an order for the run was answered or given up. The lock is held.
func (o *openOrders) end(run *cell.Run) {
	id := run.Task.Job.ID
	o.jobs[id]--
	if o.jobs[id] == 0 {
		delete(o.jobs, id)
	}
}

func keyOf(stop *cell.Stop) stopKey {
	return stopKey{worker: stop.Worker.ID, task: stop.Task, number: stop.Number}
}
