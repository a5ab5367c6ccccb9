package runner

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"chervilusher.dev/standin/pkg/control"
)

// longestLease is what longer leases are shortened to.
const longestLease = time.Second

// Faults are how a runner misbehaves.
type Faults struct {
	Fail  float64 // share of runs that fail at once
	Hang  float64 // share of runs that never end
	Mute  float64 // share of starts that are carried out late, also after a crash, and never answered
	Delay time.Duration

	OnMute func(runner *Runner) // called for each such start, if set
}

// Work is what a task does; it is the JSON of its job's description.
type Work struct {
	Length time.Duration `json:"length"`
	Cores  int64         `json:"cores"`            // thousandths of a core
	Deadly bool          `json:"deadly,omitempty"` // crashes its runner half way
}

// Runner is one minion: it starts whatever it is told to, and notes in the ledger what that breaks.
type Runner struct {
	ID     string
	Faults *control.Switch[Faults]

	clock  clockwork.Clock
	ledger *Ledger
	draw   *control.Draw

	mu      sync.Mutex
	epoch   time.Time
	born    int64
	unseen  int // crashes that took no time, so that no caller can know of them before late starts
	token   int64
	lease   time.Time
	running map[string]*run
	ends    [][]any
	number  int64
	barred  map[string]int
	ended   chan struct{} // closed at the next end

	rooms       []room // the capacity and what it was before; the last one is in force
	down        bool   // crashed, and not back yet
	connections map[net.Conn]struct{}
	listener    *listener // nil if the runner is served elsewhere
}

type run struct {
	number int
	cores  int64
	timer  clockwork.Timer
}

// New returns a runner that was just born.
func New(clock clockwork.Clock, ledger *Ledger, id string, cores int64, seed uint64) *Runner {
	runner := &Runner{
		ID: id, Faults: control.New[Faults](), clock: clock, ledger: ledger, draw: control.NewDraw(seed),
		rooms: []room{{cores: cores, since: clock.Now()}}, connections: map[net.Conn]struct{}{},
	}
	runner.birth()
	return runner
}

func (r *Runner) birth() {
	r.epoch = r.clock.Now()
	r.born = r.epoch.UnixMilli()
	r.token = 0
	r.lease = r.epoch
	r.running = map[string]*run{}
	r.ends = nil
	r.number = 0
	r.barred = map[string]int{}
	r.ended = make(chan struct{})
}

func (r *Runner) bornAt() int64 {
	born, _ := r.life()
	return born
}

func (r *Runner) life() (born int64, unseen int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.born, r.unseen
}

// Crash ends all that runs, without a trace, and starts the runner anew.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lose()
	r.unseen++
	r.birth()
}

// Handler returns the runner's interface.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", r.serveStart)
	mux.HandleFunc("POST /-/run-stop", r.serveStop)
	mux.HandleFunc("POST /-/hold", r.serveHold)
	return r.whileUp(mux)
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

func (r *Runner) read(w http.ResponseWriter, request *http.Request) (*call, bool) {
	if wanted := request.Header.Get("Chervilusher-Expected-Instance"); wanted != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return nil, false
	}
	var read call
	if err := json.NewDecoder(request.Body).Decode(&read); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return &read, true
}

// now returns the runner's clock.
func (r *Runner) now() int64 {
	return r.clock.Since(r.epoch).Milliseconds()
}

// admit takes the token in, and refuses a lower one; the caller holds the lock.
func (r *Runner) admit(w http.ResponseWriter, token int64) bool {
	if token < r.token {
		r.reject(w, "fence")
		return false
	}
	r.token = token
	return true
}

func (r *Runner) reject(w http.ResponseWriter, reason string) {
	control.WriteJSON(w, http.StatusConflict, map[string]any{"clock_ms": r.now(), "born": r.born, "reason": reason})
}

func (r *Runner) extend(milliseconds int64) {
	until := r.epoch.Add(time.Duration(milliseconds) * time.Millisecond)
	if most := r.clock.Now().Add(longestLease); until.After(most) {
		until = most
	}
	if until.After(r.lease) {
		r.lease = until
		r.clock.AfterFunc(until.Sub(r.clock.Now())+time.Millisecond, r.lapse)
	}
}

func (r *Runner) lapse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock.Now().Before(r.lease) {
		return
	}
	for task := range r.running {
		r.end(task, "lapsed")
	}
}

