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
	home.memory = fullBudget()
	submission := shortSubmission("j", time.Millisecond, c.clock.Now().Add(time.Second))
	answer := home.Serve(t.Context(), submission)
	require.Equal(t, cell.Refused, answer.Outcome)
	require.Positive(t, answer.RetryAfter)
	require.Zero(t, home.OpenJobs())

	_, added := home.addJob(submission, func(error) {})
	require.True(t, added)
	require.Equal(t, cell.Abandoned, home.Serve(t.Context(), submission).Outcome, "an earlier request for it is open")
}
