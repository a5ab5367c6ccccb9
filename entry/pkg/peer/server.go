package peer

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
)

// handler serves one method of the stream.
type handler func(stream drpc.Stream) error

// Server answers the calls of other entry hosts.
type Server struct {
	handlers map[string]handler
	running  atomic.Int64 // calls in progress
}

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{handlers: map[string]handler{}}
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

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, method string) error {
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
