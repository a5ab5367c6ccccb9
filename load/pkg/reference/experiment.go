package reference

import (
	"time"

	"chervilusher.dev/load/pkg/experiment"
	"chervilusher.dev/load/pkg/workload"
	"chervilusher.dev/standin/pkg/office"
)

// Central returns the response of each job of an experiment under one central queue for each group that takes the fastest free slot.
func Central(settings *experiment.Settings, jobs []workload.Job) []time.Duration {
	return responses(settings, jobs, func() Choose { return FastestFree })
}

// LeastBusyEver returns the responses under one central queue for each group that draws a least busy back end.
func LeastBusyEver(settings *experiment.Settings, jobs []workload.Job) []time.Duration {
	return responses(settings, jobs, func() Choose { return LeastBusy(settings.Seed) })
}

func responses(settings *experiment.Settings, jobs []workload.Job, choose func() Choose) []time.Duration {
	all := make([]time.Duration, len(jobs))
	for i := range settings.Groups {
		group := &settings.Groups[i]
		var chosen []workload.Job
		var indices []int
		for j := range jobs {
			if jobs[j].Owner.Group == group.Name {
				chosen = append(chosen, jobs[j])
				indices = append(indices, j)
			}
		}
		for j, response := range Responses(fleetOf(group), choose(), chosen) {
			all[indices[j]] = response
		}
	}
	return all
}

func fleetOf(group *office.Group) Fleet {
	fleet := Fleet{Slots: experiment.Slots(group)}
	for i := range group.Count {
		fleet.Speeds = append(fleet.Speeds, group.Speed(i))
	}
	return fleet
}
