package graceful

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// transport is a TCP connection, or one that counts what passes through it.
type transport interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

// connection tells whether any byte of a request has been read since the last answer. The states of net/http don't: they
// change only after the header of a request was read.
type connection struct {
	transport
	server *Server

	mu       sync.Mutex
	idle     bool      // nothing was read since idleFrom
	idleFrom time.Time // when it was accepted, or the last answer was sent
	closing  bool      // it is to be closed while it is idle
	answered bool      // its last answer was sent, and nothing is read from it any more
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.transport.Read(buffer)
	if count > 0 {
		c.mu.Lock()
		c.idle = false
		c.mu.Unlock()
	}
	return count, err
}

// SetReadDeadline implements net.Conn. A connection that is to be closed while it is idle keeps its deadline.
func (c *connection) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.closing {
		at = past
	}
	return c.transport.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.SetWriteDeadline(at)
}

// NetConn returns the connection beneath.
func (c *connection) NetConn() net.Conn {
	return c.transport
}

// CloseWrite ends the sending side; net/http calls it after the last answer.
func (c *connection) CloseWrite() error {
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()
	return c.transport.CloseWrite()
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.server.remove(c)
	return c.transport.Close()
}

// becomeIdle notes that the connection waits for the next request.
func (c *connection) becomeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleFrom = true, now
}

// becomeActive notes that a request is being served; one that was read together with the request before it needs no Read.
func (c *connection) becomeActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.closing {
		_ = c.transport.SetReadDeadline(time.Time{}) // net/http reads on to notice that the client leaves
	}
	c.idle = false
}

// closeIdle has the server's own reader end the connection if it has been idle since before the given time. Closing it from
// here could cut a request off that the reader has just read.
func (c *connection) closeIdle(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.idleFrom.After(before) {
		return
	}
	if c.hasUnread() {
		c.idle = false // its reader is about to read a request, or the end of the connection
		return
	}
	c.closing = true
	_ = c.transport.SetReadDeadline(past)
}

// hasUnread reports whether there are bytes to read, or the end of the connection; a failed question leaves it to the reader.
func (c *connection) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		asked := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		ready, err := unix.Poll(asked, 0)
		unread = err == nil && ready > 0
	})
	return err == nil && unread
}

// isPending reports whether a request has been read, at least in part, and its answer wasn't sent, or may be read yet by the
// reader that is to end the connection.
func (c *connection) isPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (!c.idle || c.closing) && !c.answered
}
