package configuration

import "chervilusher.dev/lib/jsontime"

// limits are the times of a service or pool; zero means the default.
type limits struct {
	deadline, timeout jsontime.Duration
}

// limitsOf returns the limits of what the objective is about.
func (d *Document) limitsOf(objective *Objective) limits {
	if service := d.Service(objective.Service); service != nil {
		return limits{service.Deadline, service.Timeout}
	}
	if pool := d.Pool(objective.Pool); pool != nil {
		return limits{pool.Deadline, pool.Timeout}
	}
	return limits{}
}
