package cellhost

import "time"

// clockOffset estimates how far this host's clock is ahead of another's from the heartbeats of one of its incarnations. Each
// gives the offset plus its delay, so the least one of the last minutes is the closest.
type clockOffset struct {
	estimate   time.Duration
	estimateAt time.Time
	least      time.Duration // in the current window
	leastAt    time.Time     // start of the current window
	earlier    time.Duration // least in the window before
}

// offsetWindow is how long the least offset counts at least. A host that reads each heartbeat late for that long turns
// jobs away.
const offsetWindow = 2 * time.Minute

// observe takes in the offset that a heartbeat shows. Once no prompt heartbeat is left in the windows, the estimate rises
// no faster than clocks drift.
func (c *clockOffset) observe(offset time.Duration, now time.Time) {
	switch {
	case c.leastAt.IsZero():
		*c = clockOffset{estimate: offset, least: offset, leastAt: now, earlier: offset}
	case now.Sub(c.leastAt) >= offsetWindow:
		c.earlier, c.least, c.leastAt = c.least, offset, now
	default:
		c.least = min(c.least, offset)
	}
	drift := time.Duration(maxClockDrift * float64(now.Sub(c.estimateAt)))
	c.estimate = min(c.least, c.earlier, c.estimate+drift)
	c.estimateAt = now
}
