package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/callerconn"
)

// gatedListener delays the reads of its connections while it is shut, as a process without processor time does.
type gatedListener struct {
	net.Listener
	gate sync.RWMutex
}

func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: conn.(*net.TCPConn), gate: &l.gate}, nil
}

type gatedConn struct {
	*net.TCPConn
	gate *sync.RWMutex
}

func (c *gatedConn) Read(into []byte) (int, error) {
	c.gate.RLock()
	c.gate.RUnlock() //nolint:staticcheck // it only waits until the gate is open
	return c.TCPConn.Read(into)
}

// TestCallReadAfterItsConnectionWasClosedIsKnown guards against serving a call whose caller has gone on: the end of the
// stream's context comes only after its handler has begun.
func TestCallReadAfterItsConnectionWasClosedIsKnown(t *testing.T) {
	server := NewServer()
	closed := make(chan bool, 1)
	Handle(server, "call", func(ctx context.Context, _ *QueuesRequest) (*QueuesResponse, error) {
		closed <- callerconn.IsClosed(ctx)
		return &QueuesResponse{}, nil
	})
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &gatedListener{Listener: inner}
	go func() { _ = server.Serve(t.Context(), listener) }()
	for _, late := range []bool{false, true, false, true} {
		client, timeout := NewClient(nil), 5*time.Second
		if late {
			listener.gate.Lock()
			timeout = 50 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		_, err := Call[QueuesRequest, QueuesResponse](ctx, client, inner.Addr().String(), "call", &QueuesRequest{})
		cancel()
		require.Equal(t, late, err != nil)
		require.NoError(t, client.Close())
		if late {
			time.Sleep(20 * time.Millisecond) // loopback delivers the end
			listener.gate.Unlock()
		}
		require.Equal(t, late, <-closed)
	}
}
