package placement

import (
	"github.com/tidwall/btree"

	"chervilusher.dev/entry/pkg/blackboard"
)

// partition holds the entries of one shape that have free slots, the one with the lowest key first.
type partition struct {
	sample blackboard.Backend // as large and in the same place as all of them
	free   *btree.BTreeG[*entry]
	byFree []*btree.BTreeG[*entry] // by number of free slots; only for workers
}

// degree is the order of the trees.
const degree = 16

func newTree() *btree.BTreeG[*entry] {
	return btree.NewBTreeGOptions(lessEntry, btree.Options{NoLocks: true, Degree: degree})
}

func newPartition(key blackboard.Shape, wide bool) *partition {
	made := &partition{
		sample: blackboard.Backend{
			FailureDomain: key.FailureDomain,
			Role:          key.Role,
			Slots:         key.Slots,
			Cores:         key.Cores,
			Memory:        key.Memory,
			Accelerators:  key.Accelerators,
		},
		free: newTree(),
	}
	if wide {
		made.byFree = make([]*btree.BTreeG[*entry], key.Slots+1)
	}
	return made
}

func lessEntry(one, other *entry) bool {
	if one.key != other.key {
		return one.key < other.key
	}
	return one.backend.Name < other.backend.Name
}

func (p *partition) add(added *entry) {
	p.free.Set(added)
	if p.byFree == nil {
		return
	}
	free := min(added.free, len(p.byFree)-1)
	if p.byFree[free] == nil {
		p.byFree[free] = newTree()
	}
	p.byFree[free].Set(added)
}

func (p *partition) remove(gone *entry) {
	p.free.Delete(gone)
	if p.byFree != nil {
		p.byFree[min(gone.free, len(p.byFree)-1)].Delete(gone)
	}
}

// allows reports whether the task may run in the partition's place now.
func (p *partition) allows(group *blackboard.Group, task *blackboard.Task) bool {
	if p.free.Len() == 0 || !task.Target.Allows(&p.sample) {
		return false
	}
	if p.width(task) > p.sample.Slots {
		return false
	}
	return !task.Long || group.AdmitsLong(p.sample.FailureDomain)
}

func (p *partition) width(task *blackboard.Task) int {
	return p.sample.Width(task.Need)
}

// maxSkipped bounds how many entries one look-up passes over because they are of no use now.
const maxSkipped = 64

// first returns the entry with the lowest key among those with that many free slots that are usable, or nil.
func (p *partition) first(width int, usable func(candidate *entry) bool) *entry {
	if width <= 1 {
		return firstOf(p.free, usable)
	}
	var best *entry
	for free := width; free < len(p.byFree); free++ {
		if p.byFree[free] == nil {
			continue
		}
		found := firstOf(p.byFree[free], usable)
		if found != nil && (best == nil || lessEntry(found, best)) {
			best = found
		}
	}
	return best
}

func firstOf(tree *btree.BTreeG[*entry], usable func(candidate *entry) bool) *entry {
	var found *entry
	skipped := 0
	tree.Scan(func(candidate *entry) bool {
		if usable(candidate) {
			found = candidate
			return false
		}
		skipped++
		return skipped < maxSkipped
	})
	return found
}
