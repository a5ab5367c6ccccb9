package peer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

var (
	bytesReceived = metrics.NewCounter(`chervilusher_peer_bytes_total{direction="received"}`)
	bytesSent     = metrics.NewCounter(`chervilusher_peer_bytes_total{direction="sent"}`)
)

// countedConn counts the bytes exchanged with other hosts.
type countedConn struct {
	net.Conn
}

// Read implements net.Conn.
func (c countedConn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	bytesReceived.Add(count)
	return count, err
}

// Write implements net.Conn.
func (c countedConn) Write(from []byte) (int, error) {
	count, err := c.Conn.Write(from)
	bytesSent.Add(count)
	return count, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn}, nil
}
