package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/client"
)

func errorsAs[T error](err error, into *T) bool { return errors.As(err, into) }

// post sends one request under the handle and returns its answer.
func post(t *testing.T, address string, handle client.Handle, body any) *api.Answer {
	t.Helper()
	answer, err := tryPost(address, handle, body)
	require.NoError(t, err)
	return answer
}

func tryPost(address string, handle client.Handle, body any) (*api.Answer, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience+10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+ownerToken)
	if handle.Key != "" {
		request.Header.Set(api.HeaderKey, handle.Key)
		request.Header.Set(api.HeaderTicket, handle.Ticket)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer api.Answer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, err
	}
	return &answer, nil
}
