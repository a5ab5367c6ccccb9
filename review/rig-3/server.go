package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// minionServer serves a minion at one address through several lives of its process.
type minionServer struct {
	address string
	handler http.Handler

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	dark     bool         // nothing is answered, not even a connection attempt
	lit      chan struct{}
	life     int
	open     map[net.Conn]bool
}

type lifeKey struct{}

// accepting passes the connections on that are opened while the minion's machine answers.
type accepting struct {
	net.Listener
	server *minionServer
}

// Accept implements net.Listener.
func (a *accepting) Accept() (net.Conn, error) {
	for {
		conn, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		a.server.mu.Lock()
		dark := a.server.dark
		a.server.open[conn] = true
		a.server.mu.Unlock()
		if !dark {
			return conn, nil
		}
		go func() { // for its caller this attempt to connect has no answer
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}()
	}
}

// start serves the next life. Connections of earlier ones are reset once something is sent on them.
func (s *minionServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life++
	if s.dark {
		s.dark = false
		close(s.lit)
	}
	if s.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener, s.open = listener, map[net.Conn]bool{}
	server := &http.Server{
		Handler: http.HandlerFunc(s.serve),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			s.mu.Lock()
			defer s.mu.Unlock()
			return context.WithValue(ctx, lifeKey{}, s.life)
		},
	}
	go func() { _ = server.Serve(&accepting{listener, s}) }()
	return nil
}

func (s *minionServer) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	dark, lit, present := s.dark, s.lit, r.Context().Value(lifeKey{}) == s.life
	s.mu.Unlock()
	if dark {
		select {
		case <-lit:
		case <-r.Context().Done():
		}
	}
	if dark || !present {
		reset(w)
		return
	}
	s.handler.ServeHTTP(w, r)
}

// reset answers a request by a reset of its connection.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// stop ends the life. In the dark nothing is heard of that; otherwise connections are reset, and new ones are refused.
func (s *minionServer) stop(dark bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if dark {
		s.dark, s.lit = true, make(chan struct{})
		return
	}
	_ = s.listener.Close()
	s.listener = nil
	for conn := range s.open {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}
