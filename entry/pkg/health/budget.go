package health

import (
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
)

// reserve is how many retries a group may spend before its first starts have earned any.
const reserve = 10

// Health keeps a retry budget for each group.
type Health struct {
	share   float64
	budgets map[string]float64
}

// New returns a health policy that lets retries be at most the given share of starts.
func New(share float64) *Health {
	return &Health{share: share, budgets: map[string]float64{}}
}

// Observe takes in how a start ended.
func (h *Health) Observe(*blackboard.Group, *blackboard.Backend, dispatch.Verdict, time.Time) {}

// Started earns or spends budget.
func (h *Health) Started(group *blackboard.Group, retry bool) {
	budget, ok := h.budgets[group.Name]
	if !ok {
		budget = reserve
	}
	if retry {
		budget--
	} else {
		budget = min(budget+h.share, reserve)
	}
	h.budgets[group.Name] = budget
}

// MayRetry reports whether the budget allows one more retry.
func (h *Health) MayRetry(group *blackboard.Group) bool {
	budget, ok := h.budgets[group.Name]
	return !ok || budget >= 1
}

// Tick does nothing yet.
func (h *Health) Tick(*blackboard.Group, time.Time) {}
