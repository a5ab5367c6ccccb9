package listen

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Server answers HTTP requests on one address.
type Server struct {
	mu       sync.Mutex
	handler  http.Handler
	limit    int
	address  string
	server   *http.Server
	finished chan struct{}
}

// New listens on the address, such as "127.0.0.1:0"; connections above the limit are closed at once, and zero means no limit.
func New(address string, limit int, handler http.Handler) (*Server, error) {
	server := &Server{handler: handler, limit: limit, address: address}
	if err := server.Up(); err != nil {
		return nil, err
	}
	return server, nil
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Up listens again on the same address after Down.
func (s *Server) Up() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "cannot listen on %s", s.address)
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s.handler, ErrorLog: log.New(io.Discard, "", 0)}
	s.finished = make(chan struct{})
	go serve(s.server, &limitedListener{Listener: listener, limit: int64(s.limit)}, s.finished)
	return nil
}

// Down closes the listener and cuts off every connection, as if the process had died.
func (s *Server) Down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	_ = s.server.Close()
	<-s.finished
	s.server = nil
}

func serve(server *http.Server, listener net.Listener, finished chan<- struct{}) {
	defer close(finished)
	_ = server.Serve(listener)
}
