package controllers

import (
	"fmt"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/settings"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/platform"
)

// targetResolver maps the names in an account's configuration to targets, one for each service or pool of a job.
type targetResolver struct {
	document         *configuration.Document
	policy           *settings.Policy
	services         map[string]*blackboard.Target
	pools            map[string]*blackboard.Target
	shortestDeadline time.Duration
}

func newTargetResolver(document *configuration.Document, policy *settings.Policy) *targetResolver {
	return &targetResolver{
		document: document,
		policy:   policy,
		services: map[string]*blackboard.Target{},
		pools:    map[string]*blackboard.Target{},
	}
}

func (r *targetResolver) resolve(task *api.Task) (*blackboard.Target, error) {
	if task.Service != "" {
		return r.service(task.Service)
	}
	return r.pool(task.Pool)
}

func (r *targetResolver) service(name string) (*blackboard.Target, error) {
	if target, ok := r.services[name]; ok {
		return target, nil
	}
	service := r.document.Service(name)
	if service == nil {
		return nil, fmt.Errorf("there is no service %q", name)
	}
	target := &blackboard.Target{
		Service:        name,
		Group:          service.Group,
		Role:           platform.RoleMinion,
		FailureDomains: r.domains(service.Places),
		Timeout:        orDefault(service.Timeout.Std(), r.policy.Timeout.Std()),
		Tombstones:     service.Tombstones,
	}
	r.services[name] = target
	r.lowerDeadline(service.Deadline.Std())
	return target, nil
}

func (r *targetResolver) pool(name string) (*blackboard.Target, error) {
	if target, ok := r.pools[name]; ok {
		return target, nil
	}
	pool := r.document.Pool(name)
	if pool == nil {
		return nil, fmt.Errorf("there is no pool %q", name)
	}
	target := &blackboard.Target{
		Pool:           name,
		Group:          pool.Group,
		Role:           platform.RoleWorker,
		FailureDomains: r.domains(pool.Places),
		Timeout:        orDefault(pool.Timeout.Std(), r.policy.Timeout.Std()),
		Tombstones:     true,
	}
	r.pools[name] = target
	r.lowerDeadline(pool.Deadline.Std())
	return target, nil
}

func (r *targetResolver) domains(names []string) []string {
	domains := make([]string, 0, len(names))
	for _, name := range names {
		domains = append(domains, r.document.Place(name).Domain)
	}
	return domains
}

func (r *targetResolver) lowerDeadline(deadline time.Duration) {
	if deadline > 0 && (r.shortestDeadline == 0 || deadline < r.shortestDeadline) {
		r.shortestDeadline = deadline
	}
}

// deadline returns the caller's deadline, or else the shortest deadline of the services and pools used.
func (r *targetResolver) deadline(requested time.Duration) time.Duration {
	if requested > 0 {
		return requested
	}
	return orDefault(r.shortestDeadline, r.policy.Deadline.Std())
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
