package inflow

import (
	"sync"
)

// readAhead is the size of net/http's buffer of a connection.
const readAhead = 4 << 10

// phase is where a connection is with its request.
type phase uint8

const (
	idle       phase = iota // no byte of the next request was read
	head                    // some of it was read, and no handler has it
	body                    // its handler waits for the rest of the body
	serving                 // it was read whole
	discarding              // it is answered, and net/http reads a bounded rest of its body
	ended                   // it is refused, and nothing more is read
)

// budget is what all connections of a process hold together. It guards the fields of connections that say so.
type budget struct {
	limits Settings

	mu          sync.Mutex
	space       sync.Cond // bytes were given back, or somebody was condemned
	held        int64     // bytes of all connections
	freeing     int64     // those of them that condemned connections will give back
	turn        int64     // counts reads, to tell who has made no progress for longest
	connections map[*conn]struct{}
	serving     int // connections in that phase

	decoding chan struct{} // taken while a large body is decoded
}

func newBudget(limits Settings) *budget {
	b := &budget{limits: limits, connections: map[*conn]struct{}{}, decoding: make(chan struct{}, 1)}
	b.space.L = &b.mu
	return b
}

// take charges bytes that a connection has received, and waits for those to whose cost it is to give theirs back. It returns an
// error if the connection is one of these itself.
func (b *budget) take(c *conn, count int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	c.progress = b.turn
	if (c.phase == serving && !c.messages) || c.phase == discarding {
		return nil // what is read ahead of an answer is bounded by the buffers of net/http, and what is discarded isn't held
	}
	if c.phase == idle {
		c.phase = head
	}
	for !c.condemned {
		short := b.shortage(c, count)
		if short <= 0 {
			c.held += count
			b.held += count
			if c.phase == body {
				c.undecoded += count
			}
			return nil
		}
		victim := b.slowest(c)
		switch {
		case b.freeing >= short:
			b.space.Wait()
		case victim != nil:
			b.condemn(victim)
		case b.freeing > 0:
			b.space.Wait()
		default:
			b.condemn(c)
		}
	}
	return errCrowded
}

// shortage returns how many bytes must be given back before a connection may hold so many more.
func (b *budget) shortage(c *conn, count int64) int64 {
	limit := b.limits.Bytes
	if c.held+count > b.limits.Small {
		limit -= b.limits.Bytes / reservePart
	}
	return b.held + count - limit
}

// slowest returns the connection besides one that has made no progress for longest, of those with large requests if there are any.
func (b *budget) slowest(besides *conn) *conn {
	var found *conn
	for each := range b.connections {
		if each == besides || !b.mayGiveUp(each) {
			continue
		}
		if found == nil || b.isSlower(each, found) {
			found = each
		}
	}
	return found
}

// mayGiveUp reports whether a connection may be given up for the bytes that it holds. One that carries messages may receive the next
// message while a call of it is served.
func (b *budget) mayGiveUp(c *conn) bool {
	if c.condemned || c.held == 0 {
		return false
	}
	return c.phase == head || c.phase == body || (c.messages && c.held > b.limits.Small)
}

func (b *budget) isSlower(one, other *conn) bool {
	if oneLarge := one.held > b.limits.Small; oneLarge != (other.held > b.limits.Small) {
		return oneLarge
	}
	return one.progress < other.progress
}

// condemn ends what a connection sends: its handler refuses the request, or the connection is closed if it has none.
func (b *budget) condemn(c *conn) {
	refused.bytes.Inc()
	b.freeing += c.held
	c.condemned = true
	c.interrupt()
	b.space.Broadcast()
}

// setPhase moves a connection to a phase.
func (b *budget) setPhase(c *conn, to phase) {
	if c.phase == serving {
		b.serving--
	}
	if to == serving {
		b.serving++
	}
	c.phase = to
}

// serve moves a connection to serving, and reports whether another one may be served: some are kept for newcomers, who would get no
// answer otherwise, not even a refusal.
func (b *budget) serve(c *conn) bool {
	if b.serving >= b.limits.served() {
		refused.served.Inc()
		return false
	}
	b.setPhase(c, serving)
	return true
}

// release gives all bytes of a connection back.
func (b *budget) release(c *conn) {
	if c.condemned {
		b.freeing -= c.held
	}
	b.held -= c.held
	c.held = 0
	b.space.Broadcast()
}

// settle notes that so many bytes of a body were decoded. Of those that were charged and not decoded, what net/http cannot have read
// ahead is the framing of chunks, which isn't held.
func (b *budget) settle(c *conn, decoded int64) {
	c.undecoded = max(0, c.undecoded-decoded)
	framing := min(c.undecoded-readAhead, c.held)
	if framing <= 0 || c.condemned {
		return
	}
	c.undecoded -= framing
	c.held -= framing
	b.held -= framing
	b.space.Broadcast()
}

// admit counts a new connection. If there are too many, it returns one that is to be closed for it, which is the new one only if
// calls of all others are being served.
func (b *budget) admit(c *conn) (victim *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	c.progress = b.turn
	b.connections[c] = struct{}{}
	if len(b.connections) <= b.limits.Connections {
		return nil
	}
	refused.connections.Inc()
	victim = c
	for each := range b.connections {
		if each != c && each.phase != serving && (victim == c || closesBefore(each, victim)) {
			victim = each
		}
	}
	b.forget(victim)
	return victim
}

// closesBefore reports whether one connection is closed rather than another: unused ones first, then the slowest.
func closesBefore(one, other *conn) bool {
	if unused := one.isUnused(); unused != other.isUnused() {
		return unused
	}
	return one.progress < other.progress
}

// forget takes a connection out that is closed.
func (b *budget) forget(c *conn) {
	if _, ok := b.connections[c]; !ok {
		return
	}
	b.release(c)
	b.setPhase(c, ended)
	delete(b.connections, c)
	c.condemned = true
}
