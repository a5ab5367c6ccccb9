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

	"github.com/pkg/errors"

	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/platform"
)

const (
	// maxAnswerBytes bounds one worker's answer.
	maxAnswerBytes = 1 << 20
	// statusWait is how long one question for a task's end waits.
	statusWait = 10 * time.Second
	// statusRetry is the delay after a question for a task's end failed.
	statusRetry = 100 * time.Millisecond
)

// Client leases workers and runs tasks on them.
type Client struct {
	http *http.Client
}

// New returns a client that uses the given HTTP client.
func New(client *http.Client) *Client {
	return &Client{http: client}
}

// Lease takes or renews the lease of the worker at address; held reports that another holder has it.
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

// GiveBack ends a lease before it lapses.
func (c *Client) GiveBack(ctx context.Context, address string, fence int64) error {
	status, _, err := c.call(ctx, http.MethodDelete, fmt.Sprintf("http://%s/v1/lease/%d", address, fence), nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Errorf("give back lease: status %d", status)
	}
	return nil
}

// Start starts the task under the lease's fencing token and waits for its end; a lost answer is asked for by the task's identifier.
func (c *Client) Start(ctx context.Context, start *dispatch.Start) dispatch.Outcome {
	body := platform.TaskStart{
		Fence:        start.Backend.Fence,
		Owner:        start.Owner,
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
	url := taskURL(start.Backend.Address, start.ID) + "?wait=" + statusWait.String()
	var status platform.TaskStatus
	code, header, err := c.call(traced, http.MethodPost, url, body, &status)
	if err != nil && !connected.Load() {
		return dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Error: err.Error()}
	}
	if err != nil {
		return c.await(ctx, start)
	}
	if header.Get(platform.HeaderRan) == "no" {
		return dispatch.Outcome{
			Verdict: dispatch.VerdictNotRun,
			Error:   fmt.Sprintf("status %d", code),
			Busy:    code == http.StatusServiceUnavailable,
		}
	}
	if code >= http.StatusBadRequest {
		return dispatch.Outcome{Verdict: dispatch.VerdictFailed, Error: fmt.Sprintf("status %d", code)}
	}
	if outcome, ended := outcomeOf(&status, start.ID); ended {
		return outcome
	}
	return c.await(ctx, start)
}

// Stop stops a start, or leaves a tombstone so that it never begins.
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

// await asks for the task's end by its identifier until the context ends.
func (c *Client) await(ctx context.Context, start *dispatch.Start) dispatch.Outcome {
	url := taskURL(start.Backend.Address, start.ID) + "?wait=" + statusWait.String()
	for {
		var status platform.TaskStatus
		code, _, err := c.call(ctx, http.MethodGet, url, nil, &status)
		if err == nil && code == http.StatusOK {
			if outcome, ended := outcomeOf(&status, start.ID); ended {
				return outcome
			}
			if status.State == platform.TaskAbsent {
				return c.bury(ctx, start)
			}
			continue
		}
		select {
		case <-ctx.Done():
			return dispatch.Outcome{Verdict: dispatch.VerdictUnknown, Error: "the worker's answer is lost"}
		case <-time.After(statusRetry):
		}
	}
}

// bury leaves a tombstone for a start that has not arrived; only then it is certain that it never will run.
func (c *Client) bury(ctx context.Context, start *dispatch.Start) dispatch.Outcome {
	status, err := c.Stop(ctx, &dispatch.Stop{ID: start.ID, Backend: start.Backend})
	if err != nil {
		return dispatch.Outcome{Verdict: dispatch.VerdictUnknown, Error: err.Error()}
	}
	if status.State == platform.TaskAbsent {
		return dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Error: "the start was lost on its way"}
	}
	if outcome, ended := outcomeOf(status, start.ID); ended {
		return outcome
	}
	return dispatch.Outcome{Verdict: dispatch.VerdictUnknown, Error: "the task was stopped while its answer was lost"}
}

func outcomeOf(status *platform.TaskStatus, id string) (outcome dispatch.Outcome, ended bool) {
	if status.Task != id {
		return dispatch.Outcome{Verdict: dispatch.VerdictUnknown, Error: "the answer belongs to another task"}, true
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

func (c *Client) call(ctx context.Context, method, url string, body, into any) (int, http.Header, error) {
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
	if into != nil && len(raw) > 0 && response.Header.Get("Content-Type") != "text/plain" {
		if err := json.Unmarshal(raw, into); err != nil {
			return 0, nil, errors.WithStack(err)
		}
	}
	return response.StatusCode, response.Header, nil
}

func taskURL(address, id string) string {
	return "http://" + address + "/v1/tasks/" + id
}
