package cell

import (
	"slices"
	"strings"
	"time"
)

// Load is the free capacity and the backlog of a group of workers.
type Load struct {
	Group     string `json:"g"`
	FreeSlots int    `json:"f"` // tasks of mean demand that could start now
	Waiting   int    `json:"w"` // tasks that wait for resources
}

// demandGain is the weight of a new job in the mean demand of a group's tasks.
const demandGain = 0.02

// meanDemand is the mean demand of a group's tasks.
type meanDemand struct {
	cores, memory, accelerators average
}

func (u *meanDemand) add(demand Resources) {
	u.cores.add(float64(demand.Cores), demandGain)
	u.memory.add(float64(demand.Memory), demandGain)
	u.accelerators.add(float64(demand.Accelerators), demandGain)
}

func (u *meanDemand) resources() Resources {
	return Resources{
		Cores:        int64(u.cores.value),
		Memory:       int64(u.memory.value),
		Accelerators: int64(u.accelerators.value),
	}
}

// Loads returns the load of each group that has workers in the cell.
func (c *Cell) Loads(now time.Time) []Load {
	byGroup := map[string]*Load{}
	for _, worker := range c.ordered {
		load, ok := byGroup[worker.Group]
		if !ok {
			load = &Load{Group: worker.Group}
			byGroup[worker.Group] = load
		}
		if !worker.usable(now) {
			continue
		}
		if demand, ok := c.demands[worker.Group]; ok {
			load.FreeSlots += worker.free().Slots(demand.resources())
		} else if worker.free().Cores > 0 {
			load.FreeSlots++ // the demand of the group's tasks is not known yet
		}
	}
	for _, job := range c.waiting {
		if load, ok := byGroup[job.Group]; ok && !job.Decided() && !c.IsBlocked(job, now) {
			load.Waiting += job.waiting()
		}
	}
	loads := make([]Load, 0, len(byGroup))
	for _, load := range byGroup {
		loads = append(loads, *load)
	}
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(a.Group, b.Group) })
	return loads
}

func (c *Cell) observeDemand(job *Job) {
	demand, ok := c.demands[job.Group]
	if !ok {
		demand = &meanDemand{}
		c.demands[job.Group] = demand
	}
	demand.add(job.Tasks[0].Demand)
}
