package runner

import (
	"net"
	"net/http"
	"time"
)

// downTime is how long a runner is down that a task has crashed.
const downTime = 2 * time.Second

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
	for connection := range r.connections {
		reset(connection)
	}
	clear(r.connections)
	r.clock.AfterFunc(length, func() {
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

// Listener returns a listener whose connections are reset when the runner crashes, and at once while it is down.
func (r *Runner) Listener(under net.Listener) net.Listener {
	return &listener{Listener: under, runner: r}
}

type listener struct {
	net.Listener
	runner *Runner
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.runner.track(accepted) {
			return &connection{Conn: accepted, runner: l.runner}, nil
		}
		reset(accepted)
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
