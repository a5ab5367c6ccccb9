package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/api"
)

// evacuate closes or opens all workers.
func (d *driver) evacuate(evacuated bool) {
	for _, backend := range d.group().Backends {
		backend.Evacuated = evacuated
	}
	d.engine.Sync()
}

func TestEvacuatedBackEndsGetNothingNew(t *testing.T) {
	t.Parallel()
	d := newWorkers(2)
	running := d.submitWide(16)
	d.runUntil(10 * time.Millisecond)
	d.evacuate(true)
	d.submitWide(1)
	require.Len(t, d.refused, 1, "what cannot run is refused at once")
	d.runUntil(2 * time.Second)
	require.Equal(t, blackboard.TaskEnded, running.Tasks[0].State, "what runs ends by itself")
	d.evacuate(false)
	back := d.submitWide(16)
	d.runUntil(4 * time.Second)
	require.Equal(t, blackboard.TaskEnded, back.Tasks[0].State)
}

func TestJobsThatWaitForEvacuatedBackEndsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	d := newWorkers(1)
	running := d.submitWide(16)
	waiting := d.submitWide(16)
	require.Nil(t, waiting.Answer)
	d.evacuate(true)
	d.apply(d.engine.DropEvacuated())
	require.Nil(t, running.Answer)
	require.NotNil(t, waiting.Answer)
	require.Equal(t, api.StateRefused, waiting.Answer.State)
	require.Equal(t, api.RanNo, waiting.Answer.Ran)
	require.Positive(t, waiting.Answer.RetryAfter)
}

func TestJobsWaitOnWhileAnotherFailureDomainIsLeft(t *testing.T) {
	t.Parallel()
	d := newWorkers(2)
	for range 2 {
		d.submitWide(16)
	}
	waiting := d.submitWide(16)
	for _, backend := range d.group().Backends {
		backend.Evacuated = true
		break
	}
	d.engine.Sync()
	d.apply(d.engine.DropEvacuated())
	require.Nil(t, waiting.Answer)
	d.runUntil(3 * time.Second)
	require.Equal(t, blackboard.TaskEnded, waiting.Tasks[0].State)
}
