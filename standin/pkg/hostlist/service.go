package hostlist

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"chervilusher.dev/lib/platform"
	"chervilusher.dev/standin/pkg/control"
	"chervilusher.dev/standin/pkg/listen"
)

// maxWait bounds one long poll.
const maxWait = time.Minute

// Service answers the host list over HTTP.
type Service struct {
	clock    clockwork.Clock
	settings Settings
	faults   *control.Switch[Faults]
	gate     *control.Gate
	list     *list
	server   *listen.Server
	reads    atomic.Int64

	mu    sync.Mutex
	truth map[string]platform.Host // hosts as they are, ahead of the list by the lag
}

// New starts a host list with these hosts in it; call Close to end it.
func New(clock clockwork.Clock, settings Settings, hosts []platform.Host) (*Service, error) {
	service := &Service{
		clock:    clock,
		settings: settings,
		faults:   control.New[Faults](),
		list:     newList(),
		truth:    map[string]platform.Host{},
	}
	for _, host := range hosts {
		service.truth[host.Name] = host
	}
	service.list.put(hosts...)
	service.gate = control.NewGate(clock, settings.Seed, service.watch)
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
	return Counters{Reads: s.reads.Load(), Version: s.list.current()}
}

// Close ends the service.
func (s *Service) Close() {
	s.server.Down()
}

// Put adds or replaces a host; readers see it after the lag.
func (s *Service) Put(host platform.Host) {
	s.mu.Lock()
	s.truth[host.Name] = host
	s.mu.Unlock()
	s.show(host)
}

// SetState changes the state of a known host; readers see it after the lag.
func (s *Service) SetState(name string, state platform.HostState) error {
	s.mu.Lock()
	host, ok := s.truth[name]
	host.State = state
	if ok {
		s.truth[name] = host
	}
	s.mu.Unlock()
	if !ok {
		return errors.Errorf("no host is named %q", name)
	}
	s.show(host)
	return nil
}

func (s *Service) show(host platform.Host) {
	lag := s.settings.Lag
	if faults := s.faults.Get(); faults.Lag > 0 {
		lag = faults.Lag
	}
	if lag <= 0 {
		s.list.put(host)
		return
	}
	s.clock.AfterFunc(lag.Std(), func() { s.list.put(host) })
}

func (s *Service) watch() (control.Platform, <-chan struct{}) {
	faults, changed := s.faults.Watch()
	return faults.Platform, changed
}

func (s *Service) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", s.gate.Wrap(s.read))
	mux.HandleFunc("POST /control/hosts", control.Handle(func(host platform.Host) (platform.Host, error) {
		s.Put(host)
		return host, nil
	}))
	mux.HandleFunc("POST /control/states", control.Handle(func(change Change) (Change, error) {
		return change, s.SetState(change.Name, change.State)
	}))
	control.Register(mux, s.faults, s.Counters)
	return mux
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	s.reads.Add(1)
	since, _ := strconv.ParseInt(r.FormValue("since"), 10, 64)
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	answer := s.await(r.Context(), since, min(wait, maxWait))
	if s.gate.Refusing() {
		http.Error(w, "out of service", http.StatusServiceUnavailable)
		return
	}
	s.gate.LoseAnswer()
	control.WriteJSON(w, http.StatusOK, answer)
}

// await answers at once if there is news since the version, else after the next change or the wait.
func (s *Service) await(ctx context.Context, since int64, wait time.Duration) platform.HostList {
	answer, changed := s.list.since(since)
	if answer.Version != since || wait <= 0 {
		return answer
	}
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	case <-changed:
		answer, _ = s.list.since(since)
	}
	return answer
}
