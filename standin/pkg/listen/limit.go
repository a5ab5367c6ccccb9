package listen

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// limitedListener closes connections above its limit as soon as they arrive.
type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept returns the next connection that fits under the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if l.open.Add(1) <= l.limit || l.limit == 0 {
			return &countedConnection{Conn: connection, open: &l.open}, nil
		}
		l.open.Add(-1)
		_ = connection.Close()
	}
}

// countedConnection leaves its listener's count when it closes.
type countedConnection struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection.
func (c *countedConnection) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return errors.WithStack(c.Conn.Close())
}
