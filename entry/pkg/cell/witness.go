package cell

import (
	"slices"
	"time"
)

// Sender identifies the process of a keeper.
type Sender struct {
	Host        string
	Incarnation string
}

const (
	// maxWitnessed bounds the starts of one sender on record; the keeper of 48 workers sends fewer between two of its heartbeats.
	maxWitnessed = 4096
	// reportWindow is the time of which all unsettled starts have to fit into a heartbeat; a host without one for longer is
	// suspected.
	reportWindow = time.Second
)

// Notices describes starts for the witnesses that are notified before these are sent; each may be carried out within the delay.
func Notices(starts []Start, delay time.Duration) []LateStart {
	notices := make([]LateStart, 0, len(starts))
	for i := range starts {
		key := keyOf(starts[i].Run)
		notices = append(notices, LateStart{Task: key.task, Worker: key.worker, Number: key.number, Sent: key.sent, Known: delay})
	}
	return notices
}

// WitnessStarts records starts that another keeper sends, in case that it fails before it has reported which are unsettled.
func (c *Cell) WitnessStarts(sender Sender, notices []LateStart, now time.Time) {
	starts := c.unsettled.witnessed[sender]
	for i := range notices {
		if key, valid := notices[i].key(); valid {
			starts = append(starts, &unsettledStart{unsettledKey: key, until: now.Add(min(notices[i].Known, c.limits.CallDelay))})
		}
	}
	c.unsettled.setWitnessed(sender, starts[max(0, len(starts)-maxWitnessed):])
}

// HandleStartsReported drops the witnessed starts up to the given time on the sender's clock, of which it has reported those that
// are unsettled.
func (c *Cell) HandleStartsReported(sender Sender, until int64) {
	starts := c.unsettled.witnessed[sender]
	c.unsettled.setWitnessed(sender, slices.DeleteFunc(starts, func(start *unsettledStart) bool { return start.sent <= until }))
}

// HandleKeeperFailure records the witnessed starts of a failed host as unsettled, except those of the given incarnation unless
// it is empty, and returns their number.
func (c *Cell) HandleKeeperFailure(host, exceptIncarnation string, now time.Time) (Effects, int) {
	var starts []*unsettledStart
	for sender, witnessed := range c.unsettled.witnessed {
		if sender.Host == host && (exceptIncarnation == "" || sender.Incarnation != exceptIncarnation) {
			starts = append(starts, witnessed...)
			delete(c.unsettled.witnessed, sender)
		}
	}
	starts = slices.DeleteFunc(starts, func(start *unsettledStart) bool { return c.unsettled.byKey[start.unsettledKey] != nil })
	effects := c.MergeLateStarts(c.reports(starts, now), now)
	for _, start := range starts {
		if merged := c.unsettled.byKey[start.unsettledKey]; merged != nil {
			c.unsettled.announce(merged, now)
		}
	}
	return effects, len(starts)
}

// StartsReportedUntil returns the time, in nanoseconds on this host's clock, up to which the recent late starts name all unsettled
// starts of this keeper.
func (c *Cell) StartsReportedUntil() int64 {
	return c.unsettled.reportedUntil
}

// setWitnessed replaces the witnessed starts of a sender.
func (u *unsettledStarts) setWitnessed(sender Sender, starts []*unsettledStart) {
	if len(starts) == 0 {
		delete(u.witnessed, sender)
		return
	}
	u.witnessed[sender] = starts
}

// advanceReported follows a check of all starts for their answers. While more have changed than fit into a heartbeat, a host may
// miss some of them.
func (u *unsettledStarts) advanceReported(now time.Time) {
	if recent := len(u.news) - maxCrashNews; recent <= 0 || now.Sub(u.news[recent-1].changedAt) > reportWindow {
		u.reportedUntil = now.Add(-answerDelay).UnixNano() - 1
	}
}
