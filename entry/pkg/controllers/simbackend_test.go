package controllers

import (
	"encoding/json"
	"time"

	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/platform"
)

// simBackend is a minion or worker that remembers every start and tombstone.
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

// lease grants or renews the lease of a worker; zero means that another host has it.
func (b *simBackend) lease(holder string, fence int64, now, end time.Time) int64 {
	held := now.Before(b.leaseEnd)
	if held && b.holder != holder {
		return 0
	}
	if !held || fence != b.fence {
		b.fence++
		b.holder = holder
	}
	b.leaseEnd = end
	return b.fence
}

// refusal returns why a start is turned down, which starts nothing, or nil.
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

// end ends a running task and returns how.
func (b *simBackend) end(id string, state platform.TaskState) {
	task := b.tasks[id]
	if task == nil || task.state != platform.TaskRunning {
		return
	}
	b.running--
	task.state = state
}

// bury stops a running task or leaves a tombstone.
func (b *simBackend) bury(id string) *platform.TaskStatus {
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
