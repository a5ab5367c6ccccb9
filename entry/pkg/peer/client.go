package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"chervilusher.dev/entry/pkg/dialer"
)

const (
	// dialTimeout bounds the set-up of a connection to another host.
	dialTimeout = time.Second
	// ackTimeout is how long sent data may stay unacknowledged before the connection is considered broken.
	ackTimeout = time.Second
	// idleExpiration is how long an unused connection is kept.
	idleExpiration = time.Minute
	// idlePerHost bounds the unused connections to one host.
	idlePerHost = 64
	// maxMessageBytes bounds one message, such as the answer to a job of many tasks.
	maxMessageBytes = 64 << 20
)

// ErrUnreachable reports that no connection could be made, so that the call has not taken effect.
var ErrUnreachable = errors.New("the host cannot be reached")

// unreachableError wraps a connection error and matches ErrUnreachable.
type unreachableError struct {
	cause error
}

// Error implements error.
func (e *unreachableError) Error() string {
	return e.cause.Error()
}

// Is reports whether the target is ErrUnreachable.
func (e *unreachableError) Is(target error) bool {
	return target == ErrUnreachable //nolint:errorlint // errors.Is compares one level at a time
}

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error {
	return e.cause
}

// TLSSource provides the TLS configuration of each new connection.
type TLSSource interface {
	Client() *tls.Config
}

// Client calls other entry hosts and keeps idle connections for later calls.
type Client struct {
	pool      *drpcpool.Pool[string, drpcpool.Conn]
	tlsSource TLSSource
}

// NewClient returns a client without connections; a nil source selects plain TCP.
func NewClient(tlsSource TLSSource) *Client {
	return &Client{tlsSource: tlsSource, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleExpiration,
		KeyCapacity: idlePerHost,
	})}
}

// Close closes all connections.
func (c *Client) Close() error {
	return errors.WithStack(c.pool.Close())
}

// Call sends the request to the host at address and waits for its response; after an error the call may have taken
// effect.
func Call[Request, Response any](ctx context.Context, client *Client, address, method string, request *Request) (*Response, error) {
	conn := client.pool.Get(ctx, address, client.dial)
	defer func() { _ = conn.Close() }()
	var response Response
	if err := conn.Invoke(ctx, method, encoding{}, request, &response); err != nil {
		return nil, errors.Wrapf(err, "call %s at %s", method, address)
	}
	return &response, nil
}

// Send sends the request to the host at address and returns once it is written to the connection; the returned function waits for
// the response. After an error of either the call may have taken effect.
func Send[Request, Response any](ctx context.Context, client *Client, address, method string, request *Request) (receive func() (*Response, error), err error) {
	conn := client.pool.Get(ctx, address, client.dial)
	defer func() { _ = conn.Close() }()
	stream, err := conn.NewStream(ctx, method, encoding{})
	if err != nil {
		return nil, errors.Wrapf(err, "call %s at %s", method, address)
	}
	if err := stream.MsgSend(request, encoding{}); err != nil {
		_ = stream.Close()
		return nil, errors.Wrapf(err, "call %s at %s", method, address)
	}
	return func() (*Response, error) {
		defer func() { _ = stream.Close() }()
		var response Response
		err := stream.CloseSend()
		if err == nil {
			err = stream.MsgRecv(&response, encoding{})
		}
		return &response, errors.Wrapf(err, "call %s at %s", method, address)
	}, nil
}

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	transport, err := c.connect(ctx, address)
	if err != nil {
		return nil, &unreachableError{err}
	}
	return drpcconn.NewWithOptions(countedConn{transport}, drpcconn.Options{Manager: managerOptions()}), nil
}

func (c *Client) connect(ctx context.Context, address string) (net.Conn, error) {
	plain := dialer.New(dialTimeout, ackTimeout)
	if c.tlsSource == nil {
		return plain.DialContext(ctx, "tcp", address)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	secured := &tls.Dialer{NetDialer: plain, Config: c.tlsSource.Client()}
	return secured.DialContext(ctx, "tcp", address)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}
