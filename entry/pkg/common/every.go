package common

import (
	"context"
	"time"
)

// Every calls do after each interval until the context ends.
func (c *Common) Every(ctx context.Context, interval time.Duration, do func()) {
	ticker := c.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			do()
		}
	}
}
