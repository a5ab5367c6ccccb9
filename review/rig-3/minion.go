package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"
)

const (
	// longestHold is max_hold_ms, what a longer lease is shortened to.
	longestHold = time.Second
	// stopTime is at most stop_ms.
	stopTime = 20 * time.Millisecond
	// endsPerAnswer is how many ends one answer lists.
	endsPerAnswer = 500
)

// work is what a task does, as its job's spec says.
type work struct {
	Milliseconds int   `json:"ms"`
	Cores        int64 `json:"c"`
}

// minion is a stand-in for one minion; it starts whatever it is told to.
type minion struct {
	id, zone string
	address  string // under which it is registered
	record   *record

	mu       sync.Mutex
	began    time.Time
	token    int64
	lease    time.Time
	running  map[string]*run
	ends     [][]any
	number   int
	barred   map[string]int
	ended    chan struct{} // closed at the next end
	sequence int
	down     bool // its process has ended, and callers hear nothing
	// lose returns after which time an order that gets no answer is carried out, or 0; it is called under the lock.
	lose func(m *minion, r *http.Request, given *order) time.Duration
	// watch is called under the lock when a run has begun.
	watch func(m *minion, task string, given *order)
	out   *minionServer
}

type run struct {
	number   int
	cores    int64
	stopping bool
	timer    *time.Timer
}

func newMinion(id, zone string, record *record) *minion {
	return &minion{id: id, zone: zone, record: record, began: time.Now(), running: map[string]*run{}, barred: map[string]int{}, ended: make(chan struct{})}
}

// handler returns the minion's interface.
func (m *minion) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", m.guard(m.start))
	mux.HandleFunc("POST /-/run-stop", m.guard(m.stop))
	mux.HandleFunc("POST /-/hold", m.guard(m.hold))
	return mux
}

type order struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Lease int64  `json:"deadline_ms"`
	Token int64  `json:"fencing_token"`
	Ack   int    `json:"ack_position"`
	Wait  int    `json:"wait_ms"`
	late  bool   // it got no answer, and is carried out late
}

// guard reads an order, and refuses one for another minion or with a lower token. The order is given under the lock.
func (m *minion) guard(serve func(w http.ResponseWriter, r *http.Request, given *order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var given order
		if err := json.NewDecoder(r.Body).Decode(&given); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.lose != nil && r.URL.Path != "/-/hold" {
			if after := m.lose(m, r, &given); after > 0 {
				m.carryOutLate(after, r, &given, serve)
				m.mu.Unlock()
				<-r.Context().Done()
				m.mu.Lock()
				return
			}
		}
		switch {
		case r.Header.Get("Chervilusher-Expected-Instance") != m.id:
			m.answer(w, http.StatusMisdirectedRequest, map[string]any{})
		case given.Token < m.token:
			m.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		default:
			m.token = given.Token
			serve(w, r, &given)
		}
	}
}

// carryOutLate carries out an order that got no answer, in whatever life the minion then is.
func (m *minion) carryOutLate(after time.Duration, r *http.Request, given *order, serve func(http.ResponseWriter, *http.Request, *order)) {
	m.record.note("minion %s (%s): %s of run %d of %s, token %d, gets no answer", m.id, m.zone, r.URL.Path, given.Run, given.Task, given.Token)
	copied := r.Clone(context.Background())
	time.AfterFunc(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.down || given.Token < m.token {
			m.record.note("minion %s (%s): the late order for %s is not carried out", m.id, m.zone, given.Task)
			return
		}
		m.record.note("minion %s (%s): the late order for %s is carried out", m.id, m.zone, given.Task)
		m.token, given.late = given.Token, true
		serve(httptest.NewRecorder(), copied, given)
	})
}

// clock returns the minion's steady clock in milliseconds.
func (m *minion) clock() int64 { return time.Since(m.began).Milliseconds() }

func (m *minion) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = m.clock(), m.began.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (m *minion) extend(milliseconds int64) {
	until := m.began.Add(time.Duration(milliseconds) * time.Millisecond)
	if latest := time.Now().Add(longestHold); until.After(latest) {
		until = latest
	}
	if until.After(m.lease) {
		m.lease = until
		time.AfterFunc(time.Until(until)+time.Millisecond, m.lapse)
	}
}

func (m *minion) lapse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().Before(m.lease) {
		return
	}
	for task := range m.running {
		m.end(task, "lapsed")
	}
}

