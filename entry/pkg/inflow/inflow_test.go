package inflow

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/jsontime"
)

// fixture serves a handler that answers with the length of the body, behind a gate.
type fixture struct {
	t       *testing.T
	gate    *Gate
	address string
	began   atomic.Int32
	release chan struct{} // non-nil: handlers wait for it once they have handed on
}

func newFixture(t *testing.T, change func(*Settings)) *fixture {
	t.Helper()
	limits := Default(256<<10, time.Second)
	limits.Connections, limits.Bytes = 10, 1<<20
	change(&limits)
	require.NoError(t, limits.Check())
	f := &fixture{t: t, gate: New(limits, clockwork.NewRealClock())}
	listener, err := f.gate.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	f.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(f.serve), ConnContext: WithConn}
	f.gate.Limit(server, http.HandlerFunc(Refuse))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return f
}

func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	f.began.Add(1)
	if r.URL.Path == "/unread" {
		return
	}
	raw, err := ReadBody(r, 256<<10)
	if err != nil {
		EndConnection(w)
		status := map[error]int{ErrTooLarge: http.StatusRequestEntityTooLarge, ErrSlow: http.StatusRequestTimeout, ErrCrowded: http.StatusServiceUnavailable}
		for cause, code := range status {
			if errors.Is(err, cause) {
				w.WriteHeader(code)
				return
			}
		}
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	HandOn(r, "X-Kept")
	if f.release != nil {
		select {
		case <-f.release:
		case <-r.Context().Done():
		}
	}
	_, _ = fmt.Fprintf(w, "%d %s", len(raw), r.Header.Get("X-Kept"))
}

// client is one connection.
type client struct {
	net.Conn
	t    *testing.T
	from *bufio.Reader
}

func (f *fixture) dial() *client {
	f.t.Helper()
	conn, err := new(net.Dialer).DialContext(f.t.Context(), "tcp", f.address)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &client{Conn: conn, t: f.t, from: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := c.Write([]byte(text))
	require.NoError(c.t, err)
}

// status reads an answer; 0 stands for a closed connection.
func (c *client) status() int {
	response, err := http.ReadResponse(c.from, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

func post(path string, length int, sent string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, sent)
}

func (f *fixture) requireHeld(bytes int64) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { held, _ := f.gate.Held(); return held == bytes }, 5*time.Second, time.Millisecond)
}

func TestRequestsInsideTheLimitsAreServedAndGivenBack(t *testing.T) {
	f := newFixture(t, func(*Settings) {})
	c := f.dial()
	filler := strings.Repeat("X-Filler: "+strings.Repeat("x", 80)+"\r\n", 150)
	for name, request := range map[string]string{
		"empty":        post("/", 0, ""),
		"small":        post("/", 300, strings.Repeat(" ", 300)),
		"ordinary":     post("/", 9600, strings.Repeat(" ", 9600)),
		"largest":      post("/", 256<<10, strings.Repeat(" ", 256<<10)),
		"chunked":      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\n \r\n", 256<<10) + "0\r\n\r\n",
		"longest head": strings.Replace(post("/", 1, " "), "Host", filler+"Host", 1),
	} {
		c.send(request)
		require.Equal(t, http.StatusOK, c.status(), name)
		f.requireHeld(0)
	}
}

func TestSlowBodyWithinItsRateIsServed(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.StallTime, s.Rate = jsontime.Duration(400*time.Millisecond), 1<<10 })
	c := f.dial()
	c.send(post("/", 2000, ""))
	for range 10 { // 1 s in all, twice the stall time
		time.Sleep(100 * time.Millisecond)
		c.send(strings.Repeat(" ", 200))
	}
	require.Equal(t, http.StatusOK, c.status())
}

