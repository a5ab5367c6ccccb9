package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxHold is the longest lease, bound max_hold_ms.
const maxHold = 1000

// beat is how often a minion writes its entry, heartbeat_ms.
const beat = 1500 * time.Millisecond

// minion is one minion in all of its lives. It follows the pages: it checks the token, the run's number and the lease,
// and a new life knows nothing of before.
type minion struct {
	id, zone, address string
	cpu               int64
	office            *office

	mu       sync.Mutex
	up       bool
	life     int
	epoch    time.Time
	token    int64
	lease    int64 // on its own clock
	running  map[runKey]*time.Timer
	ended    [][]any
	number   int
	barred   map[string]int
	news     chan struct{} // closed at the next end
	sequence int
	server   *http.Server
	conns    map[net.Conn]bool
}

type runKey struct {
	task string
	run  int
}

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Lease int64  `json:"deadline_ms"`
	Token int64  `json:"fencing_token"`
	Ack   int    `json:"ack_position"`
	Wait  int64  `json:"wait_ms"`
}

// work is what a task does, in its job's spec.
type work struct {
	Milliseconds int64 `json:"ms"`
}

// start begins a life at the minion's address.
func (m *minion) start() error {
	var listener net.Listener
	var err error
	for range 200 {
		if listener, err = net.Listen("tcp", m.address); err == nil {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.address = listener.Addr().String()
	m.up = true
	m.life++
	m.epoch = time.Now()
	m.token, m.lease, m.number = 0, 0, 0
	m.running, m.barred, m.ended = map[runKey]*time.Timer{}, map[string]int{}, [][]any{}
	m.news = make(chan struct{})
	m.conns = map[net.Conn]bool{}
	server := &http.Server{Handler: m.handler(m.life), ConnState: m.track}
	m.server = server
	m.mu.Unlock()
	m.office.record("%s begins life %d", m.id, m.life)
	go func() { _ = server.Serve(listener) }()
	m.register("ready")
	return nil
}

func (m *minion) track(conn net.Conn, state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state == http.StateNew {
		m.conns[conn] = true
	}
	if state == http.StateClosed {
		delete(m.conns, conn)
	}
}

// crash ends the life: all that runs is gone, connections are reset, new ones refused.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	m.up = false
	m.office.record("%s crashes in life %d", m.id, m.life)
	for key, timer := range m.running {
		timer.Stop()
		m.office.runEnds(m, key, "lost")
	}
	m.running = map[runKey]*time.Timer{}
	for conn := range m.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	server := m.server
	go func() { _ = server.Close() }()
}

// register writes the minion's entry.
func (m *minion) register(state string) {
	m.mu.Lock()
	m.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "sequence": m.sequence, "born": m.epoch.UnixMilli(),
		"capacity": map[string]int64{"cpu": m.cpu, "mem_mb": 131072, "gpu": 0}, "labels": []string{"a", "r-" + m.zone},
	})
	up := m.up
	m.mu.Unlock()
	if up {
		m.office.store.put("keyed.servers", m.id, entry)
	}
}

func (m *minion) handler(life int) http.Handler {
	mux := http.NewServeMux()
	serve := func(path string, do func(read *order, ctx context.Context) (int, any)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Chervilusher-Expected-Instance") != m.id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			var read order
			if err := json.NewDecoder(r.Body).Decode(&read); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			if path != "/-/hold" && m.office.loses(m, path, &read) {
				<-r.Context().Done() // it gets no answer
				return
			}
			status, body := do(&read, r.Context())
			m.mu.Lock()
			alive := m.up && m.life == life
			m.mu.Unlock()
			if !alive || status == 0 {
				panic(http.ErrAbortHandler)
			}
			writeJSON(w, status, body)
		})
	}
	serve("/-/run-start", func(read *order, _ context.Context) (int, any) { return m.begin(read, false) })
	serve("/-/run-stop", func(read *order, _ context.Context) (int, any) { return m.stop(read) })
	serve("/-/hold", m.hold)
	return mux
}

