package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// downTime is how long a runner is down that a task has crashed.
const downTime = 2 * time.Second

// reopenInterval is the delay before a listener whose address is in use tries again.
const reopenInterval = 5 * time.Millisecond

// lose ends all that runs, without a trace; the caller holds the lock.
func (r *Runner) lose() {
	for task, running := range r.running {
		running.timer.Stop()
		r.ledger.crash(r.ID, task)
	}
	r.running = map[string]*run{}
}

// CrashFor crashes the runner and starts it anew after a while, during which it refuses connections.
func (r *Runner) CrashFor(length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashFor(length)
}

// crashFor is CrashFor for a caller that holds the lock.
func (r *Runner) crashFor(length time.Duration) {
	if r.down {
		return
	}
	r.lose()
	r.down = true
	if r.listener != nil {
		r.listener.suspend()
	}
	for connection := range r.connections {
		reset(connection)
	}
	clear(r.connections)
	listens := r.listener
	r.clock.AfterFunc(length, func() {
		if listens != nil {
			listens.resume()
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.birth()
		r.down = false
	})
}

// IsDown reports whether the runner has crashed and is not back yet.
func (r *Runner) IsDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// whileUp breaks connections off while the runner is down.
func (r *Runner) whileUp(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if r.IsDown() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, request)
	})
}

// Listener returns a listener that refuses connections while the runner is down, and whose connections are reset when it
// crashes.
func (r *Runner) Listener(under net.Listener) net.Listener {
	wrapped := &listener{runner: r, address: under.Addr(), under: under, closed: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener = wrapped
	return wrapped
}

type listener struct {
	runner  *Runner
	address net.Addr
	closed  chan struct{}
	close   sync.Once

	mu      sync.Mutex
	under   net.Listener
	resumed chan struct{} // closed once it listens again; nil before the first suspension
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.current().Accept()
		if err != nil {
			if !l.awaitResume() {
				return nil, err
			}
			continue
		}
		if l.runner.track(accepted) {
			return &connection{Conn: accepted, runner: l.runner}, nil
		}
		reset(accepted)
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	return l.address
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return l.current().Close()
}

func (l *listener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.under
}

// suspend refuses connections until resume.
func (l *listener) suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resumed = make(chan struct{})
	_ = l.under.Close()
}

// resume listens again at the same address, unless the listener is closed.
func (l *listener) resume() {
	var config net.ListenConfig
	for {
		under, err := config.Listen(context.Background(), "tcp", l.address.String())
		if err == nil {
			l.replace(under)
			return
		}
		select {
		case <-l.closed:
			return
		case <-l.runner.clock.After(reopenInterval):
		}
	}
}

func (l *listener) replace(under net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.under = under
	close(l.resumed)
	select {
	case <-l.closed:
		_ = under.Close()
	default:
	}
}

// awaitResume waits until a suspended listener listens again; it returns false if it is closed or was not suspended.
func (l *listener) awaitResume() bool {
	l.mu.Lock()
	resumed := l.resumed
	l.mu.Unlock()
	if resumed == nil {
		return false
	}
	select {
	case <-l.closed:
		return false
	case <-resumed:
		return true
	}
}

// track notes a connection, and reports false while the runner is down.
func (r *Runner) track(accepted net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return false
	}
	r.connections[accepted] = struct{}{}
	return true
}

type connection struct {
	net.Conn
	runner *Runner
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.runner.mu.Lock()
	delete(c.runner.connections, c.Conn)
	c.runner.mu.Unlock()
	return c.Conn.Close()
}

// reset closes a connection so that its other end sees an error and no end of data.
func reset(of net.Conn) {
	if tcp, ok := of.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = of.Close()
}
