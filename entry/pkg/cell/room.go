package cell

// Resources is an amount of each resource, of a worker or of one task.
type Resources struct {
	Cores        int64 `json:"c"` // thousandths of a core
	Memory       int64 `json:"m"` // MiB
	Accelerators int64 `json:"a,omitempty"`
}

// Fits reports whether the need fits into the room.
func (r Resources) Fits(need Resources) bool {
	return need.Cores <= r.Cores && need.Memory <= r.Memory && need.Accelerators <= r.Accelerators
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

// Times returns how many tasks of that need fit beside each other.
func (r Resources) Times(need Resources) int {
	count := quotient(r.Cores, need.Cores)
	count = min(count, quotient(r.Memory, need.Memory))
	return int(max(0, min(count, quotient(r.Accelerators, need.Accelerators))))
}

// unbounded stands for a resource that the task does not need.
const unbounded = 1 << 20

func quotient(have, need int64) int64 {
	if need <= 0 {
		return unbounded
	}
	return have / need
}
