package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/api"
)

const (
	// exchangeSlack is how much longer than its wait one HTTP request may take.
	exchangeSlack = 10 * time.Second
	// maxAnswerBytes is the largest answer that is read.
	maxAnswerBytes = 64 << 20
	// firstDelay is the delay before the first retry; it doubles each time.
	firstDelay = 50 * time.Millisecond
	// maxDelay is the longest delay that the client chooses by itself.
	maxDelay = 2 * time.Second
)

// exchange is one request to an entry host and its answer.
type exchange struct {
	method string
	path   string
	wait   time.Duration
	handle Handle
	body   any
	cancel bool // the answer "cancelled" is what the caller asked for
}

func jobPath(handle Handle) string {
	return "/v1/jobs/" + url.PathEscape(handle.Key)
}

// exchange sends the request, to one entry host after another while no answer comes, always under the same handle.
func (c *Client) exchange(ctx context.Context, call exchange) (*api.Answer, error) {
	first := c.firstEntry()
	// A question about an earlier submission cannot show that this one was never sent.
	lost := &LostError{Sent: call.body == nil && call.handle.Key != "", Cause: errors.New("not tried")}
	for attempt := range c.options.Attempts {
		entry := (first + attempt) % len(c.options.Entries)
		answer, err := c.ask(ctx, entry, call)
		last := attempt+1 == c.options.Attempts
		if err == nil && (last || !askAgain(answer)) {
			return c.settle(answer, call)
		}
		wait := time.Duration(0)
		if err != nil {
			lost.Cause = err
			lost.Sent = lost.Sent || !neverSent(err)
		} else {
			lost.Cause = &Error{Answer: *answer}
			lost.Sent = true
			wait = answer.RetryAfter.Std()
		}
		if !c.pause(ctx, delay(attempt/len(c.options.Entries), wait)) {
			break
		}
	}
	if ctx.Err() != nil {
		lost.Cause = ctx.Err()
	}
	return nil, lost
}

// askAgain reports whether the home could not be reached now, so that the outcome may be learnt later.
func askAgain(answer *api.Answer) bool {
	return answer.Code == api.CodeUnavailable && answer.Ran == api.RanUnknown
}

// settle turns an answer that is neither running nor as wanted into an error.
func (c *Client) settle(answer *api.Answer, call exchange) (*api.Answer, error) {
	switch {
	case answer.State == api.StateRunning:
		if c.options.Progress != nil {
			c.options.Progress(*answer)
		}
		return answer, nil
	case answer.State == api.StateComplete:
		return answer, nil
	case call.cancel && answer.State == api.StateCancelled:
		return answer, nil
	default:
		return nil, &Error{Answer: *answer}
	}
}

func (c *Client) ask(ctx context.Context, entry int, call exchange) (*api.Answer, error) {
	var answer api.Answer
	err := c.roundTrip(ctx, entry, call, &answer)
	var refusal *Error
	if errors.As(err, &refusal) {
		answer = refusal.Answer
		err = nil
	}
	if err != nil {
		return nil, err
	}
	if answer.Key != "" && answer.Key != call.handle.Key {
		return nil, errors.Errorf("the answer is to the submission %q", answer.Key)
	}
	return &answer, nil
}

// roundTrip sends one HTTP request and decodes a 2xx body into target; another status with an answer is an *Error.
func (c *Client) roundTrip(ctx context.Context, entry int, call exchange, target any) error {
	ctx, stop := context.WithTimeout(ctx, call.wait+exchangeSlack)
	defer stop()
	request, err := c.request(ctx, entry, call)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "the answer broke off")
	}
	c.keepTicket(response.Header.Get(api.HeaderTicket), entry)
	if response.StatusCode < http.StatusMultipleChoices {
		return errors.Wrap(json.Unmarshal(body, target), "the answer is not valid JSON")
	}
	var answer api.Answer
	if err := json.Unmarshal(body, &answer); err != nil || answer.State == "" {
		return errors.Errorf("status %d without an answer", response.StatusCode)
	}
	return &Error{Answer: answer}
}

func (c *Client) request(ctx context.Context, entry int, call exchange) (*http.Request, error) {
	address := c.options.Entries[entry] + call.path
	if call.wait > 0 {
		address += "?wait=" + url.QueryEscape(call.wait.String())
	}
	var body io.Reader
	if call.body != nil {
		raw, err := json.Marshal(call.body)
		if err != nil {
			return nil, errors.Wrap(err, "the submission cannot be written as JSON")
		}
		body = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, address, body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// Without GetBody net/http does not repeat a submission by itself; a repeat that finds no host would look never sent.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.options.Token)
	if call.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if call.handle.Ticket != "" {
		request.Header.Set(api.HeaderTicket, call.handle.Ticket)
	}
	if call.handle.Key != "" {
		request.Header.Set(api.HeaderKey, call.handle.Key)
	}
	return request, nil
}

// delay returns the time before the next attempt: what the host asked for, or an exponential delay if that is longer.
func delay(round int, asked time.Duration) time.Duration {
	own := maxDelay
	if round < 6 {
		own = min(firstDelay<<round, maxDelay)
	}
	return max(own, asked)
}
