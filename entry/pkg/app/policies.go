package app

import (
	"chervilusher.dev/entry/pkg/admission"
	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/estimate"
	"chervilusher.dev/entry/pkg/health"
	"chervilusher.dev/entry/pkg/placement"
	"chervilusher.dev/entry/pkg/queue"
	"chervilusher.dev/entry/pkg/settings"
)

// newPolicies builds the decisions that the settings select.
func newPolicies(policy *settings.Policy) dispatch.Policies {
	return dispatch.Policies{
		Placement: placement.NewFastest(),
		Admission: admission.NewNone(),
		Estimator: estimate.New(policy.Long.Std()),
		Health:    health.New(policy.Retries),
		NewQueue: func(map[string]*blackboard.Owner) blackboard.Queue {
			return queue.NewSingle()
		},
	}
}
