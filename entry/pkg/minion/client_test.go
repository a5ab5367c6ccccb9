package minion

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/platform"
)

func newBoundedClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections}}
}

func newStart(address, id string, connections int) *dispatch.Start {
	return &dispatch.Start{
		Task:    &blackboard.Task{Kind: "stock", Target: &blackboard.Target{}},
		ID:      id,
		Backend: blackboard.Backend{Name: "m", Address: address, Connections: connections},
		Payload: json.RawMessage(`{}`),
	}
}

// TestStartStaysWithinTheConnectionLimit guards against a fault under load: a start dialled a new connection while the
// last one was being returned to the idle pool, exceeded the endpoint's limit and was cut off with an unknown outcome.
func TestStartStaysWithinTheConnectionLimit(t *testing.T) {
	const limit = 4
	var open, peak atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		w.Header().Set(platform.HeaderTask, r.Header.Get(platform.HeaderTask))
		_, _ = w.Write([]byte(`{}`))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			now := open.Add(1)
			for seen := peak.Load(); now > seen && !peak.CompareAndSwap(seen, now); seen = peak.Load() {
			}
		case http.StateClosed:
			open.Add(-1)
		case http.StateActive, http.StateIdle, http.StateHijacked:
		}
	}
	server.Start()
	defer server.Close()

	client := New(newBoundedClient)
	var running sync.WaitGroup
	for range limit {
		running.Go(func() {
			for range 200 {
				outcome := client.Start(context.Background(), newStart(server.Listener.Addr().String(), "a", limit))
				require.Equal(t, dispatch.VerdictDone, outcome.Verdict, outcome.Error)
			}
		})
	}
	running.Wait()
	require.LessOrEqual(t, peak.Load(), int64(limit))
}

func TestStartTellsWhetherItRan(t *testing.T) {
	tests := map[string]struct {
		handler http.HandlerFunc
		verdict dispatch.Verdict
		busy    bool
		payload bool
	}{
		"done": {
			handler: respondWith(http.StatusOK, `{"echo":1}`, ""),
			verdict: dispatch.VerdictDone,
		},
		"no free slot": {
			handler: respondWith(http.StatusServiceUnavailable, ``, "no"),
			verdict: dispatch.VerdictNotRun,
			busy:    true,
		},
		"refused payload": {
			handler: respondWith(http.StatusBadRequest, ``, "no"),
			verdict: dispatch.VerdictNotRun,
			payload: true,
		},
		"withdrawn": {
			handler: respondWith(http.StatusGone, ``, "no"),
			verdict: dispatch.VerdictNotRun,
		},
		"refused payload that may have run": {
			handler: respondWith(http.StatusBadRequest, ``, ""),
			verdict: dispatch.VerdictFailed,
		},
		"failed": {
			handler: respondWith(http.StatusInternalServerError, ``, ""),
			verdict: dispatch.VerdictFailed,
		},
		"not JSON": {
			handler: respondWith(http.StatusOK, `nonsense`, ""),
			verdict: dispatch.VerdictFailed,
		},
		"answer of another task": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(platform.HeaderTask, "another")
				_, _ = w.Write([]byte(`{}`))
			},
			verdict: dispatch.VerdictUnknown,
		},
		"connection aborted": {
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			verdict: dispatch.VerdictUnknown,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			outcome := New(newBoundedClient).Start(context.Background(), newStart(server.Listener.Addr().String(), "a", 1))
			require.Equal(t, test.verdict, outcome.Verdict, outcome.Error)
			require.Equal(t, test.busy, outcome.Busy)
			require.Equal(t, test.payload, outcome.BadPayload)
		})
	}
}

func TestStartThatCannotConnectDidNotRun(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	outcome := New(newBoundedClient).Start(context.Background(), newStart(address, "a", 1))
	require.Equal(t, dispatch.VerdictNotRun, outcome.Verdict)
}

func respondWith(status int, body, ran string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.HeaderTask, r.Header.Get(platform.HeaderTask))
		if ran != "" {
			w.Header().Set(platform.HeaderRan, ran)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}
