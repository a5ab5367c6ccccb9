package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

const work = `{"length":3600000000000,"cores":9000}` // an hour

// call sends one call to the runner and returns the answer.
func callTo(t *testing.T, to *Runner, path string, body map[string]any) (status int, answer map[string]any) {
	t.Helper()
	raw, err := json.Marshal(body)
	require.NoError(t, err)
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, bytes.NewReader(raw))
	request.Header.Set("Chervilusher-Expected-Instance", to.ID)
	recorder := httptest.NewRecorder()
	to.Handler().ServeHTTP(recorder, request)
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &answer))
	return recorder.Code, answer
}

func start(t *testing.T, at *Runner, task string, run int) (status int, reason string) {
	t.Helper()
	status, answer := callTo(t, at, "/-/run-start", map[string]any{"task": task, "run": run, "spec": work, "deadline_ms": at.now() + 500, "fencing_token": 5})
	return status, fmt.Sprint(answer["reason"])
}

func TestWhatIsBrokenIsNoted(t *testing.T) {
	clock := clockwork.NewRealClock()
	ledger := NewLedger()
	first, second := New(clock, ledger, "i-1", 16000, 1), New(clock, ledger, "i-2", 16000, 2)
	status, _ := start(t, first, "a.0.0.0", 1)
	require.Equal(t, http.StatusOK, status)
	require.Empty(t, ledger.Breaches())
	start(t, first, "b.0.0.0", 1)
	require.Len(t, ledger.Breaches(), 1, "two tasks of nine cores on sixteen")
	start(t, second, "a.0.0.0", 2)
	require.Len(t, ledger.Breaches(), 2, "a task that runs at two runners")
	require.Equal(t, 2, ledger.Starts("a"))
}

func TestRunsEndWithTheirLease(t *testing.T) {
	ledger := NewLedger()
	runner := New(clockwork.NewRealClock(), ledger, "i-1", 16000, 1)
	start(t, runner, "a.0.0.0", 1)
	require.Equal(t, 1, ledger.Running())
	require.Eventually(t, func() bool { return ledger.Running() == 0 }, 2*time.Second, 5*time.Millisecond)
	status, reason := start(t, runner, "a.0.0.0", 1)
	require.Equal(t, http.StatusConflict, status)
	require.Equal(t, "old", reason)
}

func TestLowerTokensAndLateStartsDoNothing(t *testing.T) {
	runner := New(clockwork.NewRealClock(), NewLedger(), "i-1", 16000, 1)
	status, _ := callTo(t, runner, "/-/hold", map[string]any{"fencing_token": 6})
	require.Equal(t, http.StatusOK, status)
	status, reason := start(t, runner, "a.0.0.0", 1)
	require.Equal(t, http.StatusConflict, status)
	require.Equal(t, "fence", reason)
	status, answer := callTo(t, runner, "/-/run-start", map[string]any{"task": "a.0.0.0", "run": 1, "spec": work, "deadline_ms": -1, "fencing_token": 6})
	require.Equal(t, http.StatusConflict, status)
	require.Equal(t, "late", answer["reason"])
}

func TestCrashForgetsAll(t *testing.T) {
	ledger := NewLedger()
	runner := New(clockwork.NewRealClock(), ledger, "i-1", 16000, 1)
	start(t, runner, "a.0.0.0", 1)
	runner.Crash()
	require.Zero(t, ledger.Running())
	status, _ := start(t, runner, "a.0.0.0", 1)
	require.Equal(t, http.StatusOK, status)
}

// TestLateStartIsCarriedOutInTheNextLife checks what a runner does that was away, and that one which was not drops the start, as
// nobody can have seen its crash.
func TestLateStartIsCarriedOutInTheNextLife(t *testing.T) {
	for _, crash := range []struct {
		crash   func(*Runner)
		running int
	}{
		{func(r *Runner) { r.CrashFor(time.Second) }, 1},
		{func(r *Runner) { r.CrashFor(time.Hour) }, 0},
		{func(r *Runner) { r.Crash() }, 0},
	} {
		clock, ledger := clockwork.NewFakeClock(), NewLedger()
		runner := New(clock, ledger, "i-1", 16000, 1)
		clock.Advance(time.Second) // so that the lease lies ahead on the next life's clock
		runner.Faults.Set(Faults{Mute: 1, Delay: 2100 * time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		read := []byte(`{"task":"a.0.0.0","run":1,"spec":"{\"length\":1000000000,\"cores\":1}","deadline_ms":1900,"fencing_token":5}`)
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/-/run-start", bytes.NewReader(read))
		request.Header.Set("Chervilusher-Expected-Instance", "i-1")
		answered := make(chan struct{})
		go func() {
			runner.Handler().ServeHTTP(httptest.NewRecorder(), request)
			close(answered)
		}()
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		cancel()
		<-answered
		crash.crash(runner)
		clock.Advance(1100 * time.Millisecond)
		require.Eventually(t, func() bool { return !runner.IsDown() || crash.running == 0 }, time.Second, time.Millisecond)
		clock.Advance(time.Second)
		require.Eventually(t, func() bool { return ledger.Running() == crash.running }, time.Second, time.Millisecond)
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, crash.running, ledger.Running())
	}
}
