package app

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"chervilusher.dev/entry/pkg/settings"
)

func TestDaemonStopsWithoutLeaks(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	loaded := settings.Default()
	loaded.Name = "host"
	loaded.FailureDomain = "place"
	loaded.Caller.Listen = "127.0.0.1:0"
	loaded.Operator.Listen = "127.0.0.1:0"
	loaded.Peer.Listen = "127.0.0.1:0"
	loaded.Platform.Log = "http://127.0.0.1:1"
	loaded.Platform.Hosts = "http://127.0.0.1:1"
	loaded.Ticket.Key = "a key for the tests alone"
	require.NoError(t, loaded.Check())
	daemon, err := Listen(loaded, io.Discard)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx) }()
	time.Sleep(200 * time.Millisecond)
	cancel()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(30 * time.Second):
		require.Fail(t, "the daemon does not stop")
	}
}
