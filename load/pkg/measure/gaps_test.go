package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/standin/pkg/task"
)

func TestGapsOfTheFastest(t *testing.T) {
	figures := func(fast, slow int64) []BackendFigures {
		return []BackendFigures{
			{Name: "fast", Speed: 2, Counters: task.Counters{Starts: fast}},
			{Name: "slow", Speed: 1, Counters: task.Counters{Starts: slow}},
		}
	}
	gaps := NewGaps(0, figures(0, 0))
	for second, starts := range []int64{1, 2, 2, 2, 3, 4} {
		gaps.Note(time.Duration(second+1)*time.Second, figures(starts, 0))
	}
	longest, name := gaps.Longest()
	require.Equal(t, 3*time.Second, longest)
	require.Equal(t, "fast", name)
}
