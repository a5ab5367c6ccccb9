package platform

import (
	"encoding/json"
	"net/http"

	"chervilusher.dev/lib/jsontime"
)

// Headers of the minions' and workers' task interface.
const (
	HeaderTask  = "Chervilusher-Task"  // the task's identifier, echoed in the answer
	HeaderOwner = "Chervilusher-Owner" // the owner that the task runs for
	HeaderKind  = "Chervilusher-Kind"  // the kind of work
	HeaderRan   = "Chervilusher-Ran"   // "no" on a refusal that started nothing
)

// RefusesPayload reports whether a refusal of that HTTP status is for the payload itself, so that no other back end would take it.
func RefusesPayload(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// TaskState is what a minion or worker knows of a task.
type TaskState string

// States of tasks.
const (
	TaskAbsent  TaskState = "absent" // never started; after DELETE it never will be
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
)

// TaskStatus answers GET and DELETE /v1/tasks/{id} of minions and workers, and a worker's start.
type TaskStatus struct {
	Task  string          `json:"task"`
	State TaskState       `json:"state"`
	Value json.RawMessage `json:"value,omitempty"`
	Error string          `json:"error,omitempty"`
}

// TaskStart is the body of POST /v1/tasks/{id}?wait=DURATION on a worker; the answer is a TaskStatus.
type TaskStart struct {
	Fence        int64           `json:"fence"` // the fencing token of the lease
	Owner        string          `json:"owner"`
	Kind         string          `json:"kind"`
	Cores        float64         `json:"cores,omitempty"`
	Memory       int64           `json:"memory,omitempty"` // bytes
	Accelerators int             `json:"accelerators,omitempty"`
	Payload      json.RawMessage `json:"payload,omitempty"`
}

// LeaseRequest is the body of POST /v1/lease on a worker; a held Fence renews, zero asks for a new lease.
type LeaseRequest struct {
	Holder string            `json:"holder"`
	Fence  int64             `json:"fence,omitempty"`
	Length jsontime.Duration `json:"length"`
}

// Lease answers a LeaseRequest; status 409 means that another holder has it for Left longer.
type Lease struct {
	Holder string            `json:"holder"`
	Fence  int64             `json:"fence"`
	Left   jsontime.Duration `json:"left"`
}

// Throttle is the body of POST /v1/tasks/{id}/throttle on a worker.
type Throttle struct {
	Share float64 `json:"share"` // of full speed, 0 to 1
}

// Usage answers GET /v1/usage on a worker; it lags behind the truth.
type Usage struct {
	Lag          jsontime.Duration `json:"lag"`
	Cores        float64           `json:"cores"`
	Memory       int64             `json:"memory"` // bytes
	Accelerators int               `json:"accelerators"`
	Running      int               `json:"running"`
}
