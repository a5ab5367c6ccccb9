package lending

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shrinkBound is how long after a shrink starts may count on the slots from before, as the platform states it.
const shrinkBound = 4500 * time.Millisecond

// TestLentSlotsAreRecalledWhenABackendShrinks guards against hosts that renew the loans of slots that a back end does not
// have any more: under high load, no start may bring it over its slots. Once it has grown again they are used.
func TestLentSlotsAreRecalledWhenABackendShrinks(t *testing.T) {
	t.Parallel()
	const shrunkSlots = fleetSlots / 4
	shrinkAt, growAt := 10*time.Second, 40*time.Second
	f := newFleet(t, "loans", 6, 1, defaultOptions(), time.Second)
	began := f.now
	resize := func(slots int) {
		for _, host := range f.hosts {
			host.group.Backends["minion0"].Slots = slots
		}
	}
	f.after(shrinkAt, func() { resize(shrunkSlots) })
	f.after(growAt, func() { resize(fleetSlots) })
	over, within, after := 0, 0, 0
	f.onStart = func(endpoint string) {
		since := f.now.Sub(began)
		switch {
		case endpoint != "minion0" || since < shrinkAt+shrinkBound:
		case since < growAt && f.busy[endpoint] > shrunkSlots:
			over++
		case since < growAt:
			within++
		case f.busy[endpoint] > shrunkSlots:
			after++
		}
	}
	f.play(1.2, 0, 60*time.Second)
	require.Zero(t, over, "starts over the slots that the back end has")
	require.Positive(t, within)
	require.Positive(t, after, "room that has grown is not used")
	require.Zero(t, f.failed)
	for _, host := range f.hosts {
		require.Zero(t, host.group.Backends["minion0"].Overlent)
	}
}
