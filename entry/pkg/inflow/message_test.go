package inflow

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// link is both ends of a connection that carries messages; what comes in is read at once.
type link struct {
	client, server net.Conn
	ended          chan error // gets the error that ended the reading
}

// newLinks returns that many connections behind a gate for messages.
func newLinks(t *testing.T, gate *Gate, count int) []*link {
	t.Helper()
	listener, err := gate.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	links := make([]*link, count)
	for i := range links {
		client, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
		require.NoError(t, err)
		server, err := listener.Accept()
		require.NoError(t, err)
		one := &link{client: client, server: server, ended: make(chan error, 1)}
		t.Cleanup(func() { _, _ = client.Close(), server.Close() })
		go func() {
			_, err := io.Copy(io.Discard, struct{ io.Reader }{server})
			_ = server.Close()
			one.ended <- err
		}()
		links[i] = one
	}
	return links
}

// send sends that many bytes and waits until the gate holds so many in all.
func (l *link) send(t *testing.T, gate *Gate, bytes int, held int64) {
	t.Helper()
	_, err := l.client.Write([]byte(strings.Repeat("\n", bytes)))
	require.NoError(t, err)
	require.Eventually(t, func() bool { now, _ := gate.Held(); return now == held }, 5*time.Second, time.Millisecond)
}

func newMessageGate(bytes int64) *Gate {
	limits := (&Peers{Connections: 10, Bytes: bytes}).For(0, 0)
	return NewForMessages(limits, clockwork.NewRealClock())
}

func TestSlowestLargeMessageIsGivenUp(t *testing.T) {
	const part = 64 << 10
	gate := newMessageGate(4 * part)
	links := newLinks(t, gate, 3)
	links[0].send(t, gate, part, part)
	links[1].send(t, gate, 2*part, 3*part)
	links[2].send(t, gate, 10, 3*part+10) // the reserve is for small ones
	links[2].send(t, gate, part-10, 3*part)
	require.ErrorIs(t, <-links[0].ended, ErrCrowded)
	BeginCall(links[2].server)
	links[1].send(t, gate, 1, 2*part+1)
}

func TestBytesOfAMessageAreGivenBackOnceItIsDecoded(t *testing.T) {
	const part = 64 << 10
	gate := newMessageGate(4 * part)
	links := newLinks(t, gate, 2)
	links[0].send(t, gate, 3*part, 3*part)
	BeginCall(links[0].server)
	links[0].send(t, gate, part, part) // the next message comes while the call is served
	links[1].send(t, gate, 3*part, 3*part)
	require.ErrorIs(t, <-links[0].ended, ErrCrowded, "the next message counts as well")
	BeginCall(links[1].server)
	EndCall(links[1].server)
	links[1].send(t, gate, 1, 1)
}
