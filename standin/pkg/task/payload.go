package task

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/jsontime"
)

// Payload tells a stand-in how long to work and how to end.
type Payload struct {
	Work jsontime.Duration `json:"work,omitempty"` // run time at speed 1
	Fail string            `json:"fail,omitempty"` // ends the task with this error
	Echo json.RawMessage   `json:"echo,omitempty"` // comes back in the value
	Mark string            `json:"mark,omitempty"` // starts are counted by it
}

// Value is what a task that ended well returns.
type Value struct {
	Echo   json.RawMessage `json:"echo,omitempty"`
	Minion string          `json:"minion"` // name of the minion or worker that ran it
}

// ParsePayload reads a payload; empty means no work.
func ParsePayload(raw []byte) (Payload, error) {
	var payload Payload
	if len(raw) == 0 {
		return payload, nil
	}
	if err := json.Unmarshal(raw, &payload); err != nil {
		return payload, errors.Wrap(err, "payload")
	}
	return payload, nil
}

// RunTime returns how long the work takes at a speed.
func (p Payload) RunTime(speed float64) time.Duration {
	return time.Duration(float64(p.Work) / speed)
}
