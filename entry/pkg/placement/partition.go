package placement

import (
	"github.com/tidwall/btree"

	"chervilusher.dev/entry/pkg/blackboard"
)

// partition holds the entries of one shape with free slots, ordered by key.
type partition struct {
	sample blackboard.Backend // has the size and the failure domain of all of them
	free   *btree.BTreeG[*entry]
	byFree []*btree.BTreeG[*entry] // by number of free slots; only for workers
}

// treeDegree is the degree of the B-trees.
const treeDegree = 16

func newTree() *btree.BTreeG[*entry] {
	return btree.NewBTreeGOptions(lessEntry, btree.Options{NoLocks: true, Degree: treeDegree})
}

func newPartition(key blackboard.Shape, wide bool) *partition {
	created := &partition{
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
		created.byFree = make([]*btree.BTreeG[*entry], key.Slots+1)
	}
	return created
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

func (p *partition) remove(removed *entry) {
	p.free.Delete(removed)
	if p.byFree != nil {
		p.byFree[min(removed.free, len(p.byFree)-1)].Delete(removed)
	}
}

// allows reports whether the task may run on back ends of this shape now.
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

// maxSkipped bounds how many unusable entries one look-up skips.
const maxSkipped = 64

// firstUsable returns the usable entry with the lowest key among those with at least width free slots, or nil.
func (p *partition) firstUsable(width int, usable func(candidate *entry) bool) *entry {
	if width <= 1 {
		return firstUsableOf(p.free, usable)
	}
	var best *entry
	for free := width; free < len(p.byFree); free++ {
		if p.byFree[free] == nil {
			continue
		}
		found := firstUsableOf(p.byFree[free], usable)
		if found != nil && (best == nil || lessEntry(found, best)) {
			best = found
		}
	}
	return best
}

func firstUsableOf(tree *btree.BTreeG[*entry], usable func(candidate *entry) bool) *entry {
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
