package inflow

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// refused counts requests and connections by what was too much.
var refused = struct{ bytes, slow, slowHead, head, large, connections, served *metrics.Counter }{
	bytes:       metrics.NewCounter(`chervilusher_inflow_refused_total{cause="bytes"}`),
	slow:        metrics.NewCounter(`chervilusher_inflow_refused_total{cause="slow_body"}`),
	slowHead:    metrics.NewCounter(`chervilusher_inflow_refused_total{cause="slow_head"}`),
	head:        metrics.NewCounter(`chervilusher_inflow_refused_total{cause="head"}`),
	large:       metrics.NewCounter(`chervilusher_inflow_refused_total{cause="body"}`),
	connections: metrics.NewCounter(`chervilusher_inflow_refused_total{cause="connections"}`),
	served:      metrics.NewCounter(`chervilusher_inflow_refused_total{cause="served"}`),
}

// Gate bounds what the clients of one address hold.
type Gate struct {
	budget   *budget
	clock    clockwork.Clock
	messages bool // its connections carry messages and no HTTP
}

// New returns a gate with bounds none of which is 0. The clock must be the one that deadlines of connections go by.
func New(limits Settings, clock clockwork.Clock) *Gate {
	return &Gate{budget: newBudget(limits), clock: clock}
}

// NewForMessages returns a gate for connections that carry messages, which their reader tells it of by BeginCall and EndCall.
func NewForMessages(limits Settings, clock clockwork.Clock) *Gate {
	return &Gate{budget: newBudget(limits), clock: clock, messages: true}
}

// Held returns the bytes that were received and not handed on, and the number of connections.
func (g *Gate) Held() (bytes int64, connections int) {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	return g.budget.held, len(g.budget.connections)
}

// Listen opens a TCP address whose connections the gate counts.
func (g *Gate) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Connections inherit it. One that the system refuses is not needed for serving.
		_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
		return nil
	}}
	opened, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	limitBacklog(opened, g.budget.limits.backlog())
	return &listener{Listener: opened, gate: g}, nil
}

// limitBacklog bounds the connections that wait to be accepted, each of which may hold a receive buffer full of bytes. The system's
// own bound stays in force if it does not change it.
func limitBacklog(opened net.Listener, most int) {
	raw, err := opened.(*net.TCPListener).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), most) })
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		raw, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		added := &conn{TCPConn: raw, budget: l.gate.budget, clock: l.gate.clock, messages: l.gate.messages}
		victim := l.gate.budget.admit(added)
		if victim != nil {
			_ = victim.TCPConn.Close()
		}
		if victim != added {
			return added, nil
		}
	}
}

// contextKey is the key of a request's connection in its context.
type contextKey struct{}

// WithConn returns a context that carries the connection of its requests, as http.Server.ConnContext has it.
func WithConn(ctx context.Context, raw net.Conn) context.Context {
	if counted := countedOf(raw); counted != nil {
		return context.WithValue(ctx, contextKey{}, counted)
	}
	return ctx
}

// countedOf returns the counted connection beneath others, or nil.
func countedOf(raw net.Conn) *conn {
	for raw != nil {
		if counted, ok := raw.(*conn); ok {
			return counted
		}
		outer, ok := raw.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		raw = outer.NetConn()
	}
	return nil
}

func connOf(r *http.Request) *conn {
	counted, _ := r.Context().Value(contextKey{}).(*conn)
	return counted
}

// Limit applies the bounds of net/http to a server, and has its handler's requests counted; WithConn must be its ConnContext, or
// part of it. Requests that are not handed to it because this host has too many are answered by refuse.
func (g *Gate) Limit(server *http.Server, refuse http.Handler) {
	limits := &g.budget.limits
	server.MaxHeaderBytes = limits.Head
	server.ReadHeaderTimeout = limits.HeadTime.Std()
	server.IdleTimeout = limits.IdleTime.Std()
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := connOf(r)
		if counted == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer counted.end()
		if !counted.begin(r.ContentLength != 0) {
			counted.stop()
			EndConnection(w)
			refuse.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Refuse answers that this host has too many requests, without a body.
func Refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// EndConnection has the connection closed after the answer that is about to begin.
func EndConnection(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
}
