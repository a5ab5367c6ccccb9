package client

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"chervilusher.dev/lib/api"
)

// Defaults of Options.
const (
	defaultPoll     = 20 * time.Second
	defaultAttempts = 6
)

// Options says where a client sends and how patient it is.
type Options struct {
	Entries  []string         // base URLs of entry hosts or of a balancer, such as "http://127.0.0.1:7100"
	Token    string           // the owner's bearer token
	Poll     time.Duration    // longest wait of one HTTP request; zero means 20 s
	Attempts int              // tries of one exchange, and of one piece of work that was refused; zero means 6
	Progress func(api.Answer) // called with each answer of a submission that still runs; may be nil
}

// Client submits work for one owner and is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	clock   clockwork.Clock

	mutex  sync.Mutex
	ticket cachedTicket
}

// Handle identifies one submission; sent again, it never runs a second time.
type Handle struct {
	Key    string `json:"key"`
	Ticket string `json:"ticket"`
}

// New returns a client; the error names the option that is wrong.
func New(options Options, httpClient *http.Client, clock clockwork.Clock) (*Client, error) {
	if len(options.Entries) == 0 {
		return nil, errors.New("no entry host is given; name at least one base URL")
	}
	entries := make([]string, 0, len(options.Entries))
	for _, entry := range options.Entries {
		if !strings.HasPrefix(entry, "http://") && !strings.HasPrefix(entry, "https://") {
			return nil, errors.Errorf("entry host %q is not a URL; write it as \"http://ADDRESS:PORT\"", entry)
		}
		entries = append(entries, strings.TrimRight(entry, "/"))
	}
	options.Entries = entries
	if options.Poll <= 0 {
		options.Poll = defaultPoll
	}
	if options.Attempts <= 0 {
		options.Attempts = defaultAttempts
	}
	return &Client{options: options, http: httpClient, clock: clock}, nil
}

// Submit sends a job and returns once it is accepted or ended; sending the same handle again joins the first submission.
func (c *Client) Submit(ctx context.Context, handle Handle, submission api.Submission) (*api.Answer, error) {
	return c.submit(ctx, handle, submission, 0)
}

// Run submits a job, waits for its final answer, and tries again under a new handle when it was refused without being run.
func (c *Client) Run(ctx context.Context, submission api.Submission) (*api.Answer, error) {
	return c.untilAccepted(ctx, func(handle Handle) (*api.Answer, error) {
		return c.RunAs(ctx, handle, submission)
	})
}

// RunAs submits a job under a handle and waits for its final answer.
func (c *Client) RunAs(ctx context.Context, handle Handle, submission api.Submission) (*api.Answer, error) {
	answer, err := c.submit(ctx, handle, submission, c.options.Poll)
	if err != nil || answer.Final() {
		return answer, err
	}
	return c.Wait(ctx, handle)
}

// Request sends a single request, waits for its final answer, and tries again when it was refused without being run.
func (c *Client) Request(ctx context.Context, request api.Request) (*api.Answer, error) {
	return c.untilAccepted(ctx, func(handle Handle) (*api.Answer, error) {
		return c.RequestAs(ctx, handle, request)
	})
}

// RequestAs sends a single request under a handle and waits for its final answer.
func (c *Client) RequestAs(ctx context.Context, handle Handle, request api.Request) (*api.Answer, error) {
	answer, err := c.exchange(ctx, exchange{
		method: http.MethodPost, path: "/v1/requests", wait: c.options.Poll, handle: handle, body: request,
	})
	if err != nil || answer.Final() {
		return answer, err
	}
	return c.Wait(ctx, handle)
}

// Wait returns a submission's final answer; anything but a complete one is an *Error.
func (c *Client) Wait(ctx context.Context, handle Handle) (*api.Answer, error) {
	for {
		answer, err := c.Look(ctx, handle, c.options.Poll)
		if err != nil || answer.Final() {
			return answer, err
		}
	}
}

// Look asks for a submission's answer and waits at most that long for a final one.
func (c *Client) Look(ctx context.Context, handle Handle, wait time.Duration) (*api.Answer, error) {
	return c.exchange(ctx, exchange{method: http.MethodGet, path: jobPath(handle), wait: wait, handle: handle})
}

// Cancel drops what has not started of a submission and stops what runs.
func (c *Client) Cancel(ctx context.Context, handle Handle) (*api.Answer, error) {
	return c.exchange(ctx, exchange{method: http.MethodDelete, path: jobPath(handle), handle: handle, cancel: true})
}

func (c *Client) submit(ctx context.Context, handle Handle, submission api.Submission, wait time.Duration) (*api.Answer, error) {
	return c.exchange(ctx, exchange{
		method: http.MethodPost, path: "/v1/jobs", wait: wait, handle: handle, body: submission,
	})
}

// untilAccepted repeats work under new handles while the answer says that nothing was run and that a later try may succeed.
func (c *Client) untilAccepted(ctx context.Context, work func(Handle) (*api.Answer, error)) (*api.Answer, error) {
	for attempt := 1; ; attempt++ {
		handle, err := c.Mint(ctx)
		if err != nil {
			return nil, err
		}
		answer, err := work(handle)
		var refusal *Error
		if err == nil || !errors.As(err, &refusal) || !refusal.Repeatable() || attempt >= c.options.Attempts {
			return answer, err
		}
		if refusal.Answer.Code == api.CodeBadTicket || refusal.Answer.Code == api.CodeDraining {
			c.dropTicket(handle.Ticket)
		}
		if !c.pause(ctx, delay(attempt, refusal.Answer.RetryAfter.Std())) {
			return answer, err
		}
	}
}

// pause waits and reports false if the context would end first.
func (c *Client) pause(ctx context.Context, length time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < length {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.clock.After(length):
		return true
	}
}