// clock returns the minion's steady clock; the caller holds the lock.
func (m *minion) clock() int64 {
	return time.Since(m.epoch).Milliseconds()
}

func (m *minion) body(reason string) map[string]any {
	body := map[string]any{"clock_ms": m.clock(), "born": m.epoch.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	return body
}

// admit takes the token in; it returns false for a lower one than was seen.
func (m *minion) admit(token int64) bool {
	if token < m.token {
		return false
	}
	m.token = token
	return true
}

func (m *minion) extend(until int64) {
	until = min(until, m.clock()+maxHold)
	if until <= m.lease {
		return
	}
	m.lease = until
	life := m.life
	time.AfterFunc(time.Duration(until-m.clock()+1)*time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.life != life || !m.up || m.clock() < m.lease {
			return
		}
		for key := range m.running {
			m.end(key, "lapsed")
		}
	})
}

// begin carries out a start.
func (m *minion) begin(read *order, late bool) (int, any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := runKey{read.Task, read.Run}
	switch {
	case !m.up:
		return 0, nil
	case !m.admit(read.Token):
		return http.StatusConflict, m.body("fence")
	case m.running[key] != nil:
		m.extend(read.Lease)
		return http.StatusOK, m.body("")
	case read.Run <= m.barred[read.Task]:
		m.extend(read.Lease)
		return http.StatusConflict, m.body("old")
	case read.Lease < m.clock():
		return http.StatusConflict, m.body("late")
	}
	var todo work
	if err := json.Unmarshal([]byte(read.Spec), &todo); err != nil {
		return http.StatusBadRequest, m.body("")
	}
	m.extend(read.Lease)
	life := m.life
	m.running[key] = time.AfterFunc(time.Duration(todo.Milliseconds)*time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.life == life && m.up && m.running[key] != nil {
			m.end(key, "done")
		}
	})
	m.office.runBegins(m, key, late)
	return http.StatusOK, m.body("")
}

// end lists the end of a run; the caller holds the lock.
func (m *minion) end(key runKey, how string) {
	m.running[key].Stop()
	delete(m.running, key)
	m.barred[key.task] = max(m.barred[key.task], key.run)
	m.number++
	m.ended = append(m.ended, []any{m.number, key.task, key.run, how, ""})
	m.office.runEnds(m, key, how)
	close(m.news)
	m.news = make(chan struct{})
}

func (m *minion) stop(read *order) (int, any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return 0, nil
	}
	if !m.admit(read.Token) {
		return http.StatusConflict, m.body("fence")
	}
	if key := (runKey{read.Task, read.Run}); m.running[key] != nil {
		m.end(key, "stopped")
	}
	m.barred[read.Task] = max(m.barred[read.Task], read.Run)
	return http.StatusOK, m.body("")
}

func (m *minion) hold(read *order, ctx context.Context) (int, any) {
	m.mu.Lock()
	if !m.up || !m.admit(read.Token) {
		defer m.mu.Unlock()
		if !m.up {
			return 0, nil
		}
		return http.StatusConflict, m.body("fence")
	}
	m.extend(read.Lease)
	for len(m.ended) > 0 && m.ended[0][0].(int) <= read.Ack {
		m.ended = m.ended[1:]
	}
	news, waits := m.news, len(m.ended) == 0
	m.mu.Unlock()
	if waits && read.Wait > 0 {
		select {
		case <-news:
		case <-time.After(time.Duration(read.Wait) * time.Millisecond):
		case <-ctx.Done():
			return 0, nil
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	body := m.body("")
	running := [][]any{}
	for key := range m.running {
		running = append(running, []any{key.task, key.run, "", 100})
	}
	body["running"], body["ended"] = running, m.ended
	return http.StatusOK, body
}

func (m *minion) String() string {
	return fmt.Sprintf("%s (life %d)", m.id, m.life)
}