func (m *minion) start(w http.ResponseWriter, _ *http.Request, given *order) {
	present := m.running[given.Task]
	reason := ""
	switch {
	case present != nil && present.number == given.Run:
		m.answer(w, http.StatusOK, map[string]any{})
		return
	case given.Run <= m.barred[given.Task]:
		reason = "old"
		m.extend(given.Lease)
	case given.Lease < m.clock():
		reason = "late"
	}
	if reason != "" {
		m.answer(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	var wanted work
	if err := json.Unmarshal([]byte(given.Spec), &wanted); err != nil {
		m.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	m.extend(given.Lease)
	begun := &run{number: given.Run, cores: wanted.Cores}
	begun.timer = time.AfterFunc(time.Duration(wanted.Milliseconds)*time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.running[given.Task] == begun && !begun.stopping {
			m.end(given.Task, "done")
		}
	})
	m.running[given.Task] = begun
	if m.watch != nil {
		m.watch(m, given.Task, given)
	}
	m.record.note("minion %s (%s): run %d of %s starts, token %d", m.id, m.zone, given.Run, given.Task, given.Token)
	m.answer(w, http.StatusOK, map[string]any{})
}

// end lists the end of a run; the caller holds the lock.
func (m *minion) end(task, how string) {
	ended := m.running[task]
	ended.timer.Stop()
	delete(m.running, task)
	m.barred[task] = max(m.barred[task], ended.number)
	m.number++
	m.ends = append(m.ends, []any{m.number, task, ended.number, how, ""})
	m.record.note("minion %s (%s): run %d of %s ends: %s", m.id, m.zone, ended.number, task, how)
	close(m.ended)
	m.ended = make(chan struct{})
}

func (m *minion) stop(w http.ResponseWriter, _ *http.Request, given *order) {
	m.barred[given.Task] = max(m.barred[given.Task], given.Run)
	if present := m.running[given.Task]; present != nil && present.number == given.Run && !present.stopping {
		present.stopping = true
		time.AfterFunc(stopTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.running[given.Task] == present {
				m.end(given.Task, "stopped")
			}
		})
	}
	m.answer(w, http.StatusOK, map[string]any{})
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, given *order) {
	life := m.began
	m.extend(given.Lease)
	m.ends = slices.DeleteFunc(m.ends, func(end []any) bool { return end[0].(int) <= given.Ack })
	if len(m.ends) == 0 && given.Wait > 0 {
		ended := m.ended
		m.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Duration(given.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		m.mu.Lock()
	}
	if m.down {
		life = time.Time{}
	}
	if m.began != life {
		m.mu.Unlock()
		<-r.Context().Done() // the life that was asked has ended
		m.mu.Lock()
		return
	}
	running := [][]any{}
	for task, present := range m.running {
		running = append(running, []any{task, present.number, "", 100})
	}
	ends := append([][]any{}, m.ends[:min(len(m.ends), endsPerAnswer)]...)
	m.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ends})
}

// entry returns what the minion says of itself in the store.
func (m *minion) entry() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"sequence":%d,`+
		`"born":%d,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-%s"]}`,
		service, m.address, m.zone, m.sequence, m.began.UnixMilli(), m.zone)
}

// tasks returns the tasks that run.
func (m *minion) tasks() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for task := range m.running {
		names = append(names, task)
	}
	return names
}

// crash ends all that runs without a trace; the minion starts anew under its id after a time.
func (m *minion) crash(downFor time.Duration, dark bool) {
	m.mu.Lock()
	for _, present := range m.running {
		present.timer.Stop()
	}
	for task, present := range m.running {
		m.record.note("minion %s: run %d of %s is lost", m.id, present.number, task)
	}
	m.running = map[string]*run{}
	m.down = true
	m.record.note("minion %s crashes, dark %v, for %s", m.id, dark, downFor)
	m.mu.Unlock()
	m.out.stop(dark)
	time.Sleep(downFor)
	m.mu.Lock()
	m.down, m.began, m.token, m.lease, m.number = false, time.Now(), 0, time.Time{}, 0
	m.ends, m.barred = nil, map[string]int{}
	m.record.note("minion %s starts anew", m.id)
	m.mu.Unlock()
	if err := m.out.start(); err != nil {
		m.record.note("minion %s does not start: %v", m.id, err)
	}
}

func (m *minion) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}
