package share

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newShort returns the ledger of ten busy cores for which a calm queue and a bursting one offer more core-seconds a second.
func newShort(t *testing.T, bursting float64) (ledger *Ledger, now time.Time) {
	t.Helper()
	ledger, now = New(), time.Unix(1000, 0)
	const tick, calm = 10 * time.Millisecond, 3.0
	for range 150 {
		now = now.Add(tick)
		ledger.Offer("calm", 1, calm*tick.Seconds(), now)
		ledger.Offer("bursting", 0, bursting*tick.Seconds(), now)
		ledger.Refuse((calm+bursting-10)*tick.Seconds(), now)
		ledger.Advance(10, now)
	}
	return ledger, now
}

func TestQueueThatBurstsPaysForTheShortage(t *testing.T) {
	ledger, now := newShort(t, 20)
	require.True(t, ledger.IsShort())
	ledger.Charge("calm", 100)
	require.Equal(t, Whole, ledger.Rank("calm", now))
	require.Equal(t, Within, ledger.Rank("bursting", now))
	ledger.Charge("bursting", 5)
	require.Equal(t, Beyond, ledger.Rank("bursting", now))
	ledger.Charge("bursting", -5)
	require.Equal(t, Within, ledger.Rank("bursting", now), "the job was refused")
}

func TestDebtOfALargeJobIsBounded(t *testing.T) {
	ledger, now := newShort(t, 20)
	ledger.Charge("bursting", 1e9)
	require.Equal(t, Beyond, ledger.Rank("bursting", now))
	require.Equal(t, Within, ledger.Rank("bursting", now.Add(debtWindow)))
}

func TestNoRanksWithoutAShortage(t *testing.T) {
	ledger, now := newShort(t, 7.5)
	require.False(t, ledger.IsShort())
	ledger.Charge("bursting", 1e9)
	require.Equal(t, Whole, ledger.Rank("bursting", now))
	require.Equal(t, Whole, ledger.Rank("unknown", now))
}

func TestIdleQueuesAreForgotten(t *testing.T) {
	ledger, now := newShort(t, 20)
	for range 600 {
		now = now.Add(10 * time.Millisecond)
		ledger.Offer("other", 0, 1, now)
		ledger.Refuse(1, now)
		ledger.Advance(10, now)
	}
	require.Len(t, ledger.queues, 1)
}

func TestShortageEndsWhenNothingIsOffered(t *testing.T) {
	ledger, now := newShort(t, 20)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		ledger.Advance(0, now)
	}
	require.False(t, ledger.IsShort())
}
