package lending

import (
	"cmp"
	"maps"
	"slices"
)

// usage is what the hosts hold and want of one group of a keeper.
type usage struct {
	held   int // slots, by all hosts
	wanted int // slots, by hosts that wait
}

// waiters returns the hosts with remembered demand, those that hold least against it first.
func (k *Lender) waiters() []*borrower {
	var waiting []*borrower
	for _, name := range slices.Sorted(maps.Keys(k.borrowers)) {
		if len(k.borrowers[name].waiting) > 0 {
			waiting = append(waiting, k.borrowers[name])
		}
	}
	slices.SortStableFunc(waiting, func(a, b *borrower) int {
		return cmp.Compare(a.satisfied(), b.satisfied())
	})
	return waiting
}

// satisfied is the share of its demand that a host holds.
func (b *borrower) satisfied() float64 {
	held := 0
	for _, slots := range b.held {
		held += slots
	}
	return float64(held) / float64(max(1, held+b.wanted()))
}

func (b *borrower) wanted() int {
	wanted := 0
	for _, demand := range b.waiting {
		wanted += demand.Count
	}
	return wanted
}

// recalls asks a host for the slots that it holds beyond its share, while others wait; shares go by what each holds and waits for.
func (k *Lender) recalls(from *borrower) []Recall {
	groups := map[string]*usage{}
	for _, other := range k.borrowers {
		k.count(other, groups)
	}
	own := map[string]*usage{}
	k.count(from, own)
	var recalls []Recall
	for _, group := range slices.Sorted(maps.Keys(own)) {
		mine, all := own[group], groups[group]
		if all.wanted == mine.wanted || all.held == 0 {
			continue
		}
		fair := all.held * (mine.held + mine.wanted) / (all.held + all.wanted)
		if surplus := mine.held - fair; surplus > 0 {
			recalls = append(recalls, Recall{Group: group, Slots: min(surplus, all.wanted-mine.wanted)})
		}
	}
	return recalls
}

func (k *Lender) count(of *borrower, groups map[string]*usage) {
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
		at(demand.Requirements.Group).wanted += demand.Count
	}
}
