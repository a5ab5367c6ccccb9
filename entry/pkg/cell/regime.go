package cell

import (
	"slices"
	"strings"
	"time"

	"chervilusher.dev/entry/pkg/share"
)

// ShortageChange tells that a shortage of a group's workers has begun or ended.
type ShortageChange struct {
	Group string
	share.Change
}

// groupShares is how a group's queues share its workers.
type groupShares struct {
	ledger   *share.Ledger
	idle     idleSlots
	patience map[string]*average // by queue: the slowness from which on a worker is too slow for its objective
}

// IsShort reports whether the group has had too little room for what is offered for so long that it is no short crest.
func (c *Cell) IsShort(group string, _ time.Time) bool {
	shares, ok := c.shares[group]
	return ok && shares.ledger.IsShort()
}

// ShortageChanges returns the changes that were not returned yet, by group.
func (c *Cell) ShortageChanges() []ShortageChange {
	var changes []ShortageChange
	for group, shares := range c.shares {
		if change, changed := shares.ledger.Change(); changed {
			changes = append(changes, ShortageChange{Group: group, Change: change})
		}
	}
	slices.SortFunc(changes, func(a, b ShortageChange) int { return strings.Compare(a.Group, b.Group) })
	return changes
}

// groupShares returns the shares of the group, or nil if queues have none.
func (c *Cell) groupShares(group string) *groupShares {
	if !c.limits.Shares {
		return nil
	}
	found, ok := c.shares[group]
	if !ok {
		found = &groupShares{ledger: share.New(), patience: map[string]*average{}}
		c.shares[group] = found
	}
	return found
}

// advanceShares renews the shares and the regime of each group.
func (c *Cell) advanceShares(now time.Time) {
	if len(c.shares) == 0 {
		return
	}
	defer func() { c.sharesAt = now }()
	busy := map[string]float64{}
	for _, worker := range c.ordered {
		busy[worker.Group] += cores(worker.used)
	}
	for group, shares := range c.shares {
		shares.ledger.Advance(busy[group], now)
		if shares.ledger.IsShort() {
			c.holdReturns(group, now)
			shares.idle.observe(c.freeSlotsInTime(group, shares, now), now)
		} else {
			shares.idle = idleSlots{}
		}
	}
}
