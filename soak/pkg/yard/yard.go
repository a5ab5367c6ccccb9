package yard

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"chervilusher.dev/standin/pkg/metastore"
	"chervilusher.dev/standin/pkg/relay"
	"chervilusher.dev/standin/pkg/runner"
)

// What the operator's configuration says.
const (
	QueueHost = "desk.example"
	QueuePath = "/stock/"
	group     = "desk"
	// Cores of each runner, in thousandths.
	Cores = 16000
)

// readHeaderTimeout bounds how long a host may take to send its headers to a stand-in.
const readHeaderTimeout = 5 * time.Second

// Settings of a yard.
type Settings struct {
	Binary   string // the entry program
	Previous string // the build that hosts run until they start anew; empty for none
	Folder   string // for settings and logs
	Places   int
	Hosts    int // a place
	Runners  int // a place
	Seed     uint64
}

// Worker is a runner that the hosts reach through a relay.
type Worker struct {
	Runner *runner.Runner
	Relay  *relay.Relay
	Place  string
}

// Yard is a store, runners and entry hosts.
type Yard struct {
	Store   *metastore.Service
	Ledger  *runner.Ledger
	Hosts   []*Host
	Workers []*Worker

	clock    clockwork.Clock
	settings Settings
	version  int
	closers  []func()
	loopback string          // the hosts' own address, where no other process of the machine listens
	given    map[string]bool // addresses that were given to hosts
}

// New starts all; Close ends it.
func New(settings Settings) (*Yard, error) {
	clock := clockwork.NewRealClock()
	yard := &Yard{
		Store:    metastore.New(clock, settings.Seed),
		Ledger:   runner.NewLedger(),
		clock:    clock,
		settings: settings,
		loopback: drawLoopback(),
		given:    map[string]bool{},
	}
	store, err := yard.serve(yard.Store.Handler())
	if err != nil {
		return nil, err
	}
	yard.Configure()
	for place := range settings.Places {
		name := fmt.Sprintf("place-%d", place)
		for range settings.Runners {
			if err := yard.addWorker(name); err != nil {
				return nil, err
			}
		}
		for range settings.Hosts {
			if err := yard.addHost(name, store); err != nil {
				return nil, err
			}
		}
	}
	return yard, nil
}

// Configure puts the next version of the configuration into the store.
func (y *Yard) Configure() {
	y.version++
	y.Store.Put("keyed.op", "config", fmt.Appendf(nil,
		`{"version":%d,"routes":[{"name":"stock","host":%q,"path_prefix":%q,"timeout_ms":1500,"target_latency_ms":60,"service":%q,"max_attempts":2,"stretch":1.6}]}`,
		y.version, QueueHost, QueuePath, group))
}

// Evacuate writes the operator's order to evacuate a place, or takes it back.
func (y *Yard) Evacuate(place string, evacuated bool) {
	var value []byte
	if evacuated {
		value = []byte("{}")
	}
	y.Store.Put("keyed.op", "evacuate/"+place, value)
}

// StartsIn returns how many tasks have begun at the place's workers.
func (y *Yard) StartsIn(place string) (starts int) {
	for _, worker := range y.Workers {
		if worker.Place == place {
			starts += y.Ledger.StartsAt(worker.Runner.ID)
		}
	}
	return starts
}

// List writes a worker's entry into the store.
func (y *Yard) List(worker *Worker, state string) {
	y.Store.Put("keyed.servers", worker.Runner.ID, worker.Runner.Entry(group, worker.Relay.Address(), worker.Place, state))
}

// Close ends all processes and stand-ins.
func (y *Yard) Close() {
	for _, host := range y.Hosts {
		host.Kill()
	}
	for _, end := range y.closers {
		end()
	}
}

func (y *Yard) addWorker(place string) error {
	id := fmt.Sprintf("i-%d", len(y.Workers))
	added := runner.New(y.clock, y.Ledger, id, Cores, y.settings.Seed+uint64(len(y.Workers)))
	listener, err := listen()
	if err != nil {
		return err
	}
	address := y.serveOn(added.Listener(listener), added.Handler())
	if err != nil {
		return err
	}
	between, err := y.relay(relay.Settings{Name: id, Target: address, Mirrors: true})
	if err != nil {
		return err
	}
	worker := &Worker{Runner: added, Relay: between, Place: place}
	y.Workers = append(y.Workers, worker)
	y.List(worker, "ready")
	return nil
}

func (y *Yard) addHost(place, store string) error {
	name := fmt.Sprintf("host-%d", len(y.Hosts))
	addresses, err := y.freeAddresses(4)
	if err != nil {
		return err
	}
	toStore, err := y.relay(relay.Settings{Name: name + "-store", Target: store})
	if err != nil {
		return err
	}
	inward, err := y.relay(relay.Settings{Name: name + "-peer", Target: addresses[2]})
	if err != nil {
		return err
	}
	text := fmt.Sprintf(`{"name":%q,"place":%q,"caller":%q,"ready":%q,"peer":%q,"advertise":%q,"metrics":%q,"store":%q,"memory":144}`,
		name, place, addresses[0], addresses[1], addresses[2], inward.Address(), addresses[3], toStore.Address())
	path := filepath.Join(y.settings.Folder, name+".json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return errors.WithStack(err)
	}
	programs := builds{previous: y.settings.Previous, current: y.settings.Binary}
	host := &Host{Name: name, Caller: addresses[0], ready: addresses[1], Inward: inward, ToStore: toStore, builds: programs, settings: path}
	y.Hosts = append(y.Hosts, host)
	return host.Start()
}

func (y *Yard) relay(settings relay.Settings) (*relay.Relay, error) {
	settings.Listen = "127.0.0.1:0"
	between, err := relay.New(y.clock, settings)
	if err != nil {
		return nil, err
	}
	y.closers = append(y.closers, between.Close)
	return between, nil
}

func (y *Yard) serve(handler http.Handler) (address string, err error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	return y.serveOn(listener, handler), nil
}

func (y *Yard) serveOn(listener net.Listener, handler http.Handler) (address string) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	y.closers = append(y.closers, func() { _ = server.Close() })
	return listener.Addr().String()
}

func listen() (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	return listener, errors.WithStack(err)
}

// Ports of the hosts, below those that the system gives to connections, since a host may be down for a while.
const (
	firstPort = 20000
	ports     = 10000
)

// drawLoopback returns one of the addresses of this machine that reach nothing else.
func drawLoopback() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// freeAddresses returns addresses that nobody listens on at the moment and that were not returned before, since a host
// that was given one may not listen yet.
func (y *Yard) freeAddresses(count int) ([]string, error) {
	var addresses []string
	var config net.ListenConfig
	for tries := 0; len(addresses) < count; tries++ {
		address := fmt.Sprintf("%s:%d", y.loopback, firstPort+rand.IntN(ports))
		if y.given[address] {
			continue
		}
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err != nil && tries > ports {
			return nil, errors.WithStack(err)
		}
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return nil, errors.WithStack(err)
		}
		y.given[address] = true
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// AwaitReady waits until all hosts report that they are ready.
func (y *Yard) AwaitReady(timeout time.Duration) error {
	for end := y.clock.Now().Add(timeout); y.clock.Now().Before(end); y.clock.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, host := range y.Hosts {
			if host.IsReady() {
				ready++
			}
		}
		if ready == len(y.Hosts) {
			return nil
		}
	}
	return errors.Errorf("the hosts are not ready after %s", timeout)
}
