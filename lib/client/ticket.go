package client

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"chervilusher.dev/lib/api"
)

const (
	// ticketMargin is how long before its end a ticket is no longer used for new keys.
	ticketMargin = 2 * time.Second
	// repeatedTicketLife is how long a ticket that an answer's header carried counts as current.
	repeatedTicketLife = 5 * time.Second
)

// cachedTicket is the ticket under which new keys are minted.
type cachedTicket struct {
	text   string
	entry  int       // index of the entry host that gave it
	expiry time.Time // when no more keys are minted under it
}

// Mint returns a handle with a new key under a current ticket, and fetches a ticket if none is at hand.
func (c *Client) Mint(ctx context.Context) (Handle, error) {
	ticket, err := c.Ticket(ctx)
	if err != nil {
		return Handle{}, err
	}
	return Handle{Key: uuid.NewString(), Ticket: ticket}, nil
}

// Ticket returns a current ticket, from the cache if it holds one.
func (c *Client) Ticket(ctx context.Context) (string, error) {
	if text, ok := c.currentTicket(); ok {
		return text, nil
	}
	var ticket api.Ticket
	entry, err := c.fetchTicket(ctx, &ticket)
	if err != nil {
		return "", errors.Wrap(err, "get a ticket")
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ticket = cachedTicket{text: ticket.Ticket, entry: entry, expiry: c.clock.Now().Add(ticket.Left.Std() - ticketMargin)}
	return ticket.Ticket, nil
}

func (c *Client) currentTicket() (string, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ticket.text == "" || !c.clock.Now().Before(c.ticket.expiry) {
		return "", false
	}
	return c.ticket.text, true
}

// keepTicket takes over the ticket of an answer's header, which names the current one of the host that answered.
func (c *Client) keepTicket(text string, entry int) {
	if text == "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	expiry := c.clock.Now().Add(repeatedTicketLife)
	if c.ticket.text == text && c.ticket.expiry.After(expiry) {
		return
	}
	c.ticket = cachedTicket{text: text, entry: entry, expiry: expiry}
}

func (c *Client) dropTicket(text string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ticket.text == text {
		c.ticket = cachedTicket{entry: c.ticket.entry + 1}
	}
}

// firstEntry returns the index of the entry host to try first.
func (c *Client) firstEntry() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ticket.entry
}

func (c *Client) fetchTicket(ctx context.Context, into *api.Ticket) (int, error) {
	first := c.firstEntry()
	var last error
	for attempt := range c.options.Attempts {
		entry := (first + attempt) % len(c.options.Entries)
		last = c.roundTrip(ctx, entry, exchange{method: http.MethodPost, path: "/v1/tickets"}, into)
		if last == nil {
			return entry, nil
		}
		var refusal *Error
		if errors.As(last, &refusal) && !refusal.Repeatable() {
			return 0, last
		}
		if !c.pause(ctx, delay(attempt/len(c.options.Entries), 0)) {
			break
		}
	}
	return 0, last
}
