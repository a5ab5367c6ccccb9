package minion

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"chervilusher.dev/lib/platform"
	"chervilusher.dev/standin/pkg/control"
	"chervilusher.dev/standin/pkg/listen"
	"chervilusher.dev/standin/pkg/task"
)

// maxBodyBytes bounds a payload.
const maxBodyBytes = 4 << 20

// Minion runs tasks that it gets over HTTP.
type Minion struct {
	clock    clockwork.Clock
	settings Settings
	faults   *control.Switch[Faults]
	draw     *control.Draw
	ledger   *task.Ledger
	server   *listen.Server
	busy     atomic.Int64
	answered atomic.Int64
	lost     atomic.Int64
	refused  atomic.Int64
}

// New starts a minion; call Close to end it.
func New(clock clockwork.Clock, settings Settings) (*Minion, error) {
	settings = settings.withDefaults()
	minion := &Minion{
		clock:    clock,
		settings: settings,
		faults:   control.New[Faults](),
		draw:     control.NewDraw(settings.Seed),
		ledger:   task.New(clock, settings.Ledger),
	}
	server, err := listen.New(settings.Listen, settings.Connections, minion.routes())
	if err != nil {
		return nil, err
	}
	minion.server = server
	return minion, nil
}

// Name returns the minion's name in the host list.
func (m *Minion) Name() string {
	return m.settings.Name
}

// Address returns the host and port that the minion listens on.
func (m *Minion) Address() string {
	return m.server.Address()
}

// Faults returns the switch of the minion's faults.
func (m *Minion) Faults() *control.Switch[Faults] {
	return m.faults
}

// Server returns the listener, which can go down and come back.
func (m *Minion) Server() *listen.Server {
	return m.server
}

// Counters returns the counts since the start.
func (m *Minion) Counters() task.Counters {
	counters := m.ledger.Counters()
	counters.Answered = m.answered.Load()
	counters.Lost = m.lost.Load()
	counters.Refused = m.refused.Load()
	return counters
}

// Marks returns how often each payload's mark was started.
func (m *Minion) Marks() map[string]int64 {
	return m.ledger.Marks()
}

// Close ends the minion and stops its tasks.
func (m *Minion) Close() {
	m.server.Down()
	m.ledger.Release()
}

func (m *Minion) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks/{id}", m.start)
	mux.HandleFunc("GET /v1/tasks/{id}", func(w http.ResponseWriter, r *http.Request) {
		control.WriteJSON(w, http.StatusOK, m.ledger.Status(r.PathValue("id")))
	})
	mux.HandleFunc("DELETE /v1/tasks/{id}", func(w http.ResponseWriter, r *http.Request) {
		control.WriteJSON(w, http.StatusOK, m.ledger.Bury(r.PathValue("id")))
	})
	control.Register(mux, m.faults, m.Counters)
	return mux
}

// start runs the task to its end and answers with its value.
func (m *Minion) start(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	w.Header().Set(platform.HeaderTask, id)
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		m.refuse(w, http.StatusRequestEntityTooLarge, "the payload is too large")
		return
	}
	payload, err := task.ParsePayload(raw)
	if err != nil {
		m.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if m.busy.Add(1) > int64(m.settings.Slots) {
		m.busy.Add(-1)
		m.refuse(w, http.StatusServiceUnavailable, "no free slot")
		return
	}
	run, ok := m.ledger.Start(id, m.plan(payload))
	if !ok {
		m.busy.Add(-1)
		m.refuse(w, http.StatusGone, "the task was withdrawn")
		return
	}
	m.settings.Recorder.Note(r.Header.Get(platform.HeaderOwner), payload.Echo)
	select {
	case <-run.Done():
		m.answer(w, r, run.Status())
	case <-r.Context().Done():
	}
}

func (m *Minion) plan(payload task.Payload) task.Plan {
	return m.faults.Get().Plan(payload, m.settings.Name, m.settings.Speed, func() { m.busy.Add(-1) })
}

func (m *Minion) answer(w http.ResponseWriter, r *http.Request, status platform.TaskStatus) {
	faults := m.faults.Get()
	if faults.Delay > 0 && !control.Sleep(r.Context(), m.clock, faults.Delay) {
		return
	}
	if m.draw.Hit(faults.Lost) {
		m.lost.Add(1)
		panic(http.ErrAbortHandler)
	}
	if m.draw.Hit(faults.Crossed) {
		w.Header().Set(platform.HeaderTask, "of-another-task")
	}
	m.answered.Add(1)
	switch status.State {
	case platform.TaskDone:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(status.Value)
	case platform.TaskStopped:
		http.Error(w, "the task was stopped", http.StatusConflict)
	default:
		http.Error(w, status.Error, http.StatusInternalServerError)
	}
}

func (m *Minion) refuse(w http.ResponseWriter, code int, reason string) {
	m.refused.Add(1)
	w.Header().Set(platform.HeaderRan, "no")
	http.Error(w, reason, code)
}
