package lending

import (
	"cmp"
	"maps"
	"slices"
)

// usage is the number of a lender's slots in one group that hosts hold and wait for.
type usage struct {
	held    int // slots held
	waiting int // tasks that wait for slots
}

// waiters returns the hosts with registered demand, the smallest satisfied share first.
func (k *Lender) waiters() []*borrowerState {
	var waiting []*borrowerState
	for _, name := range slices.Sorted(maps.Keys(k.borrowers)) {
		if len(k.borrowers[name].waiting) > 0 {
			waiting = append(waiting, k.borrowers[name])
		}
	}
	slices.SortStableFunc(waiting, func(a, b *borrowerState) int {
		return cmp.Compare(a.satisfiedShare(), b.satisfiedShare())
	})
	return waiting
}

// satisfiedShare returns the share of its demand for which the host holds slots.
func (b *borrowerState) satisfiedShare() float64 {
	held := 0
	for _, slots := range b.held {
		held += slots
	}
	return float64(held) / float64(max(1, held+b.waitingTasks()))
}

func (b *borrowerState) waitingTasks() int {
	wanted := 0
	for _, demand := range b.waiting {
		wanted += demand.Count
	}
	return wanted
}

// recalls returns the slots that a host holds beyond its fair share while others wait.
// Shares are proportional to what each host holds and waits for.
func (k *Lender) recalls(from *borrowerState) []Recall {
	groups := map[string]*usage{}
	for _, other := range k.borrowers {
		k.addUsage(other, groups)
	}
	own := map[string]*usage{}
	k.addUsage(from, own)
	var recalls []Recall
	for _, group := range slices.Sorted(maps.Keys(own)) {
		mine, all := own[group], groups[group]
		if all.waiting == mine.waiting || all.held == 0 {
			continue
		}
		fair := all.held * (mine.held + mine.waiting) / (all.held + all.waiting)
		if surplus := mine.held - fair; surplus > 0 {
			recalls = append(recalls, Recall{Group: group, Slots: min(surplus, all.waiting-mine.waiting)})
		}
	}
	return recalls
}

// shrinkRecalls returns the slots that a host holds of back ends of which more is lent than they have. Each holder is asked
// for all that is too much, because others may use all that they hold.
func (k *Lender) shrinkRecalls(from *borrowerState) (recalls []Recall) {
	for _, name := range slices.Sorted(maps.Keys(from.held)) {
		entry, ok := k.backends[name]
		if !ok || entry.lent <= entry.backend.Slots {
			continue
		}
		recalls = append(recalls, Recall{Group: entry.backend.Group, Backend: name, Slots: min(from.held[name], entry.lent-entry.backend.Slots)})
	}
	return recalls
}

func (k *Lender) addUsage(of *borrowerState, groups map[string]*usage) {
	at := func(group string) *usage {
		if groups[group] == nil {
			groups[group] = &usage{}
		}
		return groups[group]
	}
	for name, slots := range of.held {
		if entry, ok := k.backends[name]; ok {
			at(entry.backend.Group).held += slots
		}
	}
	for _, demand := range of.waiting {
		at(demand.Requirements.Group).waiting += demand.Count
	}
}
