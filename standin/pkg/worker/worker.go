package worker

import (
	"net/http"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"chervilusher.dev/standin/pkg/control"
	"chervilusher.dev/standin/pkg/listen"
	"chervilusher.dev/standin/pkg/task"
)

// Worker runs tasks for the holder of its lease; tasks that run go on when the lease ends.
type Worker struct {
	clock    clockwork.Clock
	settings Settings
	faults   *control.Switch[Faults]
	draw     *control.Draw
	ledger   *task.Ledger
	leases   *leases
	room     *room
	server   *listen.Server
	answered atomic.Int64
	lost     atomic.Int64
	refused  atomic.Int64
}

// New starts a worker; call Close to end it.
func New(clock clockwork.Clock, settings Settings) (*Worker, error) {
	settings = settings.withDefaults()
	worker := &Worker{
		clock:    clock,
		settings: settings,
		faults:   control.New[Faults](),
		draw:     control.NewDraw(settings.Seed),
		ledger:   task.New(clock, settings.Ledger),
		leases:   &leases{clock: clock},
		room:     newRoom(clock, settings),
	}
	server, err := listen.New(settings.Listen, 0, worker.routes())
	if err != nil {
		return nil, err
	}
	worker.server = server
	return worker, nil
}

// Name returns the worker's name in the host list.
func (w *Worker) Name() string {
	return w.settings.Name
}

// Address returns the host and port that the worker listens on.
func (w *Worker) Address() string {
	return w.server.Address()
}

// Faults returns the switch of the worker's faults.
func (w *Worker) Faults() *control.Switch[Faults] {
	return w.faults
}

// Server returns the listener, which can go down and come back.
func (w *Worker) Server() *listen.Server {
	return w.server
}

// Counters returns the counts since the start.
func (w *Worker) Counters() task.Counters {
	counters := w.ledger.Counters()
	counters.Answered = w.answered.Load()
	counters.Lost = w.lost.Load()
	counters.Refused = w.refused.Load()
	return counters
}

// Marks returns how often each payload's mark was started.
func (w *Worker) Marks() map[string]int64 {
	return w.ledger.Marks()
}

// Close ends the worker and stops its tasks.
func (w *Worker) Close() {
	w.server.Down()
	w.ledger.Release()
}

func (w *Worker) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/lease", w.takeLease)
	mux.HandleFunc("DELETE /v1/lease/{fence}", w.giveBackLease)
	mux.HandleFunc("POST /v1/tasks/{id}", w.start)
	mux.HandleFunc("GET /v1/tasks/{id}", w.status)
	mux.HandleFunc("DELETE /v1/tasks/{id}", w.withdraw)
	mux.HandleFunc("POST /v1/tasks/{id}/checkpoint", w.checkpoint)
	mux.HandleFunc("POST /v1/tasks/{id}/throttle", w.throttle)
	mux.HandleFunc("GET /v1/usage", func(out http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(out, http.StatusOK, w.room.report())
	})
	control.Register(mux, w.faults, w.Counters)
	return mux
}
