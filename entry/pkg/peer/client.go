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
	// dialTimeout bounds how long a connection to another host takes.
	dialTimeout = time.Second
	// silenceTimeout is how long sent data may stay without acknowledgement until the connection counts as broken.
	silenceTimeout = time.Second
	// idleExpiration is how long an unused connection is kept.
	idleExpiration = time.Minute
	// idlePerHost bounds the unused connections to one host.
	idlePerHost = 64
	// maxMessageBytes bounds one message, such as the answer to a job of many tasks.
	maxMessageBytes = 64 << 20
)

// ErrUnreachable says that no connection could be made, so that the call has not taken effect.
var ErrUnreachable = errors.New("the host cannot be reached")

// unreachedError is the cause of ErrUnreached.
type unreachedError struct {
	cause error
}

// Error implements error.
func (e *unreachedError) Error() string {
	return e.cause.Error()
}

// Is makes the error count as ErrUnreached.
func (e *unreachedError) Is(target error) bool {
	return target == ErrUnreachable //nolint:errorlint // errors.Is compares one level at a time
}

// Unwrap returns the cause.
func (e *unreachedError) Unwrap() error {
	return e.cause
}

// TLSSource gives the TLS configuration of each new connection.
type TLSSource interface {
	Client() *tls.Config
}

// Client calls other entry hosts and keeps unused connections for the next call.
type Client struct {
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	secure TLSSource
}

// NewClient returns a client without connections; a nil source means plain TCP.
func NewClient(secure TLSSource) *Client {
	return &Client{secure: secure, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleExpiration,
		KeyCapacity: idlePerHost,
	})}
}

// Close ends all connections.
func (c *Client) Close() error {
	return errors.WithStack(c.pool.Close())
}

// Call asks the host at address and waits for its response; after an error the call may have taken effect.
func Call[Request, Response any](ctx context.Context, client *Client, address, method string, request *Request) (*Response, error) {
	conn := client.pool.Get(ctx, address, client.dial)
	defer func() { _ = conn.Close() }()
	var response Response
	if err := conn.Invoke(ctx, method, encoding{}, request, &response); err != nil {
		return nil, errors.Wrapf(err, "call %s at %s", method, address)
	}
	return &response, nil
}

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	transport, err := c.connect(ctx, address)
	if err != nil {
		return nil, &unreachedError{err}
	}
	return drpcconn.NewWithOptions(countedConn{transport}, drpcconn.Options{Manager: managerOptions()}), nil
}

func (c *Client) connect(ctx context.Context, address string) (net.Conn, error) {
	plain := dialer.New(dialTimeout, silenceTimeout)
	if c.secure == nil {
		return plain.DialContext(ctx, "tcp", address)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	secured := &tls.Dialer{NetDialer: plain, Config: c.secure.Client()}
	return secured.DialContext(ctx, "tcp", address)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}
