package experiment

import (
	"math"
	"slices"

	"chervilusher.dev/lib/platform"
	"chervilusher.dev/standin/pkg/office"
)

// Defaults that the stand-ins take for a group that names none.
const (
	defaultSlots = 8
	defaultCores = 16
)

// Group returns the group of that name, or nil.
func (s *Settings) Group(name string) *office.Group {
	for i := range s.Groups {
		if s.Groups[i].Name == name {
			return &s.Groups[i]
		}
	}
	return nil
}

// Slots returns how many tasks one member of a group runs at once; a worker runs one a core.
func Slots(group *office.Group) int {
	if group.Role == platform.RoleWorker {
		if group.Cores > 0 {
			return int(group.Cores)
		}
		return defaultCores
	}
	if group.Slots > 0 {
		return group.Slots
	}
	return defaultSlots
}

// Capacity returns the seconds of work that a group does in a second.
func Capacity(group *office.Group) float64 {
	sum := 0.0
	for i := range group.Count {
		sum += float64(Slots(group)) * group.Speed(i)
	}
	return sum
}

// MedianSpeed returns the median of the speeds of a group's members.
func MedianSpeed(group *office.Group) float64 {
	speeds := make([]float64, 0, group.Count)
	for i := range group.Count {
		speeds = append(speeds, group.Speed(i))
	}
	slices.Sort(speeds)
	middle := len(speeds) / 2
	if len(speeds)%2 == 1 {
		return speeds[middle]
	}
	return (speeds[middle-1] + speeds[middle]) / 2
}

// MeanWork returns the mean seconds of work of one task of an owner.
func (o *Owner) MeanWork() float64 {
	shares, sum := 0.0, 0.0
	for _, class := range o.Classes {
		shares += class.Share
		sum += class.Share * (class.From.Std().Seconds() + class.To.Std().Seconds()) / 2
	}
	return sum / shares
}

// MeanTasks returns the mean number of tasks of one job of an owner.
func (o *Owner) MeanTasks() float64 {
	low, high := float64(max(o.Tasks.From, 1)), float64(max(o.Tasks.To, 1))
	sum, steps := 0.0, 10_000
	for i := range steps {
		sum += math.Round(low * math.Pow(high/low, (float64(i)+0.5)/float64(steps)))
	}
	return sum / float64(steps)
}

// TaskRate returns the tasks a second of a phase, without its swing.
func (s *Settings) TaskRate(owner *Owner, phase Phase) float64 {
	if phase.Rate > 0 {
		return phase.Rate
	}
	return phase.Load * Capacity(s.Group(owner.Group)) / owner.MeanWork()
}