func (r *Runner) serveStart(w http.ResponseWriter, request *http.Request) {
	read, ok := r.read(w, request)
	if !ok {
		return
	}
	faults := r.Faults.Get()
	if r.draw.Hit(faults.Mute) {
		if faults.OnMute != nil {
			faults.OnMute(r)
		}
		born, unseen := r.life()
		ordered := r.clock.Now()
		r.clock.AfterFunc(faults.Delay, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if read.Token >= r.token && unseen == r.unseen && !r.down {
				r.token = read.Token
				r.start(read, faults, ordered, born != r.born)
			}
		})
		<-request.Context().Done()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(w, read.Token) {
		return
	}
	if reason := r.start(read, faults, r.clock.Now(), false); reason != "" {
		r.reject(w, reason)
		return
	}
	control.WriteJSON(w, http.StatusOK, map[string]any{"clock_ms": r.now(), "born": r.born})
}

// start begins a run that was ordered at that time, maybe in an earlier life, or returns why it does not; the caller holds the lock.
func (r *Runner) start(read *call, faults Faults, ordered time.Time, earlierLife bool) string {
	if present, ok := r.running[read.Task]; ok && present.number == read.Run {
		return ""
	}
	switch {
	case read.Lease < r.now():
		return "late"
	case read.Run <= r.barred[read.Task]:
		return "old"
	}
	r.extend(read.Lease)
	var work Work
	if err := json.Unmarshal([]byte(read.Spec), &work); err != nil {
		return "spec"
	}
	begun := &run{number: read.Run, cores: work.Cores}
	how, length := "done", work.Length
	switch {
	case work.Deadly:
		length /= 2
	case r.draw.Hit(faults.Fail):
		how, length = "failed", time.Millisecond
	case r.draw.Hit(faults.Hang):
		length = time.Hour
	}
	begun.timer = r.clock.AfterFunc(length, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		switch {
		case r.running[read.Task] != begun:
		case work.Deadly:
			r.crashFor(downTime)
		default:
			r.end(read.Task, how)
		}
	})
	r.running[read.Task] = begun
	job, _, _ := strings.Cut(read.Task, ".")
	if earlierLife {
		r.ledger.beginLate(r.ID, job, read.Task, read.Run, r.clock.Now())
		return ""
	}
	r.ledger.begin(r.ID, job, read.Task, read.Run, r.clock.Now())
	r.checkRoom(ordered)
	return ""
}

// end lists the end of a run; the caller holds the lock.
func (r *Runner) end(task, how string) {
	ended := r.running[task]
	ended.timer.Stop()
	delete(r.running, task)
	r.ledger.end(r.ID, task)
	r.barred[task] = max(r.barred[task], ended.number)
	r.number++
	r.ends = append(r.ends, []any{r.number, task, ended.number, how, ""})
	close(r.ended)
	r.ended = make(chan struct{})
}

func (r *Runner) serveStop(w http.ResponseWriter, request *http.Request) {
	read, ok := r.read(w, request)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(w, read.Token) {
		return
	}
	if present, ok := r.running[read.Task]; ok && present.number == read.Run {
		r.end(read.Task, "stopped")
	}
	r.barred[read.Task] = max(r.barred[read.Task], read.Run)
	control.WriteJSON(w, http.StatusOK, map[string]any{"clock_ms": r.now(), "born": r.born})
}

func (r *Runner) serveHold(w http.ResponseWriter, request *http.Request) {
	read, ok := r.read(w, request)
	if !ok {
		return
	}
	r.mu.Lock()
	if !r.admit(w, read.Token) {
		r.mu.Unlock()
		return
	}
	r.extend(read.Lease)
	r.forget(read.Ack)
	ended, waits := r.ended, len(r.ends) == 0
	r.mu.Unlock()
	if waits && read.Wait > 0 {
		select {
		case <-ended:
		case <-r.clock.After(time.Duration(read.Wait) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		panic(http.ErrAbortHandler)
	}
	control.WriteJSON(w, http.StatusOK, r.lists())
}

func (r *Runner) forget(ack int64) {
	for len(r.ends) > 0 && r.ends[0][0].(int64) <= ack {
		r.ends = r.ends[1:]
	}
}

func (r *Runner) lists() map[string]any {
	running := make([][]any, 0, len(r.running))
	for task, present := range r.running {
		running = append(running, []any{task, present.number, "", 100})
	}
	ends := r.ends
	if ends == nil {
		ends = [][]any{}
	}
	return map[string]any{"clock_ms": r.now(), "born": r.born, "running": running, "ended": ends}
}

// Entry returns what the runner says of itself in the store.
func (r *Runner) Entry(group, address, place, state string) []byte {
	return fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":%q,"capacity":{"cpu":%d,"mem_mb":32768,"gpu":0},"labels":["a","r1"]}`,
		group, address, place, state, r.cores())
}
