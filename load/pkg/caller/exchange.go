package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/load/pkg/fleet"
)

// call is one HTTP request to an entry host.
type call struct {
	method string
	host   string // host:port
	path   string
	owner  string
	ticket string
	key    string
	body   []byte
}

// exchange sends the call and reads the JSON answer.
func (c *Caller) exchange(ctx context.Context, sent call, into any) error {
	request, err := http.NewRequestWithContext(ctx, sent.method, "http://"+sent.host+sent.path, bytes.NewReader(sent.body))
	if err != nil {
		return errors.WithStack(err)
	}
	// Without GetBody net/http does not repeat a submission by itself; a repeat that finds no host would look never sent.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+fleet.Token(sent.owner))
	if sent.ticket != "" {
		request.Header.Set(api.HeaderTicket, sent.ticket)
		request.Header.Set(api.HeaderKey, sent.key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	return errors.WithStack(json.NewDecoder(response.Body).Decode(into))
}
