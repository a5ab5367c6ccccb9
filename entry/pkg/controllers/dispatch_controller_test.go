package controllers

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/platform"
)

// forgetfulWorker shows a task as running and then starts anew, so that it knows nothing of it.
type forgetfulWorker struct {
	queries int
}

func (f *forgetfulWorker) Start(context.Context, *dispatch.Start) dispatch.Outcome {
	return dispatch.Outcome{Verdict: dispatch.VerdictUnknown}
}

func (f *forgetfulWorker) Query(_ context.Context, stop *dispatch.Stop) (*platform.TaskStatus, error) {
	f.queries++
	if f.queries == 1 {
		return &platform.TaskStatus{Task: stop.ID, State: platform.TaskRunning}, nil
	}
	return &platform.TaskStatus{Task: stop.ID, State: platform.TaskAbsent}, nil
}

func (f *forgetfulWorker) Stop(_ context.Context, stop *dispatch.Stop) (*platform.TaskStatus, error) {
	return &platform.TaskStatus{Task: stop.ID, State: platform.TaskAbsent}, nil
}

// TestTaskThatWasSeenRunningIsNotTakenForNotRun guards against starting a task again, and answering that it has not run, because
// its worker has forgotten it since.
func TestTaskThatWasSeenRunningIsNotTakenForNotRun(t *testing.T) {
	worker := &forgetfulWorker{}
	c := &common.Common{Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, Clock: clockwork.NewRealClock()}
	controller := &DispatchController{common: c, workers: worker, endpoints: worker}
	outcome := controller.resolve(t.Context(), &dispatch.Start{ID: "start"}, dispatch.Outcome{Verdict: dispatch.VerdictUnknown})
	require.NotEqual(t, dispatch.VerdictNotRun, outcome.Verdict)
}
