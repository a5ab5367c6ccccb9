package controllers

import (
	"encoding/json"
	"time"

	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/platform"
)

// simBackend is an endpoint or worker that records every start and tombstone.
type simBackend struct {
	host     platform.Host
	failing  bool
	tasks    map[string]*simTask // by start; nil for a tombstone
	running  int
	holder   string
	fence    int64
	leaseEnd time.Time
}

// simTask is one start as its back end sees it.
type simTask struct {
	mark  string
	state platform.TaskState
}

func newSimBackend(host platform.Host) *simBackend {
	return &simBackend{host: host, tasks: map[string]*simTask{}}
}

// lease grants or renews the lease of a worker; zero means that another host holds it.
func (b *simBackend) lease(holder string, fence int64, now, end time.Time) int64 {
	leased := now.Before(b.leaseEnd)
	if leased && b.holder != holder {
		return 0
	}
	if !leased || fence != b.fence {
		b.fence++
		b.holder = holder
	}
	b.leaseEnd = end
	return b.fence
}

// refusal returns the outcome of a rejected start, which does not run, or nil.
func (b *simBackend) refusal(start *dispatch.Start, now time.Time) *dispatch.Outcome {
	_, known := b.tasks[start.ID]
	switch {
	case known:
		return &dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Error: "withdrawn"}
	case b.host.Role == platform.RoleWorker && (start.Backend.FencingToken != b.fence || !now.Before(b.leaseEnd)):
		return &dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Busy: true, FencingToken: start.Backend.FencingToken}
	case b.running >= b.host.Slots:
		return &dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Busy: true}
	default:
		return nil
	}
}

func (b *simBackend) start(start *dispatch.Start) {
	var mark string
	if err := json.Unmarshal(start.Payload, &mark); err != nil {
		panic(err)
	}
	b.tasks[start.ID] = &simTask{mark: mark, state: platform.TaskRunning}
	b.running++
}

// end ends a running task in the given state.
func (b *simBackend) end(id string, state platform.TaskState) {
	task := b.tasks[id]
	if task == nil || task.state != platform.TaskRunning {
		return
	}
	b.running--
	task.state = state
}

// stopOrTombstone stops a running task or leaves a tombstone.
func (b *simBackend) stopOrTombstone(id string) *platform.TaskStatus {
	task, known := b.tasks[id]
	if !known {
		b.tasks[id] = nil
	}
	if task == nil {
		return &platform.TaskStatus{Task: id, State: platform.TaskAbsent}
	}
	b.end(id, platform.TaskStopped)
	return b.status(id)
}

func (b *simBackend) status(id string) *platform.TaskStatus {
	task := b.tasks[id]
	status := &platform.TaskStatus{Task: id, State: task.state}
	if task.state == platform.TaskDone {
		status.Value, _ = json.Marshal(task.mark)
	}
	return status
}
