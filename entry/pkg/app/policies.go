package app

import (
	"math/rand/v2"

	"chervilusher.dev/entry/pkg/admission"
	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/estimate"
	"chervilusher.dev/entry/pkg/health"
	"chervilusher.dev/entry/pkg/placement"
	"chervilusher.dev/entry/pkg/queue"
	"chervilusher.dev/entry/pkg/settings"
)

// newEngine builds the engine with the decisions that the settings select.
func newEngine(board *blackboard.Dispatch, loaded *settings.Settings) *dispatch.Engine {
	policy := &loaded.Policy
	limits := dispatch.Limits{LongAfter: policy.Long.Std(), LongShare: policy.Share, Memory: loaded.Limits.JobBytes()}
	return dispatch.New(board, newPolicies(policy), limits)
}

func newPolicies(policy *settings.Policy) dispatch.Policies {
	return dispatch.Policies{
		Placement: newPlacement(policy.Placement),
		Admission: newAdmission(policy.Admission),
		Estimator: estimate.New(policy.Long.Std()),
		Health:    health.New(policy.Retries, policy.Eject),
		NewQueue:  newQueue(policy.Queue),
	}
}

func newPlacement(name string) dispatch.Placement {
	switch name {
	case "random":
		return placement.NewRandom(newRandom())
	case "robin":
		return placement.NewRoundRobin()
	case "least":
		return placement.NewLeastBusy()
	default:
		return placement.NewFastest()
	}
}

func newAdmission(name string) dispatch.Admission {
	if name == "none" {
		return admission.NewNone()
	}
	return admission.NewPredictive(newRandom())
}

func newQueue(name string) func(owners map[string]*blackboard.Account) blackboard.Queue {
	if name == "single" {
		return func(map[string]*blackboard.Account) blackboard.Queue { return queue.NewFIFO() }
	}
	return func(owners map[string]*blackboard.Account) blackboard.Queue { return queue.NewFair(owners) }
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
