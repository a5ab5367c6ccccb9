package integration

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBreachesOfADaemonThatStopsMeanwhile has a daemon that answers one more request and is gone.
func TestBreachesOfADaemonThatStopsMeanwhile(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	answersOnce := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_ = listener.Close()
	})
	served := make(chan error, 1)
	go func() { served <- http.Serve(listener, answersOnce) }() //nolint:gosec // one request of the test's own
	leaving := &entry{t: t, name: "leaving", operator: listener.Addr().String()}

	leaving.requireNoBreach()
	require.ErrorIs(t, <-served, net.ErrClosed)
	leaving.requireNoBreach()
}
