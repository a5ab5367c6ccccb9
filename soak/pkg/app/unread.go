package app

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/soak/pkg/faults"
	"chervilusher.dev/soak/pkg/yard"
)

const (
	// pauseTimeout bounds how long a process may take to stand still.
	pauseTimeout = 500 * time.Millisecond
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// longestHoldUp bounds how long after a reset its host goes on.
	longestHoldUp = 60 * time.Millisecond
	// unreadIDs and pinnedIDs are where the identifiers of other callers' jobs begin; those of pinned callers are as far apart.
	unreadIDs = 1 << 32
	pinnedIDs = 1 << 40
)

// runUnread sends jobs until the context ends whose first host reads them only after the reset of their connection.
func (c *callers) runUnread(ctx context.Context, breaker *faults.Breaker, gap time.Duration, log func(format string, values ...any)) {
	for ctx.Err() == nil {
		order := c.random.Perm(len(c.yard.Hosts))
		first, second := c.yard.Hosts[order[0]], c.yard.Hosts[order[1]]
		if breaker.Claim(first.Name) {
			err := c.sendUnread(first, second) // the host may not be up yet
			log("job %016x sent to %s, reset unread, and sent to %s: error %v", c.sent, first.Name, second.Name, err)
			breaker.Release(first.Name)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(float64(gap) * c.random.ExpFloat64())):
		}
	}
}

// sendUnread sends a job to a host that is paused, resets the connection, sends the job at once to the second host, and
// lets the first one go on a moment later.
func (c *callers) sendUnread(first, second *yard.Host) error {
	drawn := c.draw()
	drawn.leaving = 0
	holdUp := time.Duration(c.random.Int64N(int64(longestHoldUp)))
	defer first.Signal(syscall.SIGCONT)
	if err := c.sendAndReset(&drawn, first); err != nil {
		return err
	}
	var work sync.WaitGroup
	work.Go(func() { c.count(c.post(&drawn, second)) })
	time.Sleep(holdUp)
	first.Signal(syscall.SIGCONT)
	work.Wait()
	return nil
}

// sendAndReset pauses the host, sends it the job in full and resets the connection. The host has read nothing of it.
func (c *callers) sendAndReset(drawn *job, host *yard.Host) error {
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	request, err := drawn.request(ctx, host)
	if err != nil {
		return err
	}
	accepted := c.random.IntN(2) == 0 // before the pause
	if !accepted && !host.Pause(pauseTimeout) {
		return errors.Errorf("%s does not stand still", host.Name)
	}
	connection, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", host.Caller)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = connection.Close() }()
	if accepted && !host.Pause(pauseTimeout) {
		return errors.Errorf("%s does not stand still", host.Name)
	}
	if err := request.Write(connection); err != nil {
		return errors.WithStack(err)
	}
	if err := connection.(*net.TCPConn).SetLinger(0); err != nil {
		return errors.WithStack(err)
	}
	if err := connection.Close(); err != nil {
		return errors.WithStack(err)
	}
	if !host.IsPaused() {
		return errors.Errorf("%s went on before the reset", host.Name)
	}
	return nil
}
