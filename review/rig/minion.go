package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxHold is max_hold_ms of the sheet.
const maxHold = time.Second

// work is what a task does: the JSON in the job's spec.
type work struct {
	Milliseconds int `json:"ms"`
}

// ledger knows what runs on all minions.
type ledger struct {
	record  *record
	mu      sync.Mutex
	running map[string]map[string]int // by task: the run's number by minion
	failed  int                       // runs that have ended failed
	onStart func(minion, task string, number int)
}

func newLedger(r *record) *ledger {
	return &ledger{record: r, running: map[string]map[string]int{}}
}

func (l *ledger) begin(minion, task string, number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.line("%s: task %s run %d begins", minion, task, number)
	for other, there := range l.running[task] {
		l.record.breach("TWICE: task %s runs on %s (run %d) and on %s (run %d) at the same time", task, other, there, minion, number)
	}
	if l.running[task] == nil {
		l.running[task] = map[string]int{}
	}
	l.running[task][minion] = number
	if l.onStart != nil {
		go l.onStart(minion, task, number)
	}
}

func (l *ledger) end(minion, task string, number int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running[task], minion)
	l.record.line("%s: task %s run %d ends: %s", minion, task, number, how)
}

// runningOf returns how many runs of the job's tasks go on.
func (l *ledger) runningOf(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for task, on := range l.running {
		if strings.HasPrefix(task, job+".") {
			count += len(on)
		}
	}
	return count
}

// minion is a stand-in of one minion, under the rules of "Running tasks".
type minion struct {
	id, zone, address string
	cpu               int
	ledger            *ledger
	record            *record
	store             *store

	mu      sync.Mutex
	listen  net.Listener
	server  *http.Server
	up      bool
	state   string
	epoch   time.Time
	born    int64
	token   int64
	lease   time.Time
	running map[string]*running
	ends    [][]any
	number  int64
	barred  map[string]int
	ended   chan struct{}
	// onStartCall may hold a start call up on its way: it returns true if the minion must not see it now.
	onStartCall func(m *minion, call *call) (taken bool)
}

type running struct {
	number int
	timer  *time.Timer
}

type call struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Lease int64  `json:"deadline_ms"`
	Token int64  `json:"fencing_token"`
	Ack   int64  `json:"ack_position"`
	Wait  int64  `json:"wait_ms"`
}

func newMinion(s *store, l *ledger, id, zone string, cpu int) (*minion, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &minion{id: id, zone: zone, address: listener.Addr().String(), cpu: cpu, ledger: l, record: l.record, store: s, state: "ready"}
	m.birth(listener)
	go m.beat()
	return m, nil
}

// birth starts a life of the minion, which knows nothing of the one before.
func (m *minion) birth(listener net.Listener) {
	m.mu.Lock()
	m.listen = listener
	m.epoch = time.Now()
	m.born = m.epoch.UnixMilli()
	m.token, m.number = 0, 0
	m.lease = m.epoch
	m.running, m.barred, m.ends = map[string]*running{}, map[string]int{}, nil
	m.ended = make(chan struct{})
	m.up = true
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", m.serveStart)
	mux.HandleFunc("POST /-/run-stop", m.serveStop)
	mux.HandleFunc("POST /-/hold", m.serveHold)
	m.server = &http.Server{Handler: mux}
	server := m.server
	m.mu.Unlock()
	m.register()
	go func() { _ = server.Serve(listener) }()
}

// beat writes the minion's entry about every heartbeat_ms.
func (m *minion) beat() {
	for range time.Tick(1500 * time.Millisecond) {
		m.mu.Lock()
		up := m.up
		m.mu.Unlock()
		if up {
			m.register()
		}
	}
}

func (m *minion) register() {
	m.mu.Lock()
	raw := fmt.Appendf(nil, `{"service":"desk","address":%q,"zone":%q,"version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d,"capacity":{"cpu":%d,"mem_mb":32768,"gpu":0},"labels":["a","r1-%s"]}`,
		m.address, m.zone, m.state, time.Since(m.epoch).Milliseconds(), m.born, m.cpu, m.zone)
	m.mu.Unlock()
	m.store.put("keyed.servers", m.id, raw)
}

// drain reports that the minion is about to leave; it goes on serving.
func (m *minion) drain() {
	m.mu.Lock()
	m.state = "draining"
	m.mu.Unlock()
	m.record.line("%s: drains", m.id)
	m.register()
}

// leave ends the minion for good, all that runs there, and its entry.
func (m *minion) leave() {
	m.end("leaves")
	m.store.put("keyed.servers", m.id, nil)
}

// crash ends the minion's life; connections are refused until rebirth.
func (m *minion) crash() {
	m.end("crashes")
}

