package inflow

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// BenchmarkRequest serves ordinary requests of two sizes on one connection, without the gate (as before it) and behind it.
func BenchmarkRequest(b *testing.B) {
	for name, size := range map[string]int{"300": 300, "9600": 9600} {
		b.Run(name+"/without", func(b *testing.B) { benchmarkRequest(b, size, false) })
		b.Run(name+"/gate", func(b *testing.B) { benchmarkRequest(b, size, true) })
	}
}

func benchmarkRequest(b *testing.B, size int, gated bool) {
	b.Helper()
	limits := Default(256<<10, 3*time.Second)
	gate := New(limits.For(144<<20, 3075), clockwork.NewRealClock())
	server := &http.Server{ReadHeaderTimeout: 3 * time.Second, IdleTimeout: time.Minute}
	listen := func() (net.Listener, error) { return new(net.ListenConfig).Listen(b.Context(), "tcp", "127.0.0.1:0") }
	read := func(w http.ResponseWriter, r *http.Request) ([]byte, error) {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, 256<<10))
	}
	if gated {
		listen = func() (net.Listener, error) { return gate.Listen(b.Context(), "127.0.0.1:0") }
		read = func(_ http.ResponseWriter, r *http.Request) ([]byte, error) { return ReadBody(r, 256<<10) }
		server.ConnContext = WithConn
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := read(w, r)
		if err != nil || len(raw) != size {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		HandOn(r)
		_, _ = w.Write([]byte(`{"state":"completed"}`))
	})
	if gated {
		gate.Limit(server, http.HandlerFunc(Refuse))
	}
	listener, err := listen()
	require.NoError(b, err)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	conn, err := new(net.Dialer).DialContext(b.Context(), "tcp", listener.Addr().String())
	require.NoError(b, err)
	defer func() { _ = conn.Close() }()
	request := []byte(post("/stock/00000000000000aa", size, strings.Repeat(" ", size)))
	from := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		_, err := conn.Write(request)
		require.NoError(b, err)
		response, err := http.ReadResponse(from, nil)
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, response.StatusCode)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(b, err)
		require.NoError(b, response.Body.Close())
	}
}
