package office

import (
	"net/http"

	"github.com/pkg/errors"

	"chervilusher.dev/standin/pkg/control"
	"chervilusher.dev/standin/pkg/hostlist"
	"chervilusher.dev/standin/pkg/listen"
	"chervilusher.dev/standin/pkg/logservice"
	"chervilusher.dev/standin/pkg/minion"
	"chervilusher.dev/standin/pkg/relay"
	"chervilusher.dev/standin/pkg/task"
)

// BackendFaults is the body of POST /control/backends: it replaces the faults of the named ones.
type BackendFaults struct {
	Names  []string      `json:"names"`
	Faults minion.Faults `json:"faults"`
	Down   bool          `json:"down,omitempty"` // refuses connections, as if the process had died
}

// RelayFaults is the body of POST /control/relays: it replaces the faults of the named ones.
type RelayFaults struct {
	Names  []string     `json:"names"`
	Faults relay.Faults `json:"faults"`
}

// MemberCounters is what one back end did since its start.
type MemberCounters struct {
	Name  string  `json:"name"`
	Group string  `json:"group"`
	Speed float64 `json:"speed"`
	task.Counters
}

// Counters answers GET /control/counters.
type Counters struct {
	Log      logservice.Counters `json:"log"`
	Hosts    hostlist.Counters   `json:"hosts"`
	Repeats  int64               `json:"repeats"` // starts of work that had started before at any back end
	Backends []MemberCounters    `json:"backends"`
}

// AllCounters returns the counts of every stand-in.
func (o *Office) AllCounters() Counters {
	all := Counters{Log: o.Log.Counters(), Hosts: o.Hosts.Counters(), Repeats: o.Recorder.Repeats()}
	for _, member := range o.Members {
		all.Backends = append(all.Backends, MemberCounters{
			Name:     member.Name(),
			Group:    member.Group,
			Speed:    member.Speed,
			Counters: member.Counters(),
		})
	}
	return all
}

// SetBackendFaults replaces the faults of the named back ends.
func (o *Office) SetBackendFaults(wanted BackendFaults) error {
	for _, name := range wanted.Names {
		member := o.Member(name)
		if member == nil {
			return errors.Errorf("no back end is named %q", name)
		}
		member.Faults().Set(wanted.Faults)
		if err := setDown(member.Server(), wanted.Down); err != nil {
			return err
		}
	}
	return nil
}

// SetRelayFaults replaces the faults of the named relays.
func (o *Office) SetRelayFaults(wanted RelayFaults) error {
	for _, name := range wanted.Names {
		forwarder := o.relay(name)
		if forwarder == nil {
			return errors.Errorf("no relay is named %q", name)
		}
		forwarder.Faults().Set(wanted.Faults)
	}
	return nil
}

func (o *Office) relay(name string) *relay.Relay {
	for _, forwarder := range o.Relays {
		if forwarder.Name() == name {
			return forwarder
		}
	}
	return nil
}

func setDown(server *listen.Server, down bool) error {
	if down {
		server.Down()
		return nil
	}
	return server.Up()
}

func (o *Office) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/log", control.Handle(func(wanted logservice.Faults) (logservice.Faults, error) {
		o.Log.Faults().Set(wanted)
		return wanted, nil
	}))
	mux.HandleFunc("POST /control/hosts", control.Handle(func(wanted hostlist.Faults) (hostlist.Faults, error) {
		o.Hosts.Faults().Set(wanted)
		return wanted, nil
	}))
	mux.HandleFunc("POST /control/states", control.Handle(func(change hostlist.Change) (hostlist.Change, error) {
		return change, o.Hosts.SetState(change.Name, change.State)
	}))
	mux.HandleFunc("POST /control/backends", control.Handle(func(wanted BackendFaults) (BackendFaults, error) {
		return wanted, o.SetBackendFaults(wanted)
	}))
	mux.HandleFunc("POST /control/relays", control.Handle(func(wanted RelayFaults) (RelayFaults, error) {
		return wanted, o.SetRelayFaults(wanted)
	}))
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, o.AllCounters())
	})
	return mux
}
