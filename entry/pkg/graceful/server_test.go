package graceful

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// fixture is a server whose requests to /wait end when the test lets them.
type fixture struct {
	*Server
	address string
	arrived chan struct{}
	release chan struct{}
	ended   chan error
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fixture{address: listener.Addr().String(), arrived: make(chan struct{}, 10), release: make(chan struct{}), ended: make(chan error, 1)}
	routes := http.NewServeMux()
	routes.HandleFunc("/now", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "now") })
	routes.HandleFunc("/wait", func(w http.ResponseWriter, r *http.Request) {
		f.arrived <- struct{}{}
		select {
		case <-f.release:
			_, _ = io.WriteString(w, "waited")
		case <-r.Context().Done():
		}
	})
	f.Server = New(&http.Server{Handler: routes, ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute}, clockwork.NewRealClock())
	go func() { f.ended <- f.Serve(listener) }()
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// caller is a client's connection.
type caller struct {
	net.Conn
	t      *testing.T
	answer *bufio.Reader
}

func (f *fixture) dial(t *testing.T) *caller {
	t.Helper()
	var dialer net.Dialer
	connection, err := dialer.DialContext(t.Context(), "tcp", f.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(5*time.Second)))
	return &caller{Conn: connection, t: t, answer: bufio.NewReader(connection)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// receive returns the answer's body and whether the server asked to close the connection.
func (c *caller) receive() (body string, closes bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.answer, nil)
	require.NoError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return string(raw), response.Close
}

func (c *caller) requireClosed() {
	c.t.Helper()
	_, err := c.answer.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

func get(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
}

func (f *fixture) requirePending(t *testing.T, count int) {
	t.Helper()
	require.Eventually(t, func() bool { return f.Pending() == count }, time.Second, time.Millisecond)
}

func TestDrainAsksClientsToCloseAlsoWhereARequestIsBeingServed(t *testing.T) {
	f := newFixture(t)
	waiting, idle := f.dial(t), f.dial(t)
	idle.send(get("/now"))
	_, closes := idle.receive()
	require.False(t, closes)
	waiting.send(get("/wait"))
	<-f.arrived
	f.Drain()
	close(f.release)
	body, closes := waiting.receive()
	require.Equal(t, "waited", body)
	require.True(t, closes)
	waiting.requireClosed()
	idle.send(get("/now"))
	_, closes = idle.receive()
	require.True(t, closes)
	idle.requireClosed()
	f.requirePending(t, 0)
}

func TestCloseIdleSparesConnectionsInUse(t *testing.T) {
	f := newFixture(t)
	fresh, used, half, waiting := f.dial(t), f.dial(t), f.dial(t), f.dial(t)
	used.send(get("/now"))
	used.receive()
	f.requirePending(t, 0) // the answer arrives before its connection is idle
	half.send("GET /now HTT")
	waiting.send(get("/wait"))
	<-f.arrived
	f.requirePending(t, 2)
	require.Eventually(t, func() bool { return len(f.all()) == 4 }, time.Second, time.Millisecond)
	f.CloseIdle(time.Minute)
	require.Len(t, f.all(), 4, "none is idle for so long")
	f.CloseIdle(0)
	fresh.requireClosed()
	used.requireClosed()
	half.send("P/1.1\r\nHost: x\r\n\r\n")
	body, _ := half.receive()
	require.Equal(t, "now", body)
	close(f.release)
	body, _ = waiting.receive()
	require.Equal(t, "waited", body)
	f.requirePending(t, 0)
}

// TestNoRequestIsServedAndCutOffWhileIdleConnectionsAreClosed guards against closing a connection whose next request has just
// been read.
func TestNoRequestIsServedAndCutOffWhileIdleConnectionsAreClosed(t *testing.T) {
	f := newFixture(t)
	for range 300 {
		each := f.dial(t)
		each.send(get("/now"))
		each.receive()
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			f.CloseIdle(0)
		}()
		if _, err := io.WriteString(each, get("/wait")); err != nil {
			<-closed
			continue
		}
		ended := make(chan error, 1)
		go func() {
			response, err := http.ReadResponse(each.answer, nil)
			if err == nil {
				err = response.Body.Close()
			}
			ended <- err
		}()
		select {
		case <-f.arrived:
			f.release <- struct{}{}
			require.NoError(t, <-ended, "a request was cut off while it was served")
		case <-ended:
		}
		<-closed // it must not close the next connection
	}
}

