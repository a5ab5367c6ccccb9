package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/platform"
)

// Client reads the host list.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the host list at the base URL, such as "http://127.0.0.1:7001".
func New(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Read returns the changes since a version; the server may hold the request up to wait for the first change.
func (c *Client) Read(ctx context.Context, since int64, wait time.Duration) (*platform.HostList, error) {
	url := fmt.Sprintf("%s/v1/hosts?since=%d&wait=%s", c.base, since, wait)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read the host list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read the host list: status %d", response.StatusCode)
	}
	var list platform.HostList
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "read the host list")
	}
	return &list, nil
}
