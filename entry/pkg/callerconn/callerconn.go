package callerconn

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type contextKey struct{}

// WithConn returns a context that carries the connection of its requests, as http.Server.ConnContext has it.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// IsClosed reports whether the caller has closed or reset the connection of the request with that context; it is false for
// a context without a connection.
//
// Bytes that were received before a reset can still be read after it, and net/http cancels the request's context only some
// time after the handler has begun.
func IsClosed(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(contextKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	if err := raw.Control(func(fd uintptr) { closed = isHungUp(fd) }); err != nil {
		return true
	}
	return closed
}

// isHungUp asks without waiting; a failed question leaves the request to its context.
func isHungUp(fd uintptr) bool {
	asked := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(asked, 0)
	return err == nil && ready > 0 && asked[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
