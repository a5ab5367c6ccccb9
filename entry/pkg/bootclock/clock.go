package bootclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock tells the time of CLOCK_BOOTTIME; its timers are those of the embedded clock and stand still while the machine is suspended.
type Clock struct {
	clockwork.Clock
	base time.Time // the time of day at boot, as seen at the start of the process
}

// New returns a clock whose times are near the time of day, but never step with it.
func New() *Clock {
	now := time.Now().Round(0)
	return &Clock{Clock: clockwork.NewRealClock(), base: now.Add(-sinceBoot())}
}

// Now implements clockwork.Clock.
func (c *Clock) Now() time.Time {
	return c.base.Add(sinceBoot())
}

// Since implements clockwork.Clock.
func (c *Clock) Since(at time.Time) time.Duration {
	return c.Now().Sub(at)
}

// Until implements clockwork.Clock.
func (c *Clock) Until(at time.Time) time.Duration {
	return at.Sub(c.Now())
}

func sinceBoot() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		panic("the system has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(spec.Nano())
}
