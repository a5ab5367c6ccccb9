package callerconn

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (caller *net.TCPConn, host net.Conn) {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	host, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = dialed.Close(); _ = host.Close() })
	return dialed.(*net.TCPConn), host
}

// A request that was received before the reset of its connection can be read after it.
func TestResetIsSeenThoughTheRequestCanBeRead(t *testing.T) {
	caller, host := connect(t)
	ctx := WithConn(t.Context(), host)
	_, err := caller.Write([]byte("request"))
	require.NoError(t, err)
	require.False(t, IsClosed(ctx))
	time.Sleep(50 * time.Millisecond) // loopback delivers the bytes
	require.NoError(t, caller.SetLinger(0))
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return IsClosed(ctx) }, time.Second, time.Millisecond)
	read, err := io.ReadAll(io.LimitReader(host, int64(len("request"))))
	require.NoError(t, err)
	require.Equal(t, "request", string(read))
	require.True(t, IsClosed(ctx))
}

func TestCloseIsSeen(t *testing.T) {
	caller, host := connect(t)
	ctx := WithConn(t.Context(), host)
	require.False(t, IsClosed(ctx))
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return IsClosed(ctx) }, time.Second, time.Millisecond)
}

func TestConnectionClosedByTheHostIsClosed(t *testing.T) {
	_, host := connect(t)
	require.NoError(t, host.Close())
	require.True(t, IsClosed(WithConn(t.Context(), host)))
}

func TestContextWithoutConnectionIsOpenUntilItEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	require.False(t, IsClosed(ctx))
	cancel()
	require.True(t, IsClosed(ctx))
}
