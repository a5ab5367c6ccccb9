package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"chervilusher.dev/lib/api"
)

// ticketMargin is how long before its end a ticket is replaced.
const ticketMargin = 5 * time.Second

// ticketID names the ticket of one owner at one host.
type ticketID struct {
	owner string
	host  string
}

// cached is a ticket and when a new one is due.
type cached struct {
	mu    sync.Mutex
	token string
	due   time.Time
}

// tickets keeps one ticket for each owner and host.
type tickets struct {
	mu   sync.Mutex
	byID map[ticketID]*cached
}

// get returns a ticket that is still good, and asks the host for one if need be.
func (t *tickets) get(ctx context.Context, c *Caller, owner, host string) (string, error) {
	t.mu.Lock()
	kept, ok := t.byID[ticketID{owner, host}]
	if !ok {
		kept = &cached{}
		t.byID[ticketID{owner, host}] = kept
	}
	t.mu.Unlock()
	kept.mu.Lock()
	defer kept.mu.Unlock()
	if time.Now().Before(kept.due) {
		return kept.token, nil
	}
	var ticket api.Ticket
	request := call{method: http.MethodPost, host: host, path: "/v1/tickets", owner: owner}
	if err := c.exchange(ctx, request, &ticket); err != nil {
		return "", err
	}
	kept.token = ticket.Ticket
	kept.due = time.Now().Add(ticket.Left.Std() - ticketMargin)
	return kept.token, nil
}

// drop forgets a ticket whose home is gone.
func (t *tickets) drop(owner, host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, ticketID{owner, host})
}
