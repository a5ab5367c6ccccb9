package minion

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/platform"
)

// maxAnswerBytes limits the bytes read from one response body.
const maxAnswerBytes = 1 << 20

var mismatchedAnswers = metrics.GetOrCreateCounter(`chervilusher_answers_dropped_total{why="crossed"}`)

// Client starts tasks at endpoints, within the limit on connections from this host to each endpoint.
type Client struct {
	newClient func(connections int) *http.Client

	mu      sync.RWMutex
	clients map[int]*http.Client // by the limit on connections to one endpoint
}

// New returns a client; newClient returns an HTTP client that follows no redirects and opens at most the given
// number of connections to one endpoint, where zero means no limit.
func New(newClient func(connections int) *http.Client) *Client {
	return &Client{newClient: newClient, clients: map[int]*http.Client{}}
}

func (c *Client) clientFor(connections int) *http.Client {
	c.mu.RLock()
	client, ok := c.clients[connections]
	c.mu.RUnlock()
	if ok {
		return client
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.clients[connections]; ok {
		return client
	}
	client = c.newClient(connections)
	c.clients[connections] = client
	return client
}

// Start sends the task and waits for its answer. If the context ends after a connection was obtained,
// the outcome is unknown, as the request may have been sent.
func (c *Client) Start(ctx context.Context, start *dispatch.Start) dispatch.Outcome {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, taskURL(start.Backend.Address, start.ID), bytes.NewReader(start.Payload))
	if err != nil {
		return dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Error: err.Error()}
	}
	// No idempotency key is sent: with one, net/http would retry the request by itself after a lost connection.
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(platform.HeaderTask, start.ID)
	request.Header.Set(platform.HeaderOwner, start.Account)
	request.Header.Set(platform.HeaderKind, start.Task.Kind)
	response, err := c.clientFor(start.Backend.Connections).Do(request)
	if err != nil {
		if connected.Load() {
			return dispatch.Outcome{Verdict: dispatch.VerdictUnknown, Error: err.Error()}
		}
		return dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Error: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	return readOutcome(response, start.ID)
}

// Query returns the endpoint's status of a start.
func (c *Client) Query(ctx context.Context, stop *dispatch.Stop) (*platform.TaskStatus, error) {
	return c.status(ctx, http.MethodGet, stop)
}

// Stop stops a started task, or leaves a tombstone so that a late start is rejected.
func (c *Client) Stop(ctx context.Context, stop *dispatch.Stop) (*platform.TaskStatus, error) {
	return c.status(ctx, http.MethodDelete, stop)
}

func (c *Client) status(ctx context.Context, method string, stop *dispatch.Stop) (*platform.TaskStatus, error) {
	request, err := http.NewRequestWithContext(ctx, method, taskURL(stop.Backend.Address, stop.ID), nil)
	if err != nil {
		return nil, err
	}
	response, err := c.clientFor(stop.Backend.Connections).Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("endpoint %s: status %d", stop.Backend.Name, response.StatusCode)
	}
	var status platform.TaskStatus
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&status); err != nil {
		return nil, err
	}
	return &status, nil
}

func readOutcome(response *http.Response, id string) dispatch.Outcome {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return dispatch.Outcome{Verdict: dispatch.VerdictUnknown, Error: "the answer broke off: " + err.Error()}
	}
	if response.Header.Get(platform.HeaderTask) != id {
		mismatchedAnswers.Inc()
		return dispatch.Outcome{Verdict: dispatch.VerdictUnknown, Error: "the answer belongs to another task"}
	}
	if response.Header.Get(platform.HeaderRan) == "no" {
		return dispatch.Outcome{
			Verdict:    dispatch.VerdictNotRun,
			Error:      "status " + strconv.Itoa(response.StatusCode),
			Busy:       response.StatusCode == http.StatusServiceUnavailable,
			BadPayload: platform.RefusesPayload(response.StatusCode),
		}
	}
	if response.StatusCode != http.StatusOK {
		return dispatch.Outcome{Verdict: dispatch.VerdictFailed, Error: "status " + strconv.Itoa(response.StatusCode)}
	}
	if len(body) > maxAnswerBytes {
		return dispatch.Outcome{Verdict: dispatch.VerdictFailed, Error: "the answer is larger than 1 MiB"}
	}
	if !json.Valid(body) {
		return dispatch.Outcome{Verdict: dispatch.VerdictFailed, Error: "the answer is not JSON"}
	}
	return dispatch.Outcome{Verdict: dispatch.VerdictDone, Value: body}
}

func taskURL(address, id string) string {
	return "http://" + address + "/v1/tasks/" + id
}
