package blackboard

import (
	"chervilusher.dev/lib/platform"
)

// Shape is the place and the size of a back end; back ends of one shape have room for the same work.
type Shape struct {
	FailureDomain string
	Role          platform.Role
	Slots         int
	Cores         float64
	Memory        int64 // bytes
	Accelerators  int
}

// Shape returns the back end's shape.
func (b *Backend) Shape() Shape {
	return Shape{
		FailureDomain: b.FailureDomain,
		Role:          b.Role,
		Slots:         b.Slots,
		Cores:         b.Cores,
		Memory:        b.Memory,
		Accelerators:  b.Accelerators,
	}
}
