package client_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/client"
	"chervilusher.dev/lib/jsontime"
)

// dyingEntry issues tickets, and dies at the request of that number after it has given the answers before it.
func dyingEntry(t *testing.T, dieAt int64, answer api.Answer) *httptest.Server {
	t.Helper()
	var count atomic.Int64
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path == "/v1/tickets" {
			_ = json.NewEncoder(writer).Encode(api.Ticket{Ticket: "t", Left: jsontime.Duration(time.Minute)})
			return
		}
		if count.Add(1) < dieAt {
			writer.WriteHeader(answer.Status())
			_ = json.NewEncoder(writer).Encode(answer)
			return
		}
		// The listener closes first, so that a repeated request finds no host.
		_ = server.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return server
}

func TestWorkOfAHostThatDiesMayHaveRun(t *testing.T) {
	cases := []struct {
		name  string
		dieAt int64 // 1 is the submission, 2 the question after it
	}{
		{"before the first answer", 1},
		{"after the job was accepted", 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := dyingEntry(t, test.dieAt, running)
			// The ticket was asked for over the same connection, which net/http would otherwise repeat a request for.
			caller, err := client.New(client.Options{Entries: []string{server.URL}, Token: "secret", Attempts: 2},
				&http.Client{Transport: &http.Transport{}}, clockwork.NewRealClock())
			require.NoError(t, err)
			_, err = caller.Run(t.Context(), job())
			require.Error(t, err)
			require.Equal(t, api.RanUnknown, client.Ran(err))
		})
	}
}
