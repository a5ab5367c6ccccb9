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
	// maxAnswerBytes bounds one worker's answer.
	maxAnswerBytes = 1 << 20
	// statusWait is how long one question for a task's end waits.
	statusWait = 10 * time.Second
	// silenceTimeout is how long a worker may be silent until a start there counts as lost.
	silenceTimeout = 3 * time.Second
	// statusRetry is the delay after a question for a task's end failed.
	statusRetry = 100 * time.Millisecond
)

var crossedAnswers = metrics.GetOrCreateCounter(`chervilusher_answers_dropped_total{why="crossed"}`)

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

// Release ends a lease before it lapses.
func (c *Client) Release(ctx context.Context, address string, fence int64) error {
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
	url := taskURL(start.Backend.Address, start.ID) + "?wait=" + statusWait.String()
	var status platform.TaskStatus
	code, header, err := c.call(traced, http.MethodPost, url, body, &status)
	if err != nil && !connected.Load() {
		return dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Error: err.Error()}
	}
	if err == nil && header.Get(platform.HeaderTask) != start.ID {
		crossedAnswers.Inc()
		return c.await(ctx, start)
	}
	if err == nil && header.Get(platform.HeaderRan) == "no" {
		return refused(code, start)
	}
	if err != nil || code >= http.StatusBadRequest {
		return c.await(ctx, start)
	}
	if outcome, ended := outcomeOf(&status, start.ID); ended {
		return outcome
	}
	return c.await(ctx, start)
}

// refused reads a refusal that started nothing; a worker that does not know the fencing token gets no more starts under it.
func refused(code int, start *dispatch.Start) dispatch.Outcome {
	outcome := dispatch.Outcome{
		Verdict: dispatch.VerdictNotRun,
		Error:   fmt.Sprintf("status %d", code),
		Busy:    code == http.StatusServiceUnavailable,
	}
	if code == http.StatusConflict {
		outcome.Busy = true
		outcome.FencingToken = start.Backend.FencingToken
	}
	return outcome
}

// Query asks a worker what it knows of a start.
func (c *Client) Query(ctx context.Context, stop *dispatch.Stop) (*platform.TaskStatus, error) {
	var status platform.TaskStatus
	code, _, err := c.call(ctx, http.MethodGet, taskURL(stop.Backend.Address, stop.ID)+"?wait="+statusWait.String(), nil, &status)
	if err != nil {
		return nil, err
	}
	if code != http.StatusOK {
		return nil, errors.Errorf("query: status %d", code)
	}
	return &status, nil
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

// await asks for the task's end by its identifier until the context ends or the worker does not know the task.
func (c *Client) await(ctx context.Context, start *dispatch.Start) dispatch.Outcome {
	lost := dispatch.Outcome{Verdict: dispatch.VerdictUnknown, Error: "the worker's answer is lost"}
	heard := time.Now()
	for ctx.Err() == nil && time.Since(heard) < silenceTimeout {
		status, err := c.Query(ctx, &dispatch.Stop{ID: start.ID, Backend: start.Backend})
		if err == nil && status.Task == start.ID {
			heard = time.Now()
			if outcome, ended := outcomeOf(status, start.ID); ended {
				return outcome
			}
			if status.State == platform.TaskAbsent {
				return lost
			}
			continue
		}
		if err == nil {
			crossedAnswers.Inc()
		}
		select {
		case <-ctx.Done():
		case <-time.After(statusRetry):
		}
	}
	return lost
}

func outcomeOf(status *platform.TaskStatus, id string) (outcome dispatch.Outcome, ended bool) {
	if status.Task != id {
		crossedAnswers.Inc()
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
