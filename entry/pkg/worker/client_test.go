package worker_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/worker"
	"chervilusher.dev/lib/platform"
)

// fakeWorker is a worker's HTTP server with configurable handlers for starts and status requests.
type fakeWorker struct {
	start func(out http.ResponseWriter, id string)
	query func(id string) platform.TaskStatus
}

func (f *fakeWorker) ServeHTTP(out http.ResponseWriter, request *http.Request) {
	id := request.URL.Path[strings.LastIndex(request.URL.Path, "/")+1:]
	if request.Method == http.MethodPost {
		f.start(out, id)
		return
	}
	_ = json.NewEncoder(out).Encode(f.query(id))
}

func startAt(t *testing.T, fake *fakeWorker) dispatch.Outcome {
	t.Helper()
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return worker.New(server.Client()).Start(ctx, &dispatch.Start{
		Task:    &blackboard.Task{},
		ID:      "own",
		Backend: blackboard.Backend{Address: strings.TrimPrefix(server.URL, "http://"), FencingToken: 7},
	})
}

func done(id string) platform.TaskStatus {
	return platform.TaskStatus{Task: id, State: platform.TaskDone, Value: json.RawMessage(`"own"`)}
}

func refuse(task string, status int) func(http.ResponseWriter, string) {
	return func(out http.ResponseWriter, _ string) {
		out.Header().Set(platform.HeaderTask, task)
		out.Header().Set(platform.HeaderRan, "no")
		out.WriteHeader(status)
	}
}

func TestRefusalOfAnotherTaskIsNotTaken(t *testing.T) {
	outcome := startAt(t, &fakeWorker{start: refuse("other", http.StatusServiceUnavailable), query: done})
	require.Equal(t, dispatch.VerdictDone, outcome.Verdict)
}

func TestStartErrorWithoutRanHeaderIsResolvedByStatus(t *testing.T) {
	failStart := func(out http.ResponseWriter, id string) {
		out.Header().Set(platform.HeaderTask, id)
		out.WriteHeader(http.StatusBadRequest)
	}
	require.Equal(t, dispatch.VerdictDone, startAt(t, &fakeWorker{start: failStart, query: done}).Verdict)
	absent := func(id string) platform.TaskStatus {
		return platform.TaskStatus{Task: id, State: platform.TaskAbsent}
	}
	require.Equal(t, dispatch.VerdictUnknown, startAt(t, &fakeWorker{start: failStart, query: absent}).Verdict)
}

// TestRefusalWithATextIsTaken guards against a refusal that passes for a lost answer, after which nobody can say that the task has
// not run.
func TestRefusalWithATextIsTaken(t *testing.T) {
	absent := func(id string) platform.TaskStatus { return platform.TaskStatus{Task: id, State: platform.TaskAbsent} }
	outcome := startAt(t, &fakeWorker{query: absent, start: func(out http.ResponseWriter, id string) {
		out.Header().Set(platform.HeaderTask, id)
		out.Header().Set(platform.HeaderRan, "no")
		http.Error(out, "no free core", http.StatusServiceUnavailable)
	}})
	require.Equal(t, dispatch.VerdictNotRun, outcome.Verdict)
	require.True(t, outcome.Busy)
}

func TestConflictReportsTheRejectedFencingToken(t *testing.T) {
	outcome := startAt(t, &fakeWorker{start: refuse("own", http.StatusConflict), query: done})
	require.Equal(t, dispatch.VerdictNotRun, outcome.Verdict)
	require.EqualValues(t, 7, outcome.FencingToken)
}
