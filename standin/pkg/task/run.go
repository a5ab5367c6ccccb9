package task

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"chervilusher.dev/lib/platform"
)

// Run is one start of a task.
type Run struct {
	clock clockwork.Clock
	id    string
	value json.RawMessage
	fail  string
	onEnd func(*Run)
	done  chan struct{}

	mu      sync.Mutex
	state   platform.TaskState
	timer   clockwork.Timer // nil while the task hangs or stands still
	left    time.Duration   // of the run time at full share, when last throttled
	share   float64
	resumed time.Time // when the timer was last set
}

// Status returns the task's state and its value or error.
func (r *Run) Status() platform.TaskStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := platform.TaskStatus{Task: r.id, State: r.state}
	if r.state == platform.TaskDone {
		status.Value = r.value
	}
	if r.state == platform.TaskFailed {
		status.Error = r.fail
	}
	return status
}

// Done returns a channel that closes when the task has ended.
func (r *Run) Done() <-chan struct{} {
	return r.done
}

// Stop ends a running task at once.
func (r *Run) Stop() {
	r.end(platform.TaskStopped)
}

// Throttle gives the task a share of full speed; at zero it stands still.
func (r *Run) Throttle(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != platform.TaskRunning {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
		worked := float64(r.clock.Since(r.resumed)) * r.share
		r.left = max(r.left-time.Duration(worked), 0)
	}
	r.share = share
	r.resume()
}

// resume sets the timer for what is left; the caller holds the lock.
func (r *Run) resume() {
	r.timer = nil
	if r.share <= 0 {
		return
	}
	r.resumed = r.clock.Now()
	r.timer = r.clock.AfterFunc(time.Duration(float64(r.left)/r.share), r.complete)
}

func (r *Run) complete() {
	if r.fail != "" {
		r.end(platform.TaskFailed)
		return
	}
	r.end(platform.TaskDone)
}

func (r *Run) end(state platform.TaskState) {
	r.mu.Lock()
	if r.state != platform.TaskRunning {
		r.mu.Unlock()
		return
	}
	r.state = state
	if r.timer != nil {
		r.timer.Stop()
	}
	r.mu.Unlock()
	r.onEnd(r)
	close(r.done)
}