// end ends all that runs without a trace, and the minion.
func (m *minion) end(how string) {
	m.mu.Lock()
	m.up = false
	server := m.server
	for task, each := range m.running {
		each.timer.Stop()
		m.ledger.end(m.id, task, each.number, "the minion "+how)
	}
	m.running = map[string]*running{}
	m.mu.Unlock()
	m.record.line("%s: %s", m.id, how)
	_ = server.Close()
}

// reborn starts the minion again at its address, under its id.
func (m *minion) reborn() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.record.line("%s: starts again", m.id)
	m.birth(listener)
	return nil
}

func (m *minion) now() int64 { return time.Since(m.epoch).Milliseconds() }

func (m *minion) take(w http.ResponseWriter, r *http.Request) (*call, bool) {
	if r.Header.Get("Chervilusher-Expected-Instance") != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return nil, false
	}
	var read call
	if err := json.NewDecoder(r.Body).Decode(&read); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil, false
	}
	return &read, true
}

// admit takes the token in, or answers that it is lower; the caller holds the lock.
func (m *minion) admit(w http.ResponseWriter, token int64) bool {
	if token < m.token {
		m.reject(w, "fence")
		return false
	}
	m.token = token
	return true
}

func (m *minion) reject(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": m.now(), "born": m.born, "reason": reason})
}

func (m *minion) extend(milliseconds int64) {
	until := m.epoch.Add(time.Duration(milliseconds) * time.Millisecond)
	if most := time.Now().Add(maxHold); until.After(most) {
		until = most
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
		m.list(task, "lapsed")
	}
}

func (m *minion) serveStart(w http.ResponseWriter, r *http.Request) {
	read, ok := m.take(w, r)
	if !ok {
		return
	}
	if m.onStartCall != nil && m.onStartCall(m, read) {
		<-r.Context().Done()
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.admit(w, read.Token) {
		return
	}
	if reason := m.start(read); reason != "" {
		m.record.line("%s: rejects task %s run %d: %s", m.id, read.Task, read.Run, reason)
		m.reject(w, reason)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": m.now(), "born": m.born})
}

// deliver sends a start call that was held up on its way to whoever serves the minion's address and id by now.
func (m *minion) deliver(held *call) error {
	raw, err := json.Marshal(held)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+m.address+"/-/run-start", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Chervilusher-Expected-Instance", m.id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	m.record.line("%s: the late start of task %s run %d arrives: %d", m.id, held.Task, held.Run, response.StatusCode)
	return nil
}

// start begins a run, or returns why not; the caller holds the lock.
func (m *minion) start(read *call) string {
	m.extend(read.Lease)
	if present, ok := m.running[read.Task]; ok && present.number == read.Run {
		return ""
	}
	switch {
	case read.Lease < m.now():
		return "late"
	case read.Run <= m.barred[read.Task]:
		return "old"
	}
	var todo work
	if err := json.Unmarshal([]byte(read.Spec), &todo); err != nil {
		return "spec"
	}
	begun := &running{number: read.Run}
	m.running[read.Task] = begun
	begun.timer = time.AfterFunc(time.Duration(todo.Milliseconds)*time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.running[read.Task] == begun {
			m.list(read.Task, "done")
		}
	})
	m.ledger.begin(m.id, read.Task, read.Run)
	return ""
}

// list lists the end of a run; the caller holds the lock.
func (m *minion) list(task, how string) {
	was := m.running[task]
	was.timer.Stop()
	delete(m.running, task)
	m.barred[task] = max(m.barred[task], was.number)
	m.number++
	m.ends = append(m.ends, []any{m.number, task, was.number, how, ""})
	close(m.ended)
	m.ended = make(chan struct{})
	m.ledger.end(m.id, task, was.number, how)
}

func (m *minion) serveStop(w http.ResponseWriter, r *http.Request) {
	read, ok := m.take(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.admit(w, read.Token) {
		return
	}
	if present, ok := m.running[read.Task]; ok && present.number == read.Run {
		m.list(read.Task, "stopped")
	}
	m.barred[read.Task] = max(m.barred[read.Task], read.Run)
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": m.now(), "born": m.born})
}

func (m *minion) serveHold(w http.ResponseWriter, r *http.Request) {
	read, ok := m.take(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	if !m.admit(w, read.Token) {
		m.mu.Unlock()
		return
	}
	if read.Lease > 0 {
		m.extend(read.Lease)
	}
	for len(m.ends) > 0 && m.ends[0][0].(int64) <= read.Ack {
		m.ends = m.ends[1:]
	}
	ended, waits := m.ended, len(m.ends) == 0 && read.Wait > 0
	m.mu.Unlock()
	if waits {
		select {
		case <-ended:
		case <-time.After(time.Duration(min(read.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := make([][]any, 0, len(m.running))
	for task, each := range m.running {
		now = append(now, []any{task, each.number, "", 50, 1000})
	}
	ends := m.ends
	if ends == nil {
		ends = [][]any{}
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": m.now(), "born": m.born, "running": now, "ended": ends})
}
