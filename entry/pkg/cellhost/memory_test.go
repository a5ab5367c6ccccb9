package cellhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/budget"
	"chervilusher.dev/entry/pkg/cell"
)

// fullBudget returns a budget with nothing left.
func fullBudget() *budget.Budget {
	full := budget.New(smallJobBytes, smallJobBytes)
	full.TryTake(smallJobBytes)
	return full
}

func TestKeeperDeclinesWhatItCannotHold(t *testing.T) {
	c, _, _ := callsFixture(t)
	c.keeper.cell.Add(&cell.Worker{ID: "w", Group: "desk", Capacity: cell.Resources{Cores: 1000, Memory: 1}})
	c.keeper.memory = fullBudget()
	response, err := c.keeper.Run(t.Context(), remoteRequest(c, "new", 100*time.Millisecond))
	require.NoError(t, err)
	require.True(t, response.Declined, response)
	require.False(t, c.keeper.cell.HasJob("new"))
}

// TestKeeperDoesNotDeclineAJobItHasStarted guards against a refusal of a job that an earlier request has started: a caller sends
// it anew after its connection broke.
func TestKeeperDoesNotDeclineAJobItHasStarted(t *testing.T) {
	c, _, _ := callsFixture(t)
	c.keeper.cell.Add(&cell.Worker{ID: "w", Group: "desk", Capacity: cell.Resources{Cores: 1000, Memory: 1}})
	request := remoteRequest(c, "again", 100*time.Millisecond)
	job, reason := c.keeper.newJob(request)
	require.Empty(t, reason)
	_, err := c.keeper.submit(t.Context(), job, false)
	require.NoError(t, err)
	c.keeper.memory = fullBudget()
	response, err := c.keeper.Run(t.Context(), request)
	require.NoError(t, err)
	require.False(t, response.Declined)
	require.Equal(t, cell.Abandoned, response.Outcome)
}

func TestHomeRefusesWhatItCannotHold(t *testing.T) {
	c, _, home := callsFixture(t)
	release, refusal := home.Reserve("j", 10, 10)
	require.Nil(t, refusal)
	release()

	home.memory = fullBudget()
	_, refusal = home.Reserve("j", 10, 10)
	require.Equal(t, cell.Refused, refusal.Outcome)
	require.Positive(t, refusal.RetryAfter)

	submission := shortSubmission("j", time.Millisecond, c.clock.Now().Add(time.Second))
	_, added := home.addJob(submission, func(error) {})
	require.True(t, added)
	_, refusal = home.Reserve("j", 10, 10)
	require.Nil(t, refusal, "an earlier request for it is open")
	require.Equal(t, cell.Abandoned, home.Serve(t.Context(), submission).Outcome)
}

// TestMemoryOfAJobIsHeldUntilItsRunsHaveEnded guards against callers that leave at once: the runs of their jobs still have to be
// stopped.
func TestMemoryOfAJobIsHeldUntilItsRunsHaveEnded(t *testing.T) {
	k := newKeeperFixture(t)
	k.keeper.options.ResubmitDelay = DefaultResubmitDelay
	k.keeper.memory = budget.New(smallJobBytes, smallJobBytes)
	require.True(t, k.keeper.memory.TryTake(smallJobBytes))
	k.keeper.cell.Submit(k.job(), k.clock.Now())
	k.keeper.releaseMemory("j", smallJobBytes)
	k.keeper.tick()
	require.False(t, k.keeper.memory.TryTake(1))
	k.clock.Advance(DefaultResubmitDelay)
	k.keeper.tick()
	require.True(t, k.keeper.memory.TryTake(smallJobBytes), "no run can be left")

	k.keeper.releaseMemory("unknown", smallJobBytes)
	require.True(t, k.keeper.memory.TryTake(smallJobBytes))
}
