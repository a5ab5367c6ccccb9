package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/platform"
)

const (
	// maxAnswerBytes limits the bytes read from one response body.
	maxAnswerBytes = 1 << 20
	// statusPollWait is how long the worker may hold one status request (long poll) until the task ends.
	statusPollWait = 10 * time.Second
	// unresponsiveTimeout is how long status requests may go unanswered before the outcome of a start is unknown.
	unresponsiveTimeout = 3 * time.Second
	// statusRetryDelay is the delay after a failed status request.
	statusRetryDelay = 100 * time.Millisecond
)

var mismatchedAnswers = metrics.GetOrCreateCounter(`chervilusher_answers_dropped_total{why="crossed"}`)

// Client leases workers and starts, queries and stops tasks on them.
type Client struct {
	http *http.Client
}

// New returns a client that uses the given HTTP client.
func New(client *http.Client) *Client {
	return &Client{http: client}
}

// Lease acquires or renews the lease of the worker at address; held reports that another holder has it.
func (c *Client) Lease(ctx context.Context, address string, request platform.LeaseRequest) (lease *platform.Lease, held bool, err error) {
	var answer platform.Lease
	status, _, err := c.call(ctx, http.MethodPost, "http://"+address+"/v1/lease", request, &answer)
	if err != nil {
		return nil, false, err
	}
	switch status {
	case http.StatusOK:
		return &answer, false, nil
	case http.StatusConflict:
		return &answer, true, nil
	default:
		return nil, false, errors.Errorf("lease: status %d", status)
	}
}

// Release ends a lease before it expires.
func (c *Client) Release(ctx context.Context, address string, fencingToken int64) error {
	status, _, err := c.call(ctx, http.MethodDelete, fmt.Sprintf("http://%s/v1/lease/%d", address, fencingToken), nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Errorf("release lease: status %d", status)
	}
	return nil
}

// Start starts the task under the lease's fencing token and waits until it ends.
// If the response does not tell the outcome, such as when it is lost, it polls the task's status by identifier.
func (c *Client) Start(ctx context.Context, start *dispatch.Start) dispatch.Outcome {
	body := platform.TaskStart{
		Fence:        start.Backend.FencingToken,
		Owner:        start.Account,
		Kind:         start.Task.Kind,
		Cores:        start.Task.Need.Cores,
		Memory:       start.Task.Need.Memory,
		Accelerators: start.Task.Need.Accelerators,
		Payload:      start.Payload,
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	url := taskURL(start.Backend.Address, start.ID) + "?wait=" + statusPollWait.String()
	var status platform.TaskStatus
	code, header, err := c.call(traced, http.MethodPost, url, body, &status)
	if err != nil && !connected.Load() {
		return dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Error: err.Error()}
	}
	if err == nil && header.Get(platform.HeaderTask) != start.ID {
		mismatchedAnswers.Inc()
		return c.await(ctx, start)
	}
	if err == nil && header.Get(platform.HeaderRan) == "no" {
		return refusalOutcome(code, start)
	}
	if err != nil || code >= http.StatusBadRequest {
		return c.await(ctx, start)
	}
	if outcome, ended := outcomeOf(&status, start.ID); ended {
		return outcome
	}
	return c.await(ctx, start)
}

// refusalOutcome returns the outcome of a start that the worker refused without running the task.
// On a conflict it carries the fencing token that the worker rejected, so that no more starts use it.
func refusalOutcome(code int, start *dispatch.Start) dispatch.Outcome {
	outcome := dispatch.Outcome{
		Verdict:    dispatch.VerdictNotRun,
		Error:      fmt.Sprintf("status %d", code),
		Busy:       code == http.StatusServiceUnavailable,
		BadPayload: platform.RefusesPayload(code),
	}
	if code == http.StatusConflict {
		outcome.Busy = true
		outcome.FencingToken = start.Backend.FencingToken
	}
	return outcome
}

// Query returns the worker's status of a start; the worker may hold the request for statusPollWait.
func (c *Client) Query(ctx context.Context, stop *dispatch.Stop) (*platform.TaskStatus, error) {
	var status platform.TaskStatus
	code, _, err := c.call(ctx, http.MethodGet, taskURL(stop.Backend.Address, stop.ID)+"?wait="+statusPollWait.String(), nil, &status)
	if err != nil {
		return nil, err
	}
	if code != http.StatusOK {
		return nil, errors.Errorf("query: status %d", code)
	}
	return &status, nil
}

// Stop stops a started task, or leaves a tombstone so that a late start is rejected.
func (c *Client) Stop(ctx context.Context, stop *dispatch.Stop) (*platform.TaskStatus, error) {
	var status platform.TaskStatus
	code, _, err := c.call(ctx, http.MethodDelete, taskURL(stop.Backend.Address, stop.ID), nil, &status)
	if err != nil {
		return nil, err
	}
	if code != http.StatusOK {
		return nil, errors.Errorf("stop: status %d", code)
	}
	return &status, nil
}

// await polls the task's status until the task ends, the context ends, the worker does not know the task,
// or no status arrived within unresponsiveTimeout.
func (c *Client) await(ctx context.Context, start *dispatch.Start) dispatch.Outcome {
	unknown := dispatch.Outcome{Verdict: dispatch.VerdictUnknown, Error: "the worker's answer is lost"}
	lastAnswer := time.Now()
	for ctx.Err() == nil && time.Since(lastAnswer) < unresponsiveTimeout {
		status, err := c.Query(ctx, &dispatch.Stop{ID: start.ID, Backend: start.Backend})
		if err == nil && status.Task == start.ID {
			lastAnswer = time.Now()
			if outcome, ended := outcomeOf(status, start.ID); ended {
				return outcome
			}
			if status.State == platform.TaskAbsent {
				return unknown
			}
			continue
		}
		if err == nil {
			mismatchedAnswers.Inc()
		}
		select {
		case <-ctx.Done():
		case <-time.After(statusRetryDelay):
		}
	}
	return unknown
}

func outcomeOf(status *platform.TaskStatus, id string) (outcome dispatch.Outcome, ended bool) {
	if status.Task != id {
		mismatchedAnswers.Inc()
		return dispatch.Outcome{}, false
	}
	switch status.State {
	case platform.TaskDone:
		return dispatch.Outcome{Verdict: dispatch.VerdictDone, Value: status.Value}, true
	case platform.TaskFailed:
		return dispatch.Outcome{Verdict: dispatch.VerdictFailed, Error: status.Error}, true
	case platform.TaskStopped:
		return dispatch.Outcome{Verdict: dispatch.VerdictFailed, Error: "the task was stopped"}, true
	case platform.TaskAbsent, platform.TaskRunning:
		return dispatch.Outcome{}, false
	default:
		return dispatch.Outcome{Verdict: dispatch.VerdictUnknown, Error: "unknown state " + string(status.State)}, true
	}
}

func (c *Client) call(ctx context.Context, method, url string, body, result any) (int, http.Header, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, nil, errors.WithStack(err)
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	if result != nil && len(raw) > 0 {
		// A refusal may carry a text; its status and header tell enough.
		if err := json.Unmarshal(raw, result); err != nil && response.StatusCode < http.StatusBadRequest {
			return 0, nil, errors.WithStack(err)
		}
	}
	return response.StatusCode, response.Header, nil
}

func taskURL(address, id string) string {
	return "http://" + address + "/v1/tasks/" + id
}
