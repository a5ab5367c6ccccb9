package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestLargeAmountsLeaveAReserve(t *testing.T) {
	b := New(100, 10)
	require.True(t, b.TryTake(75))
	require.False(t, b.TryTake(11))
	require.True(t, b.TryTake(10))
	require.True(t, b.TryTake(10))
	require.False(t, b.TryTake(10))
	b.Release(75)
	require.True(t, b.TryTake(70))
}

func TestAmountBeyondTheBudgetIsGrantedAlone(t *testing.T) {
	b := New(100, 10)
	require.True(t, b.TryTake(1000))
	require.False(t, b.TryTake(1000))
	b.Release(1000)
	require.True(t, b.TryTake(1))
	require.True(t, New(0, 0).TryTake(1<<40), "no bound")
}

// TestWhatIsHeldStaysWithinTheBudget takes and gives back amounts in any order.
func TestWhatIsHeldStaysWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1000).Draw(t, "limit")
		b := New(limit, rapid.Int64Range(0, limit).Draw(t, "small"))
		var taken []int64
		sum := int64(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			if len(taken) > 0 && rapid.Bool().Draw(t, "release") {
				b.Release(taken[0])
				sum -= min(taken[0], limit)
				taken = taken[1:]
				continue
			}
			bytes := rapid.Int64Range(0, 2*limit).Draw(t, "bytes")
			if !b.TryTake(bytes) {
				require.True(t, len(taken) > 0 || bytes == 0, "refused with nothing held")
				continue
			}
			taken = append(taken, bytes)
			sum += min(bytes, limit)
			require.LessOrEqual(t, sum, limit)
		}
		for _, bytes := range taken {
			b.Release(bytes)
		}
		require.True(t, b.TryTake(limit))
	})
}
