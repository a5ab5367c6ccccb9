package peer

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcserver"

	"chervilusher.dev/entry/pkg/callerconn"
	"chervilusher.dev/entry/pkg/inflow"
)

// panics counts calls that ended in a panic.
var panics = metrics.NewCounter(`chervilusher_panics_total{part="peer"}`)

// errUnexpected is what the caller of a call that panicked receives; the details are logged.
var errUnexpected = errors.New("the call ended in an unexpected error")

// handler serves one call of a method.
type handler func(stream drpc.Stream) error

// Server serves the calls of other entry hosts.
type Server struct {
	handlers map[string]handler
	running  atomic.Int64 // calls in progress
	log      log.Interface
}

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{handlers: map[string]handler{}, log: log.Log}
}

// SetLogger sets the logger for panics; it must be called before Serve.
func (s *Server) SetLogger(logger log.Interface) {
	s.log = logger
}

// Handle registers a method that takes one request and returns one response.
func Handle[Request, Response any](server *Server, method string, serve func(ctx context.Context, request *Request) (*Response, error)) {
	server.handlers[method] = func(stream drpc.Stream) error {
		var request Request
		if err := stream.MsgRecv(&request, encoding{}); err != nil {
			return err
		}
		raw := transportOf(stream)
		inflow.BeginCall(raw)
		defer inflow.EndCall(raw)
		response, err := serve(callerconn.WithConn(stream.Context(), raw), &request)
		if err != nil {
			return err
		}
		return stream.MsgSend(response, encoding{})
	}
}

// transportOf returns the connection of a stream's caller, or nil.
func transportOf(stream drpc.Stream) net.Conn {
	if transport, ok := drpcctx.Transport(stream.Context()); ok {
		if counted, ok := transport.(countedConn); ok {
			return counted.Conn
		}
	}
	return nil
}

// HandleRPC implements drpc.Handler. A panic fails its call and not the process, which serves other callers.
func (s *Server) HandleRPC(stream drpc.Stream, method string) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			panics.Inc()
			s.log.WithField("method", method).WithField("cause", fmt.Sprint(cause)).WithField("stack", string(debug.Stack())).
				Error("panic while serving a call")
			err = errUnexpected
		}
	}()
	serve, ok := s.handlers[method]
	if !ok {
		return errors.Errorf("no method %q", method)
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	return serve(stream)
}

// Running returns the number of calls in progress.
func (s *Server) Running() int64 {
	return s.running.Load()
}

// Serve serves calls on the listener until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	options := drpcserver.Options{Manager: managerOptions()}
	return errors.WithStack(drpcserver.NewWithOptions(s, options).Serve(ctx, countedListener{listener}))
}
