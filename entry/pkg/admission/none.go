package admission

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
)

// None admits everything; it is the baseline.
type None struct{}

// NewNone returns a None policy.
func NewNone() *None {
	return &None{}
}

// Admit admits the job.
func (n *None) Admit(*blackboard.Job, map[string]*blackboard.Group, time.Time) *dispatch.Refusal {
	return nil
}
