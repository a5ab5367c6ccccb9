package logservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"chervilusher.dev/lib/platform"
	"chervilusher.dev/standin/pkg/control"
	"chervilusher.dev/standin/pkg/listen"
)

// Bounds of one request.
const (
	maxRecordBytes = 8 << 20
	defaultLimit   = 1000
	maxWait        = time.Minute
)

// Counters counts the log's requests since its start.
type Counters struct {
	Appends int64 `json:"appends"`
	Reads   int64 `json:"reads"`
	Refused int64 `json:"refused"` // appends beyond the rate
}

// Service is an append-only log in memory.
type Service struct {
	clock    clockwork.Clock
	settings Settings
	faults   *control.Switch[Faults]
	gate     *control.Gate
	limiter  *rate.Limiter
	server   *listen.Server
	appends  atomic.Int64
	reads    atomic.Int64
	refused  atomic.Int64

	mu      sync.Mutex
	streams map[string]*stream
}

// New starts a log service; call Close to end it.
func New(clock clockwork.Clock, settings Settings) (*Service, error) {
	settings = settings.withDefaults()
	service := &Service{
		clock:    clock,
		settings: settings,
		faults:   control.New[Faults](),
		limiter:  rate.NewLimiter(rate.Limit(settings.Rate), max(settings.Rate/10, 1)),
		streams:  map[string]*stream{},
	}
	service.gate = control.NewGate(clock, settings.Seed, service.faults.Watch)
	server, err := listen.New(settings.Listen, 0, service.routes())
	if err != nil {
		return nil, err
	}
	service.server = server
	return service, nil
}

// Address returns the host and port that the service listens on.
func (s *Service) Address() string {
	return s.server.Address()
}

// Faults returns the switch of the service's faults.
func (s *Service) Faults() *control.Switch[Faults] {
	return s.faults
}

// Server returns the listener, which can go down and come back.
func (s *Service) Server() *listen.Server {
	return s.server
}

// Counters returns the counts since the start.
func (s *Service) Counters() Counters {
	return Counters{Appends: s.appends.Load(), Reads: s.reads.Load(), Refused: s.refused.Load()}
}

// Close ends the service.
func (s *Service) Close() {
	s.server.Down()
}

func (s *Service) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}", s.gate.Wrap(s.append))
	mux.HandleFunc("GET /v1/streams/{stream}", s.gate.Wrap(s.read))
	control.Register(mux, s.faults, s.Counters)
	return mux
}

func (s *Service) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, "the record is too large", http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(data) {
		http.Error(w, "the record is not JSON", http.StatusBadRequest)
		return
	}
	if !s.limiter.AllowN(s.clock.Now(), 1) {
		s.refused.Add(1)
		http.Error(w, "too many appends a second", http.StatusTooManyRequests)
		return
	}
	// The write goes on when the caller hangs up, as it does in a real log.
	control.Sleep(context.WithoutCancel(r.Context()), s.clock, s.settings.Sync)
	target := s.stream(r.PathValue("stream"))
	now := s.clock.Now()
	offset := target.add(data, now)
	target.trim(s.settings.Records, now.Add(-s.settings.Age.Std()))
	s.appends.Add(1)
	s.gate.LoseAnswer()
	control.WriteJSON(w, http.StatusOK, platform.Appended{Offset: offset})
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	s.reads.Add(1)
	from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit <= 0 || limit > defaultLimit {
		limit = defaultLimit
	}
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	target := s.stream(r.PathValue("stream"))
	target.trim(s.settings.Records, s.clock.Now().Add(-s.settings.Age.Std()))
	batch := s.await(r.Context(), target, from, limit, min(wait, maxWait))
	if s.gate.Refusing() {
		http.Error(w, "out of service", http.StatusServiceUnavailable)
		return
	}
	control.WriteJSON(w, http.StatusOK, batch)
}

// await returns a batch at once if it holds records, else after the next append or the wait.
func (s *Service) await(ctx context.Context, target *stream, from int64, limit int, wait time.Duration) platform.Batch {
	batch, appended := target.read(from, limit)
	if len(batch.Records) > 0 || wait <= 0 {
		return batch
	}
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	for len(batch.Records) == 0 {
		select {
		case <-ctx.Done():
			return batch
		case <-timer.Chan():
			return batch
		case <-appended:
			batch, appended = target.read(from, limit)
		}
	}
	return batch
}

func (s *Service) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.streams[name]
	if !ok {
		found = newStream()
		s.streams[name] = found
	}
	return found
}
