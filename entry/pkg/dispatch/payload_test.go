package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/api"
)

// TestRefusedPayloadIsFinal guards against a task that is sent to one back end after another, each of which has to refuse it.
func TestRefusedPayloadIsFinal(t *testing.T) {
	d := newBounded(0)
	job, effects, refusal := d.submitPayload(100)
	require.Nil(t, refusal)
	require.Len(t, effects.Starts, 1)
	effects, stale := d.engine.Finish(job.Tasks[0], 1, dispatch.Outcome{Verdict: dispatch.VerdictNotRun, BadPayload: true, Error: "status 400"}, d.now)
	require.False(t, stale)
	require.Empty(t, effects.Starts)
	require.Equal(t, api.CodeBadPayload, job.Answer.Code)
	require.Equal(t, api.StateFailed, job.Answer.State)
	require.Equal(t, api.RanNo, job.Answer.Ran)
	require.Equal(t, blackboard.TaskDropped, job.Tasks[0].State)
	for _, backend := range d.group().Backends {
		require.Zero(t, backend.FailureRate)
		require.False(t, backend.Ejected)
	}
}
