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

// TestStartKeepsToItsConnections covers a fault seen under load: a fresh start dialled while the last connection was on its way back to the idle ones, passed the minion's limit, and was cut off with an unknown outcome.
func TestStartKeepsToItsConnections(t *testing.T) {
	const bound = 4
	var open, most atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		w.Header().Set(platform.HeaderTask, r.Header.Get(platform.HeaderTask))
		_, _ = w.Write([]byte(`{}`))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			now := open.Add(1)
			for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
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
	for range bound {
		running.Go(func() {
			for range 200 {
				outcome := client.Start(context.Background(), newStart(server.Listener.Addr().String(), "a", bound))
				require.Equal(t, dispatch.VerdictDone, outcome.Verdict, outcome.Error)
			}
		})
	}
	running.Wait()
	require.LessOrEqual(t, most.Load(), int64(bound))
}

func TestStartTellsWhetherItRan(t *testing.T) {
	tests := map[string]struct {
		handler http.HandlerFunc
		verdict dispatch.Verdict
		busy    bool
	}{
		"done": {
			handler: echoing(http.StatusOK, `{"echo":1}`, ""),
			verdict: dispatch.VerdictDone,
		},
		"no room": {
			handler: echoing(http.StatusServiceUnavailable, ``, "no"),
			verdict: dispatch.VerdictNotRun,
			busy:    true,
		},
		"failed": {
			handler: echoing(http.StatusInternalServerError, ``, ""),
			verdict: dispatch.VerdictFailed,
		},
		"not JSON": {
			handler: echoing(http.StatusOK, `nonsense`, ""),
			verdict: dispatch.VerdictFailed,
		},
		"crossed": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(platform.HeaderTask, "another")
				_, _ = w.Write([]byte(`{}`))
			},
			verdict: dispatch.VerdictUnknown,
		},
		"cut off": {
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

func echoing(status int, body, ran string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.HeaderTask, r.Header.Get(platform.HeaderTask))
		if ran != "" {
			w.Header().Set(platform.HeaderRan, ran)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}