func TestBodyThatStopsOrCrawlsIsRefused(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.StallTime, s.Rate = jsontime.Duration(300*time.Millisecond), 1<<10 })
	stopped, crawling := f.dial(), f.dial()
	stopped.send(post("/", 200<<10, strings.Repeat(" ", 100<<10)))
	require.Equal(t, http.StatusRequestTimeout, stopped.status())
	require.Zero(t, stopped.status())
	crawling.send(post("/", 2000, ""))
	go func() {
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			_, _ = crawling.Write([]byte(" "))
		}
	}()
	require.Equal(t, http.StatusRequestTimeout, crawling.status())
	f.requireHeld(0)
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	f := newFixture(t, func(*Settings) {})
	for name, request := range map[string]string{
		"stated":  post("/", 256<<10+1, " "),
		"chunked": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", 256<<10+1) + strings.Repeat(" ", 256<<10+1),
	} {
		c := f.dial()
		c.send(request)
		require.Equal(t, http.StatusRequestEntityTooLarge, c.status(), name)
		require.Zero(t, c.status(), name)
	}
	f.requireHeld(0)
}

// A reserve is left for small requests, and of the large ones the one is refused that has made no progress for longest.
func TestSlowestLargeRequestMakesRoom(t *testing.T) {
	f := newFixture(t, func(*Settings) {})
	part := strings.Repeat(" ", 200<<10)
	stuck := make([]*client, 0, 3)
	for range cap(stuck) { // 600 of 768 KiB for large ones
		c := f.dial()
		c.send(post("/", 256<<10, part))
		stuck = append(stuck, c)
		began := len(stuck)
		require.Eventually(t, func() bool {
			held, _ := f.gate.Held()
			return held >= int64(began*200<<10) && int(f.began.Load()) == began
		}, 5*time.Second, time.Millisecond)
	}
	whole := f.dial()
	whole.send(post("/", 256<<10, strings.Repeat(" ", 256<<10)))
	require.Equal(t, http.StatusOK, whole.status())
	require.Equal(t, http.StatusServiceUnavailable, stuck[0].status(), "the slowest is refused")
	for _, spared := range stuck[1:] {
		spared.send(strings.Repeat(" ", 56<<10))
		require.Equal(t, http.StatusOK, spared.status(), "the others are not")
	}
	f.requireHeld(0)
}

func TestSmallRequestsAreServedBesideLargeOnes(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.Connections = 30 })
	for range 20 { // 4 MiB for 768 KiB
		c := f.dial()
		go func() { _, _ = c.Write([]byte(post("/", 256<<10, strings.Repeat(" ", 200<<10)))) }()
	}
	require.Eventually(t, func() bool { held, _ := f.gate.Held(); return held > 400<<10 }, 5*time.Second, time.Millisecond)
	for range 20 {
		small := f.dial()
		small.send(post("/", 9600, strings.Repeat(" ", 9600)))
		require.Equal(t, http.StatusOK, small.status())
	}
	held, _ := f.gate.Held()
	require.LessOrEqual(t, held, int64(1<<20))
}

func TestConnectionsOverTheLimitTakeThePlaceOfUnusedAndSlowOnes(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.Connections = 3 })
	f.release = make(chan struct{})
	busy := f.dial()
	busy.send(post("/", 1, " "))
	require.Eventually(t, func() bool { return f.began.Load() == 1 }, 5*time.Second, time.Millisecond)
	silent, unfinished := f.dial(), f.dial()
	unfinished.send("POST / HT")
	f.requireHeld(int64(len("POST / HT")))
	for i, evicted := range []*client{silent, unfinished} {
		next := f.dial()
		require.Zero(t, evicted.status())
		next.send(post("/", 1, " "))
		busyNow := int32(i + 2)
		require.Eventually(t, func() bool { return f.began.Load() == busyNow }, 5*time.Second, time.Millisecond)
	}
	require.Zero(t, f.dial().status(), "all others are being served")
	close(f.release)
	require.Equal(t, http.StatusOK, busy.status())
}

