package blackboard

import (
	"chervilusher.dev/lib/platform"
)

// Shape is a back end's failure domain and resources; back ends of equal shape can run the same tasks.
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
