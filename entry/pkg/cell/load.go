package cell

import (
	"slices"
	"strings"
	"time"
)

// Load tells what a cell has room for.
type Load struct {
	Group     string `json:"g"`
	FreeSlots int    `json:"f"` // usual tasks that could start now
	Waiting   int    `json:"w"` // tasks that wait for room
}

// needGain is the weight of a new job in the usual need of a group's tasks.
const needGain = 0.02

// usualNeed is the mean need of a group's tasks.
type usualNeed struct {
	cores, memory, accelerators average
}

func (u *usualNeed) add(need Resources) {
	u.cores.add(float64(need.Cores), needGain)
	u.memory.add(float64(need.Memory), needGain)
	u.accelerators.add(float64(need.Accelerators), needGain)
}

func (u *usualNeed) room() Resources {
	return Resources{
		Cores:        int64(u.cores.value),
		Memory:       int64(u.memory.value),
		Accelerators: int64(u.accelerators.value),
	}
}

// Loads returns the load of each group that the cell has workers of.
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
		if need, ok := c.needs[worker.Group]; ok {
			load.FreeSlots += worker.free().Times(need.room())
		} else {
			load.FreeSlots++ // nothing is known of the group's tasks yet
		}
	}
	for _, job := range c.waiting {
		if load, ok := byGroup[job.Group]; ok && !job.Decided() {
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

func (c *Cell) observeNeed(job *Job) {
	need, ok := c.needs[job.Group]
	if !ok {
		need = &usualNeed{}
		c.needs[job.Group] = need
	}
	need.add(job.Tasks[0].Demand)
}
