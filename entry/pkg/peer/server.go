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
	"storj.io/drpc/drpcserver"
)

// panics counts calls that ended in an unexpected error.
var panics = metrics.NewCounter(`chervilusher_panics_total{part="peer"}`)

// errUnexpected is all that a caller is told of a panic; the log has the rest.
var errUnexpected = errors.New("the call ended in an unexpected error")

// handler serves one method of the stream.
type handler func(stream drpc.Stream) error

// Server answers the calls of other entry hosts.
type Server struct {
	handlers map[string]handler
	running  atomic.Int64 // calls in progress
	log      log.Interface
}

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{handlers: map[string]handler{}, log: log.Log}
}

// SetLogger sets where unexpected errors are logged; it is to be called before Serve.
func (s *Server) SetLogger(logger log.Interface) {
	s.log = logger
}

// Handle adds a method that takes one request and gives one response.
func Handle[Request, Response any](server *Server, method string, serve func(ctx context.Context, request *Request) (*Response, error)) {
	server.handlers[method] = func(stream drpc.Stream) error {
		var request Request
		if err := stream.MsgRecv(&request, encoding{}); err != nil {
			return err
		}
		response, err := serve(stream.Context(), &request)
		if err != nil {
			return err
		}
		return stream.MsgSend(response, encoding{})
	}
}

// HandleRPC implements drpc.Handler. An unexpected error fails the call and not the process, which serves other callers.
func (s *Server) HandleRPC(stream drpc.Stream, method string) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			panics.Inc()
			s.log.WithField("method", method).WithField("cause", fmt.Sprint(cause)).WithField("stack", string(debug.Stack())).
				Error("a call ended in an unexpected error")
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

// Running returns how many calls are in progress.
func (s *Server) Running() int64 {
	return s.running.Load()
}

// Serve answers calls on the listener until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	options := drpcserver.Options{Manager: managerOptions()}
	return errors.WithStack(drpcserver.NewWithOptions(s, options).Serve(ctx, countedListener{listener}))
}
