package api

import (
	"encoding/json"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/jsonlist"
	"chervilusher.dev/lib/jsontime"
)

// Limits of one submission.
const (
	// MaxTasks is the largest number of tasks in one job.
	MaxTasks = 290
	// MaxBodyBytes is the largest accepted request body.
	MaxBodyBytes = 4 << 20
	// MaxKeyBytes is the longest accepted idempotency key.
	MaxKeyBytes = 128
	// MaxNameBytes is the longest accepted name of a service, pool or kind.
	MaxNameBytes = 64
)

// Headers of the callers' API.
const (
	// HeaderTicket carries the window token of the submission's home.
	HeaderTicket = "Chervilusher-Ticket"
	// HeaderKey carries the caller's own identifier of a submission.
	HeaderKey = "Idempotency-Key"
	// HeaderRetryAfter carries the seconds after which a refused caller should come back.
	HeaderRetryAfter = "Retry-After"
)

// Need is what one task takes from a worker.
type Need struct {
	Cores        float64 `json:"cores,omitempty"`
	Memory       int64   `json:"memory,omitempty"` // bytes
	Accelerators int     `json:"accelerators,omitempty"`
}

// Task is one piece of work, for either a service's minions or a pool's workers.
type Task struct {
	Service  string            `json:"service,omitempty"`
	Pool     string            `json:"pool,omitempty"`
	Kind     string            `json:"kind"`
	Payload  json.RawMessage   `json:"payload,omitempty"`
	Declared jsontime.Duration `json:"declared,omitempty"` // the caller's guess of the run time
	Need     Need              `json:"need,omitzero"`
}

// TaskList is a list of at most MaxTasks tasks.
type TaskList []Task

// UnmarshalJSON decodes the list; it stops at the first task too many.
func (l *TaskList) UnmarshalJSON(raw []byte) error {
	list, err := jsonlist.Decode[Task](raw, MaxTasks, true)
	if errors.Is(err, jsonlist.ErrTooLong) {
		return errors.Errorf("tasks has over %d entries; give at most %d", MaxTasks, MaxTasks)
	}
	if err != nil {
		return errors.WithMessage(err, "tasks")
	}
	*l = list
	return nil
}

// Submission is a job of 1 to MaxTasks tasks.
type Submission struct {
	Tasks    TaskList          `json:"tasks"`
	Urgent   bool              `json:"urgent,omitempty"`
	Deadline jsontime.Duration `json:"deadline,omitempty"` // counted from receipt; zero means the service's default
}

// Request is a single task that may be retried if it is idempotent.
type Request struct {
	Task
	Idempotent bool              `json:"idempotent,omitempty"`
	Urgent     bool              `json:"urgent,omitempty"`
	Deadline   jsontime.Duration `json:"deadline,omitempty"`
}