func TestServeEndsOnceTheServerIsClosed(t *testing.T) {
	f := newFixture(t)
	waiting := f.dial(t)
	waiting.send(get("/wait"))
	<-f.arrived
	require.NoError(t, f.StopListening())
	var dialer net.Dialer
	_, err := dialer.DialContext(t.Context(), "tcp", f.address)
	require.Error(t, err)
	close(f.release)
	body, _ := waiting.receive()
	require.Equal(t, "waited", body)
	select {
	case err := <-f.ended:
		require.Fail(t, "ended before it was closed", err)
	default:
	}
	require.NoError(t, f.Close())
	require.NoError(t, <-f.ended)
}

// lateListener is a listener whose Accept returns its error only once the test lets it.
type lateListener struct {
	net.Listener
	accepting chan struct{} // closed when Accept is called
	failed    chan struct{} // closed when Accept has failed
	release   chan struct{}
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	close(l.accepting)
	accepted, err := l.Listener.Accept()
	if err != nil {
		close(l.failed)
		<-l.release
	}
	return accepted, err //nolint:wrapcheck // as the listener's own
}

// TestCloseSucceedsBeforeServeHasSeenTheListenerClosed guards against reporting a planned stop as failed because the listener
// is already closed.
func TestCloseSucceedsBeforeServeHasSeenTheListenerClosed(t *testing.T) {
	var config net.ListenConfig
	raw, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &lateListener{Listener: raw, accepting: make(chan struct{}), failed: make(chan struct{}), release: make(chan struct{})}
	server := New(&http.Server{ReadHeaderTimeout: time.Second}, clockwork.NewRealClock())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	<-listener.accepting
	require.NoError(t, server.StopListening())
	<-listener.failed
	closed := make(chan error, 1)
	go func() { closed <- server.Close() }()
	time.Sleep(50 * time.Millisecond) // Close waits for Serve
	close(listener.release)
	require.NoError(t, <-closed)
	require.NoError(t, <-ended)
}

// TestPipelinedRequestIsNotTakenForAnIdleConnection guards against cutting off a request that was read together with the one
// before it.
func TestPipelinedRequestIsNotTakenForAnIdleConnection(t *testing.T) {
	f := newFixture(t)
	pipelining := f.dial(t)
	pipelining.send(get("/now") + get("/wait"))
	pipelining.receive()
	<-f.arrived
	require.Equal(t, 1, f.Pending())
	f.Drain()
	f.CloseIdle(0)
	time.Sleep(50 * time.Millisecond) // a read that ends cancels the request's context
	close(f.release)
	body, closes := pipelining.receive()
	require.Equal(t, "waited", body)
	require.True(t, closes)
	f.requirePending(t, 0)
}

// TestNothingIsReadOnceNothingIsPending guards against closing the server while the next request of an idle connection is being
// read.
func TestNothingIsReadOnceNothingIsPending(t *testing.T) {
	for range 1000 {
		f := newFixture(t)
		each := f.dial(t)
		each.send(get("/now"))
		each.receive()
		f.requirePending(t, 0)
		f.Drain()
		go func() { _, _ = io.WriteString(each, get("/wait")) }()
		f.CloseIdle(0)
		if f.Pending() == 0 {
			select {
			case <-f.arrived:
				require.Fail(t, "a request was read once nothing was pending")
			case <-time.After(time.Millisecond):
			}
		}
		require.NoError(t, f.Close())
		close(f.release)
		_ = each.Close()
	}
}

// TestCloseIdleSparesRequestsThatWaitToBeRead guards against closing a connection whose request came while the process got no
// processor time: its reader would run only after the closing.
func TestCloseIdleSparesRequestsThatWaitToBeRead(t *testing.T) {
	f := newFixture(t)
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	f.address = listener.Addr().String()
	client := f.dial(t)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	unread := f.add(accepted.(*net.TCPConn))
	defer func() { _ = unread.Close() }()
	client.send(get("/now"))
	time.Sleep(50 * time.Millisecond) // loopback delivers the bytes
	f.CloseIdle(0)
	require.Equal(t, 1, f.Pending())
	count, err := unread.Read(make([]byte, 100))
	require.NoError(t, err)
	require.Equal(t, len(get("/now")), count)
}
