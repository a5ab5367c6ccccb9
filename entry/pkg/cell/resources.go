package cell

import (
	"fmt"

	"github.com/pkg/errors"
)

// maxCapacity bounds a worker's amount of each resource: a thousand million cores, or an exbibyte of memory. The sum over
// a million workers, and the slots of the smallest tasks there, stay far below the largest integer.
const maxCapacity = 1 << 40

// Resources is an amount of each resource, of a worker or of one task.
type Resources struct {
	Cores        int64 `json:"c"` // thousandths of a core
	Memory       int64 `json:"m"` // MiB
	Accelerators int64 `json:"a,omitempty"`
}

// Fits reports whether the demand fits into the resources.
func (r Resources) Fits(demand Resources) bool {
	return demand.Cores <= r.Cores && demand.Memory <= r.Memory && demand.Accelerators <= r.Accelerators
}

// Plus returns the sum.
func (r Resources) Plus(other Resources) Resources {
	return Resources{
		Cores:        r.Cores + other.Cores,
		Memory:       r.Memory + other.Memory,
		Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Minus returns the difference.
func (r Resources) Minus(other Resources) Resources {
	return Resources{
		Cores:        r.Cores - other.Cores,
		Memory:       r.Memory - other.Memory,
		Accelerators: r.Accelerators - other.Accelerators,
	}
}

// CheckCapacity returns an error unless the amounts are a possible capacity of one worker.
func (r Resources) CheckCapacity() error {
	for _, amount := range []int64{r.Cores, r.Memory, r.Accelerators} {
		if amount < 0 || amount > maxCapacity {
			return errors.Errorf("capacity %s is not possible", r)
		}
	}
	return nil
}

// IsOverdrawn reports whether more of a resource is in use than there is, as after a shrink of the capacity.
func (r Resources) IsOverdrawn() bool {
	return !r.Fits(Resources{})
}

// String returns the resources as logs show them.
func (r Resources) String() string {
	return fmt.Sprintf("cores %d memory %d accelerators %d", r.Cores, r.Memory, r.Accelerators)
}

// Slots returns how many tasks of that demand fit at the same time.
func (r Resources) Slots(demand Resources) int {
	count := quotient(r.Cores, demand.Cores)
	count = min(count, quotient(r.Memory, demand.Memory))
	return int(max(0, min(count, quotient(r.Accelerators, demand.Accelerators))))
}

// unbounded is the number of slots for a resource that the task does not use.
const unbounded = 1 << 20

func quotient(have, demand int64) int64 {
	switch {
	case have < 0:
		return 0
	case demand <= 0:
		return unbounded
	}
	return have / demand
}
