package keeper

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
)

const backends = 5500

func members(sizes ...int) *blackboard.MemberTable {
	table := &blackboard.MemberTable{ByName: map[string]blackboard.Member{}}
	for i, size := range sizes {
		name := fmt.Sprint("host", i)
		table.ByName[name] = blackboard.Member{Name: name, FailureDomain: "north", Size: size, Alive: true}
	}
	return table
}

func assign(table *blackboard.MemberTable) map[string]string {
	assigned := map[string]string{}
	for i := range backends {
		name := fmt.Sprint("minion", i)
		assigned[name] = Of(name, "north", table)
	}
	return assigned
}

// TestFewAssignmentsMove checks that when one of n hosts changes, at most 1.5/n of the assignments move.
func TestFewAssignmentsMove(t *testing.T) {
	for _, count := range []int{3, 6, 24} {
		sizes := make([]int, count)
		for i := range sizes {
			sizes[i] = 1
		}
		table := members(sizes...)
		before := assign(table)
		for name, member := range table.ByName {
			member.Alive = false
			table.ByName[name] = member
			moved := 0
			for backend, keeper := range assign(table) {
				if keeper != before[backend] {
					require.Equal(t, name, before[backend], "only the failed host's back ends may move")
					moved++
				}
			}
			share := float64(moved) / backends
			require.LessOrEqual(t, share, 1.5/float64(count))
			member.Alive = true
			table.ByName[name] = member
		}
	}
}

func TestAssignmentsFollowSize(t *testing.T) {
	counts := map[string]int{}
	for _, keeper := range assign(members(1, 2, 3)) {
		counts[keeper]++
	}
	require.InDelta(t, 2, float64(counts["host1"])/float64(counts["host0"]), 0.3)
	require.InDelta(t, 3, float64(counts["host2"])/float64(counts["host0"]), 0.4)
}

func TestOnlyLiveHostsOfTheFailureDomainAreAssigned(t *testing.T) {
	table := members(1, 1)
	member := table.ByName["host0"]
	member.Leaving = true
	table.ByName["host0"] = member
	require.Equal(t, "host1", Of("minion", "north", table))
	require.Empty(t, Of("minion", "south", table))
}
