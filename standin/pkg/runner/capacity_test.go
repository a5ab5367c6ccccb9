package runner

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// TestStartOverAShrunkCapacityIsNotedAfterTheGrace guards against a check that knows only the capacity of the start.
func TestStartOverAShrunkCapacityIsNotedAfterTheGrace(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ledger := NewLedger()
	runner := New(clock, ledger, "i-1", 16000, 1)
	runner.SetCores(8000)
	require.Contains(t, string(runner.Entry("desk", "a:1", "north", "ready")), `"cpu":8000`)
	clock.Advance(ShrinkGrace - time.Millisecond)
	start(t, runner, "a.0.0.0", 1)
	require.Empty(t, ledger.Breaches(), "nine cores of the sixteen that there were")
	callTo(t, runner, "/-/run-stop", map[string]any{"task": "a.0.0.0", "run": 1, "fencing_token": 5})
	clock.Advance(2 * time.Millisecond)
	start(t, runner, "b.0.0.0", 1)
	require.Len(t, ledger.Breaches(), 1, "nine cores of eight")
	callTo(t, runner, "/-/run-stop", map[string]any{"task": "b.0.0.0", "run": 1, "fencing_token": 5})
	runner.SetCores(16000)
	start(t, runner, "c.0.0.0", 1)
	require.Len(t, ledger.Breaches(), 1, "room that has grown counts at once")
}

// TestDeadlyWorkCrashesItsRunner guards against a crash that leaves a trace, answers calls, or lasts.
func TestDeadlyWorkCrashesItsRunner(t *testing.T) {
	ledger := NewLedger()
	runner := New(clockwork.NewRealClock(), ledger, "i-1", 16000, 1)
	var config net.ListenConfig
	under, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(runner.Handler())
	require.NoError(t, server.Listener.Close())
	server.Listener = runner.Listener(under)
	server.Start()
	defer server.Close()
	hold := func() error {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/-/hold", strings.NewReader(`{"wait_ms":2000}`))
		require.NoError(t, err)
		request.Header.Set("Chervilusher-Expected-Instance", "i-1")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	held := make(chan error, 1)
	go func() { held <- hold() }()
	born := runner.bornAt()
	spec, err := json.Marshal(Work{Length: 100 * time.Millisecond, Deadly: true})
	require.NoError(t, err)
	for _, task := range []string{"a.0.0.0", "b.0.0.0"} {
		status, _ := callTo(t, runner, "/-/run-start", map[string]any{"task": task, "run": 1, "spec": string(spec), "deadline_ms": runner.now() + 900})
		require.Equal(t, http.StatusOK, status)
	}
	require.Error(t, <-held, "the call that waited is broken off")
	require.True(t, runner.IsDown())
	require.Zero(t, ledger.Running())
	require.Equal(t, 2, ledger.Crashes())
	require.Error(t, hold())
	require.Eventually(t, func() bool { return !runner.IsDown() }, 2*downTime, time.Millisecond)
	require.NoError(t, hold())
	require.Greater(t, runner.bornAt(), born)
}

// TestStartsOfATaskThatCrashesRunnersAreCounted guards against a soak that passes however often a deadly task starts.
func TestStartsOfATaskThatCrashesRunnersAreCounted(t *testing.T) {
	ledger := NewLedger()
	for run := range crashBudget + startBudget {
		require.Empty(t, ledger.Breaches(), "run %d", run)
		ledger.begin("i-1", "a", "a.0.0.0", run, time.Now())
		ledger.crash("i-1", "a.0.0.0")
	}
	require.Len(t, ledger.Breaches(), 1)
}