// TestNewcomersAreRefusedWhileAsManyAsPossibleAreServed guards against newcomers that get no answer, not even a refusal.
func TestNewcomersAreRefusedWhileAsManyAsPossibleAreServed(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.Connections = 4 })
	f.release = make(chan struct{})
	served := make([]*client, 0, 3)
	for range 3 {
		c := f.dial()
		c.send(post("/", 1, " "))
		served = append(served, c)
		require.Eventually(t, func() bool { return int(f.began.Load()) == len(served) }, 5*time.Second, time.Millisecond)
	}
	f.requireHeld(0)
	for _, request := range []string{post("/", 1, " "), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		for range 3 {
			newcomer := f.dial()
			newcomer.send(request)
			require.Equal(t, http.StatusServiceUnavailable, newcomer.status())
		}
	}
	close(f.release)
	for _, c := range served {
		require.Equal(t, http.StatusOK, c.status())
	}
	again := f.dial()
	again.send(post("/", 1, " "))
	require.Equal(t, http.StatusOK, again.status())
}

func TestHeadOverTheLimitIsRefused(t *testing.T) {
	f := newFixture(t, func(*Settings) {})
	c := f.dial()
	c.send("POST / HTTP/1.1\r\nHost: h\r\nX-Filler: " + strings.Repeat("x", 21<<10))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, c.status())
	require.Zero(t, f.began.Load())
}

func TestLongHeadIsDroppedWhenItIsHandedOn(t *testing.T) {
	f := newFixture(t, func(*Settings) {})
	c := f.dial()
	c.send(strings.Replace(post("/", 1, " "), "Host", strings.Repeat("X-Filler: x\r\n", 1000)+"X-Kept: kept\r\nHost", 1))
	response, err := http.ReadResponse(c.from, nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := bufio.NewReader(response.Body).ReadString('t')
	require.NoError(t, err)
	require.Equal(t, "1 kept", text)
}

// A handler that answers without reading leaves a connection that serves on.
func TestUnreadBodyIsDiscarded(t *testing.T) {
	f := newFixture(t, func(*Settings) {})
	c := f.dial()
	c.send(post("/unread", 100<<10, strings.Repeat(" ", 50<<10)))
	time.Sleep(50 * time.Millisecond)
	c.send(strings.Repeat(" ", 50<<10))
	require.Equal(t, http.StatusOK, c.status())
	c.send(post("/", 1, " "))
	require.Equal(t, http.StatusOK, c.status())
	f.requireHeld(0)
}

// The deadline of a body's bytes must not end the request once it is read.
func TestServedRequestOutlivesTheTimesOfItsBody(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.StallTime = jsontime.Duration(200 * time.Millisecond) })
	f.release = make(chan struct{})
	c := f.dial()
	c.send(post("/", 2, " "))
	time.Sleep(50 * time.Millisecond)
	c.send(" ")
	time.Sleep(500 * time.Millisecond)
	close(f.release)
	require.Equal(t, http.StatusOK, c.status())
	left := f.dial()
	f.release = make(chan struct{})
	left.send(post("/", 1, " "))
	require.Eventually(t, func() bool { return f.began.Load() == 2 }, 5*time.Second, time.Millisecond)
	require.NoError(t, left.Close())
	require.Eventually(t, func() bool { _, open := f.gate.Held(); return open == 1 }, 5*time.Second, time.Millisecond, "a client that leaves is noticed")
}

func TestBoundsAreDerivedFromTheMachine(t *testing.T) {
	smallest := Default(256<<10, time.Second).For(144<<20, 3075)
	require.Equal(t, 768, smallest.Connections)
	require.EqualValues(t, 18<<20, smallest.Bytes)
	require.Equal(t, 200, Default(1, time.Second).For(64<<20, 600).Connections)
}

// TestConnectionsThatWaitToBeAcceptedAreBounded guards against a backlog of thousands, each with a buffer full of unread bytes.
func TestConnectionsThatWaitToBeAcceptedAreBounded(t *testing.T) {
	limits := Default(256<<10, time.Second)
	limits.Connections, limits.Bytes = 10, 1<<20
	listener, err := New(limits, clockwork.NewRealClock()).Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	waiting := 0
	for range 2 * leastBacklog {
		conn, err := (&net.Dialer{Timeout: 200 * time.Millisecond}).DialContext(t.Context(), "tcp", listener.Addr().String())
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = conn.Close() })
		waiting++
	}
	require.LessOrEqual(t, waiting, leastBacklog+1)
}
