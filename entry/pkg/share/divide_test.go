package share

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A queue bursts alone; the others offer what they do in calm.
func TestBurstOfOneQueueLeavesTheOthersAllThatTheyOffer(t *testing.T) {
	rates := Divide(100, []Demand{{"seats", 0, 14}, {"prints", 1, 136}, {"checks", 2, 20}})
	require.InDelta(t, 14, rates["seats"], 1e-9)
	require.InDelta(t, 20, rates["checks"], 1e-9)
	require.InDelta(t, 66, rates["prints"], 1e-9)
	rates = Divide(100, []Demand{{"seats", 0, 90}, {"prints", 1, 34}, {"checks", 2, 20}})
	require.InDelta(t, 34, rates["prints"], 1e-9, "a burst of the most urgent queue")
	require.InDelta(t, 20, rates["checks"], 1e-9)
}

func TestBurstOfAllServesTheMostUrgentBestAndNoQueueBelowItsFloor(t *testing.T) {
	rates := Divide(100, []Demand{{"seats", 0, 50}, {"prints", 1, 122}, {"checks", 2, 68}})
	require.Greater(t, rates["seats"], 0.9*50)
	require.InDelta(t, rates["checks"]/68, 0.8*1.5/2.4/2.4, 1e-9)
	require.Greater(t, rates["prints"]/122, rates["checks"]/68)
}

func TestDivisionKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		count := rapid.IntRange(0, 6).Draw(t, "queues")
		demands := make([]Demand, 0, count)
		offered := 0.0
		for i := range count {
			demand := Demand{strconv.Itoa(i), rapid.IntRange(-1, 3).Draw(t, "priority"), rapid.Float64Range(0, 1000).Draw(t, "rate")}
			demands = append(demands, demand)
			offered += demand.Rate
		}
		rates := Divide(capacity, demands)
		sum := 0.0
		for _, demand := range demands {
			rate := rates[demand.Queue]
			sum += rate
			require.LessOrEqual(t, rate, demand.Rate+1e-6)
		}
		require.InDelta(t, min(capacity, offered), sum, 1e-6, "the capacity is used as far as there is work for it")
	})
}
