package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

// submitPayload submits a job of one task with a payload of that many bytes.
func (d *driver) submitPayload(bytes int) (*blackboard.Job, dispatch.Effects, *dispatch.Refusal) {
	job := &blackboard.Job{ID: "job", Account: "hokkaido", Accepted: d.now, Deadline: d.now.Add(time.Minute), Remaining: 1, Done: make(chan struct{})}
	job.Tasks = []*blackboard.Task{{
		Job: job, Kind: "k", Payload: make([]byte, bytes),
		Target: &blackboard.Target{Group: groupName, Role: platform.RoleMinion, Timeout: time.Minute},
	}}
	effects, refusal := d.engine.Submit(job, d.now)
	return job, effects, refusal
}

// newBounded returns a driver with one slot and a bound on the memory of jobs.
func newBounded(memory int64) *driver {
	d := newDriver(1, fleet{endpoints: 1, slots: 1}, policies{admission: "none", memory: memory})
	d.addAccount("hokkaido", 1)
	return d
}

func TestJobsBeyondTheMemoryAreRefused(t *testing.T) {
	const memory = 1 << 20
	d := newBounded(memory)
	first, effects, refusal := d.submitPayload(memory / 2)
	require.Nil(t, refusal)
	require.Len(t, effects.Starts, 1)
	_, effects, refusal = d.submitPayload(memory / 2)
	require.Equal(t, api.CodeUnavailable, refusal.Code)
	require.Positive(t, refusal.RetryAfter)
	require.Empty(t, effects.Starts, "a refused job has not run")
	_, _, refusal = d.submitPayload(100)
	require.Nil(t, refusal, "the reserve is for small jobs")

	d.engine.Cancel(first, d.now)
	_, _, refusal = d.submitPayload(memory / 2)
	require.NotNil(t, refusal, "a cancelled job holds its payload until its run has ended")
	d.engine.Finish(first.Tasks[0], 1, dispatch.Outcome{Verdict: dispatch.VerdictDone}, d.now)
	require.Nil(t, first.Tasks[0].Payload)
	_, _, refusal = d.submitPayload(memory / 2)
	require.Nil(t, refusal)
}

// TestMemoryIsGivenBackHoweverATaskEnds ends jobs in each way and then submits one that takes all of the memory.
func TestMemoryIsGivenBackHoweverATaskEnds(t *testing.T) {
	const memory = 4 << 20
	for name, end := range map[string]func(d *driver, job *blackboard.Job){
		"done": func(d *driver, job *blackboard.Job) {
			d.engine.Finish(job.Tasks[0], 1, dispatch.Outcome{Verdict: dispatch.VerdictDone}, d.now)
		},
		"failed": func(d *driver, job *blackboard.Job) {
			d.engine.Finish(job.Tasks[0], 1, dispatch.Outcome{Verdict: dispatch.VerdictFailed}, d.now)
		},
		"cancelled": func(d *driver, job *blackboard.Job) {
			d.engine.Cancel(job, d.now)
			d.engine.Finish(job.Tasks[0], 1, dispatch.Outcome{Verdict: dispatch.VerdictUnknown}, d.now)
		},
		"not run, past its deadline": func(d *driver, job *blackboard.Job) {
			d.engine.Finish(job.Tasks[0], 1, dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Busy: true}, job.Deadline)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newBounded(memory)
			running, _, refusal := d.submitPayload(memory / 4)
			require.Nil(t, refusal)
			waiting, _, refusal := d.submitPayload(memory / 4)
			require.Nil(t, refusal)
			d.engine.Cancel(waiting, d.now)
			end(d, running)
			_, _, refusal = d.submitPayload(memory)
			require.Nil(t, refusal)
		})
	}
}
