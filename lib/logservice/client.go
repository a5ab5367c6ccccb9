package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/platform"
)

// maxErrorBytes bounds how much of an error's body is read.
const maxErrorBytes = 512

// Client reads and appends records of the log service.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the log service at base, such as "http://127.0.0.1:7000".
func New(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Append adds one record to the stream and returns its offset; after an error the record may stand in the log all the same.
func (c *Client) Append(ctx context.Context, stream string, data any) (int64, error) {
	body, err := json.Marshal(data)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	request.Header.Set("Content-Type", "application/json")
	var appended platform.Appended
	if err := c.do(request, &appended); err != nil {
		return 0, errors.Wrap(err, "append to the log")
	}
	return appended.Offset, nil
}

// Read returns up to limit records from the offset on, and waits up to wait for the first one.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.Batch, error) {
	address := fmt.Sprintf("%s?from=%d&limit=%d&wait=%s", c.url(stream), from, limit, wait)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var batch platform.Batch
	if err := c.do(request, &batch); err != nil {
		return nil, errors.Wrap(err, "read from the log")
	}
	return &batch, nil
}

func (c *Client) url(stream string) string {
	return c.base + "/v1/streams/" + url.PathEscape(stream)
}

func (c *Client) do(request *http.Request, into any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return errors.Errorf("status %d: %s", response.StatusCode, text)
	}
	return errors.WithStack(json.NewDecoder(response.Body).Decode(into))
}
