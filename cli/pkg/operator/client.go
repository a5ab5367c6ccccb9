package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/publish"
)

const (
	// requestTimeout bounds one request.
	requestTimeout = 30 * time.Second
	// maxAnswerBytes is the largest answer that is read.
	maxAnswerBytes = 64 << 20
)

// Client calls the operators' API.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// Error is a refusal by the entry host.
type Error struct {
	Status int
	Fault  api.Fault
}

// Error names the code and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("the entry host refused (%s): %s", e.Fault.Code, e.Fault.Reason)
}

// New returns a client of the operators' API at base that shows the token.
func New(base, token string, client *http.Client) (*Client, error) {
	if !strings.HasPrefix(base, "http://") && !strings.HasPrefix(base, "https://") {
		return nil, errors.Errorf("entry host %q is not a URL; write it as \"http://ADDRESS:PORT\"", base)
	}
	return &Client{base: strings.TrimRight(base, "/"), token: token, http: client}, nil
}

// Status returns what the host knows of hosts, back ends, queues and owners.
func (c *Client) Status(ctx context.Context) (*api.Status, error) {
	return call[api.Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Burn returns the host's report on its objectives.
func (c *Client) Burn(ctx context.Context) (*api.BurnReport, error) {
	return call[api.BurnReport](ctx, c, http.MethodGet, "/v1/burn", nil)
}

// Drain tells the host to take no new work, finish what it has, and exit.
func (c *Client) Drain(ctx context.Context) (*api.Drained, error) {
	return call[api.Drained](ctx, c, http.MethodPost, "/v1/drain", nil)
}

// Accepted returns the owner's configuration in force.
func (c *Client) Accepted(ctx context.Context, owner string) (*configuration.Accepted, error) {
	return call[configuration.Accepted](ctx, c, http.MethodGet, ownerPath(owner, "configuration"), nil)
}

// History returns the owner's changes that the log still keeps, oldest first.
func (c *Client) History(ctx context.Context, owner string) ([]publish.Change, error) {
	changes, err := call[[]publish.Change](ctx, c, http.MethodGet, ownerPath(owner, "history"), nil)
	if err != nil {
		return nil, err
	}
	return *changes, nil
}

// Publish sends a change and returns the accepted configuration.
func (c *Client) Publish(ctx context.Context, owner string, change api.Change) (*configuration.Accepted, error) {
	return call[configuration.Accepted](ctx, c, http.MethodPost, ownerPath(owner, "configuration"), change)
}

// Evacuations returns the failure domains that get nothing new.
func (c *Client) Evacuations(ctx context.Context) ([]api.EvacuationStatus, error) {
	found, err := call[[]api.EvacuationStatus](ctx, c, http.MethodGet, "/v1/evacuations", nil)
	if err != nil {
		return nil, err
	}
	return *found, nil
}

// Evacuate closes a failure domain to new work, or opens it again; the identifier may be sent again after a lost answer.
func (c *Client) Evacuate(ctx context.Context, domain string, evacuated bool, publish string) (*configuration.Evacuation, error) {
	method := http.MethodPut
	if !evacuated {
		method = http.MethodDelete
	}
	path := "/v1/evacuations/" + url.PathEscape(domain) + "?publish=" + url.QueryEscape(publish)
	return call[configuration.Evacuation](ctx, c, method, path, nil)
}

func ownerPath(owner, leaf string) string {
	return "/v1/owners/" + url.PathEscape(owner) + "/" + leaf
}

func call[Answer any](ctx context.Context, c *Client, method, path string, body any) (*Answer, error) {
	raw, err := c.do(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	var answer Answer
	if err := json.Unmarshal(raw, &answer); err != nil {
		return nil, errors.Wrap(err, "the entry host's answer is not valid JSON")
	}
	return &answer, nil
}

func (c *Client) do(ctx context.Context, method, path string, body any) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(err, "the entry host's answer broke off")
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, refusal(response.StatusCode, raw)
	}
	return raw, nil
}

func refusal(status int, raw []byte) error {
	var fault api.Fault
	if err := json.Unmarshal(raw, &fault); err != nil || fault.Code == "" {
		return errors.Errorf("the entry host answered status %d", status)
	}
	return &Error{Status: status, Fault: fault}
}
