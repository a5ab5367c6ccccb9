package listen

import (
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Gate is a TCP listener whose connections are not read while it is shut, as those of a process without processor time.
type Gate struct {
	net.Listener
	gate sync.RWMutex
}

// NewGate returns an open gate before a TCP listener.
func NewGate(listener net.Listener) *Gate {
	return &Gate{Listener: listener}
}

// Shut delays all reads that begin from now on.
func (g *Gate) Shut() {
	g.gate.Lock()
}

// Open lets the delayed reads go on.
func (g *Gate) Open() {
	g.gate.Unlock()
}

// Accept implements net.Listener.
func (g *Gate) Accept() (net.Conn, error) {
	accepted, err := g.Listener.Accept()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	connection, ok := accepted.(transport)
	if !ok {
		return nil, errors.Errorf("%T is no TCP connection", accepted)
	}
	return &gatedConnection{transport: connection, gate: &g.gate}, nil
}

// transport is a TCP connection, or one that wraps it.
type transport interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

// gatedConnection waits for its gate before each read.
type gatedConnection struct {
	transport
	gate *sync.RWMutex
}

// Read implements net.Conn.
func (c *gatedConnection) Read(into []byte) (int, error) {
	c.gate.RLock()
	c.gate.RUnlock() //nolint:staticcheck // it only waits until the gate is open
	return c.transport.Read(into)
}

// NetConn returns the connection beneath.
func (c *gatedConnection) NetConn() net.Conn {
	return c.transport
}
