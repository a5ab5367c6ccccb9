package peer

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"
)

const (
	// dialTimeout bounds how long a connection to another host takes.
	dialTimeout = time.Second
	// idleExpiration is how long an unused connection is kept.
	idleExpiration = time.Minute
	// idlePerHost bounds the unused connections to one host.
	idlePerHost = 64
	// maxMessageBytes bounds one message, such as the answer to a job of many tasks.
	maxMessageBytes = 64 << 20
)

// Client calls other entry hosts and keeps unused connections for the next call.
type Client struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
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
	conn := client.pool.Get(ctx, address, dial)
	defer func() { _ = conn.Close() }()
	var response Response
	if err := conn.Invoke(ctx, method, encoding{}, request, &response); err != nil {
		return nil, errors.Wrapf(err, "call %s at %s", method, address)
	}
	return &response, nil
}

func dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}
