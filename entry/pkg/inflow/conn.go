package inflow

import (
	"bytes"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

const (
	// lineBytes is what a line of a head costs beside its text, as an entry of a map.
	lineBytes = 128
	// answerTime is how long a connection whose request was refused before it was read whole stays open for its client to
	// read the answer; closing it with unread bytes may lose the answer.
	answerTime = 500 * time.Millisecond
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// conn is a client's connection whose bytes are counted.
type conn struct {
	*net.TCPConn
	budget *budget
	clock  clockwork.Clock
	inBody atomic.Bool // its handler waits for the rest of a body

	messages bool // it carries messages and no HTTP

	writesUntil atomic.Pointer[time.Time] // the deadline of writes

	// The budget guards what follows.
	phase     phase
	held      int64
	progress  int64 // the turn of its last byte
	headHeld  int64 // bytes when its handler began
	condemned bool  // nothing more is read from it
	closing   bool
	limited   bool // its deadline is that of a body
	began     time.Time
	received  int64 // bytes of the body since then
	undecoded int64 // charged bytes of the body that were not decoded yet
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	inBody := c.inBody.Load()
	if inBody && !c.limitTime() {
		return 0, errCrowded
	}
	count, err := c.TCPConn.Read(buffer)
	if count > 0 {
		cost := int64(count)
		if !inBody && !c.messages {
			cost += lineBytes * int64(bytes.Count(buffer[:count], []byte{'\n'}))
		}
		if err := c.budget.take(c, cost); err != nil {
			return 0, err
		}
	}
	if err != nil {
		err = c.explain(err)
	}
	return count, err
}

// limitTime sets the deadline of a body's next bytes; it returns false if none are to be read.
func (c *conn) limitTime() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.condemned || c.phase == ended {
		return false
	}
	now := c.clock.Now()
	if c.phase == discarding && !c.limited {
		c.limited = true
		_ = c.TCPConn.SetReadDeadline(now.Add(c.budget.limits.StallTime.Std()))
	}
	if c.phase != body {
		return true
	}
	if !c.limited {
		c.limited, c.began, c.received = true, now, 0
	}
	limits := &c.budget.limits
	stall := limits.StallTime.Std()
	least := time.Duration(float64(c.received) / float64(limits.Rate) * float64(time.Second))
	at := c.began.Add(stall + least)
	if next := now.Add(stall); next.Before(at) {
		at = next
	}
	_ = c.TCPConn.SetReadDeadline(at)
	return true
}

// explain returns why a read has failed.
func (c *conn) explain(err error) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	late := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case c.condemned:
		return errCrowded
	case !late:
	case c.phase == body:
		refused.slow.Inc()
		return errSlow
	case c.phase == head:
		refused.slowHead.Inc()
	}
	return err
}

// interrupt ends the reads of a condemned connection. One without a handler is closed by its reader.
func (c *conn) interrupt() {
	_ = c.TCPConn.SetReadDeadline(past)
}

// SetReadDeadline implements net.Conn. A condemned connection keeps its deadline.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.condemned {
		at = past
	}
	if c.phase == discarding && at.After(past) { // net/http has discarded the rest, and waits for the next request
		c.inBody.Store(false)
		c.phase, c.limited = idle, false
	}
	return c.TCPConn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.SetWriteDeadline(at)
}

// Write implements net.Conn. A client that does not take its answer is cut off after one to two stall times; a deadline that
// leaves one is not set anew.
func (c *conn) Write(data []byte) (int, error) {
	now, stall := c.clock.Now(), c.budget.limits.StallTime.Std()
	if set := c.writesUntil.Load(); set == nil || set.Sub(now) < stall {
		at := now.Add(2 * stall)
		if err := c.SetWriteDeadline(at); err != nil {
			return 0, err
		}
		c.writesUntil.Store(&at)
	}
	return c.TCPConn.Write(data)
}

// Close implements net.Conn. After a refusal it leaves the client time to read the answer.
func (c *conn) Close() error {
	c.budget.mu.Lock()
	if c.phase == head && c.held > int64(c.budget.limits.Head) && !c.condemned {
		refused.head.Inc()
	}
	c.budget.release(c)
	refusing := c.phase == ended && !c.closing
	c.closing = true
	c.budget.mu.Unlock()
	if refusing {
		c.clock.AfterFunc(answerTime, func() { _ = c.close() })
		return c.CloseWrite()
	}
	return c.close()
}

func (c *conn) close() error {
	err := c.TCPConn.Close()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.forget(c)
	return err
}

// isUnused reports whether no request is in progress. The budget's lock is held.
func (c *conn) isUnused() bool {
	return c.phase == idle || c.phase == discarding || c.phase == ended
}

// begin notes that a handler has the request; it returns false if the connection was condemned before, or too many are being served.
func (c *conn) begin(hasBody bool) bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.condemned {
		return false
	}
	c.limited, c.headHeld, c.undecoded = false, c.held, 0
	if !hasBody {
		return c.budget.serve(c)
	}
	c.phase = body
	c.inBody.Store(true)
	return true
}

// count notes bytes of the body.
func (c *conn) count(bytes int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.received += bytes
	c.budget.settle(c, bytes)
}

// finishBody notes that the body was read whole. It returns an error if the connection was condemned before, or too many are being
// served.
func (c *conn) finishBody() error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.condemned || !c.budget.serve(c) {
		return errCrowded
	}
	c.inBody.Store(false)
	c.resetDeadline()
	return nil
}

// resetDeadline takes the deadline of a body away, since net/http reads on to notice that the client leaves.
func (c *conn) resetDeadline() {
	if c.limited {
		c.limited = false
		_ = c.TCPConn.SetReadDeadline(time.Time{})
	}
}

// stop notes that the rest of the body is not to be read.
func (c *conn) stop() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.setPhase(c, ended)
}

// handOn gives the bytes of the request back, which is kept elsewhere or no longer needed. It returns how many its head had.
func (c *conn) handOn() int64 {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.release(c)
	return c.headHeld
}

// end notes that the request is answered.
func (c *conn) end() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.release(c)
	c.budget.turn++
	c.progress = c.budget.turn
	switch c.phase {
	case ended:
	case body:
		c.phase, c.limited = discarding, false
	default:
		c.inBody.Store(false)
		c.budget.setPhase(c, idle)
	}
}
