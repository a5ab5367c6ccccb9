package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// Server serves HTTP over TCP until it is closed, in steps that leave no request without an answer: Drain, CloseIdle,
// StopListening, and Close once nothing is pending.
type Server struct {
	http     *http.Server
	clock    clockwork.Clock
	draining atomic.Bool
	closed   chan struct{}
	end      sync.Once // closes closed

	mu          sync.Mutex
	listener    *acceptor
	stopped     bool
	connections map[*connection]struct{}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// New returns a server for the settings and the handler of an http.Server, whose ConnState it sets.
func New(server *http.Server, clock clockwork.Clock) *Server {
	s := &Server{http: server, clock: clock, closed: make(chan struct{}), connections: map[*connection]struct{}{}}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if of, ok := r.Context().Value(connectionKey{}).(*connection); ok {
			of.becomeActive()
		}
		handler.ServeHTTP(&response{ResponseWriter: w, draining: &s.draining}, r)
	})
	connContext := server.ConnContext
	server.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, raw)
		}
		return context.WithValue(ctx, connectionKey{}, raw)
	}
	server.ConnState = func(raw net.Conn, state http.ConnState) {
		if of, ok := raw.(*connection); ok && state == http.StateIdle {
			of.becomeIdle(clock.Now())
		}
	}
	return s
}

// Serve serves on a TCP listener until the server is closed.
func (s *Server) Serve(listener net.Listener) error {
	accepting := &acceptor{Listener: listener, server: s, closeOnce: sync.OnceValue(listener.Close)}
	s.mu.Lock()
	s.listener = accepting
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		_ = accepting.Close()
	}
	err := s.http.Serve(accepting)
	s.mu.Lock()
	stopped = s.stopped
	s.mu.Unlock()
	if stopped && errors.Is(err, net.ErrClosed) {
		<-s.closed
		return nil
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithStack(err)
}

// Drain has each answer from now on ask the client not to use its connection again.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// StopListening accepts no more connections.
func (s *Server) StopListening() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.listener == nil {
		return nil
	}
	return errors.WithStack(s.listener.Close())
}

// CloseIdle closes the connections on which nothing was read for that long.
func (s *Server) CloseIdle(unused time.Duration) {
	before := s.clock.Now().Add(-unused)
	for _, each := range s.all() {
		each.closeIdle(before)
	}
}

// Pending returns the number of connections with a request that was read, at least in part, and isn't answered, and of those
// that CloseIdle is closing.
func (s *Server) Pending() int {
	pending := 0
	for _, each := range s.all() {
		if each.isPending() {
			pending++
		}
	}
	return pending
}

// Close closes what is still open.
func (s *Server) Close() error {
	defer s.end.Do(func() { close(s.closed) })
	return errors.WithStack(s.http.Close())
}

func (s *Server) all() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make([]*connection, 0, len(s.connections))
	for each := range s.connections {
		found = append(found, each)
	}
	return found
}

func (s *Server) add(raw transport) *connection {
	added := &connection{transport: raw, server: s, idle: true, idleFrom: s.clock.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[added] = struct{}{}
	return added
}

func (s *Server) remove(of *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, of)
}

// acceptor is a listener whose connections the server knows.
type acceptor struct {
	net.Listener
	server    *Server
	closeOnce func() error
}

// Close implements net.Listener. Both StopListening and the http.Server close the listener.
func (a *acceptor) Close() error {
	return errors.WithStack(a.closeOnce())
}

// Accept implements net.Listener.
func (a *acceptor) Accept() (net.Conn, error) {
	accepted, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	raw, ok := accepted.(transport)
	if !ok {
		return accepted, nil
	}
	return a.server.add(raw), nil
}

// response adds Connection: close to answers that begin while the server is draining.
type response struct {
	http.ResponseWriter
	draining *atomic.Bool
	began    bool
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if !r.began && r.draining.Load() {
		r.Header().Set("Connection", "close")
	}
	r.began = r.began || status >= http.StatusOK
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *response) Write(body []byte) (int, error) {
	if !r.began {
		r.WriteHeader(http.StatusOK)
	}
	return r.ResponseWriter.Write(body)
}

// Unwrap gives http.ResponseController the response beneath.
func (r *response) Unwrap() http.ResponseWriter {
	return r.ResponseWriter
}
