package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/client"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/lib/logservice"
	"chervilusher.dev/lib/platform"
	"chervilusher.dev/standin/pkg/hostlist"
	standinlog "chervilusher.dev/standin/pkg/logservice"
	"chervilusher.dev/standin/pkg/office"
	"chervilusher.dev/standin/pkg/relay"
)

const (
	ownerToken = "the token of the tests' owner"
	hostToken  = "the token of the hosts' operator"
	patience   = 20 * time.Second
	pollEvery  = 20 * time.Millisecond
)

var entryBinary string

func TestMain(m *testing.M) {
	os.Exit(runWithBinary(m))
}

// runWithBinary builds the daemon once for all tests.
func runWithBinary(m *testing.M) int {
	directory, err := os.MkdirTemp("", "integration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	entryBinary = filepath.Join(directory, "entry")
	build := exec.CommandContext(context.Background(), "go", "build", "-o", entryBinary, "chervilusher.dev/entry")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "cannot build the daemon: %s\n%s", err, output)
		return 1
	}
	return m.Run()
}

// plan describes a fleet.
type plan struct {
	places  []string // one for each entry host
	minions int
	slots   int
	workers int
	cores   float64
	speeds  []float64
	lag     time.Duration // of the host list
	keep    time.Duration // of kept answers
	timeout time.Duration // of the service and the pool

	heartbeat time.Duration // between hosts; zero means the default
}

// fleet is running daemons and the stand-ins around them.
type fleet struct {
	t       *testing.T
	office  *office.Office
	entries []*entry
}

func newFleet(t *testing.T, wanted plan) *fleet {
	t.Helper()
	f := &fleet{t: t}
	settings := office.Settings{
		Log:   standinlog.Settings{Listen: "127.0.0.1:0"},
		Hosts: hostlist.Settings{Listen: "127.0.0.1:0", Lag: jsontime.Duration(wanted.lag)},
	}
	places := uniquePlaces(wanted.places)
	if wanted.minions > 0 {
		settings.Groups = append(settings.Groups, office.Group{
			Name: "desk", Role: platform.RoleMinion, Places: places, Count: wanted.minions,
			Address: "127.0.0.1", Slots: wanted.slots, Speeds: wanted.speeds,
		})
	}
	if wanted.workers > 0 {
		settings.Groups = append(settings.Groups, office.Group{
			Name: "pool", Role: platform.RoleWorker, Places: places, Count: wanted.workers,
			Address: "127.0.0.1", Cores: wanted.cores,
		})
	}
	for i, place := range wanted.places {
		f.entries = append(f.entries, newEntry(t, i, place))
		last := f.entries[i]
		settings.Entries = append(settings.Entries, office.Entry{Name: last.name, Address: last.inward.Address(), Place: place})
	}
	var err error
	f.office, err = office.New(clockwork.NewRealClock(), settings)
	require.NoError(t, err)
	t.Cleanup(f.office.Close)
	f.publish(wanted)
	for _, daemon := range f.entries {
		daemon.log = newRelay(t, f.office.Log.Address())
		daemon.hosts = newRelay(t, f.office.Hosts.Address())
		daemon.writeSettings(wanted)
		daemon.start()
	}
	for _, daemon := range f.entries {
		daemon.waitReady()
	}
	f.waitForBackends(wanted)
	return f
}

func uniquePlaces(places []string) []string {
	var unique []string
	seen := map[string]bool{}
	for _, place := range places {
		if !seen[place] {
			unique = append(unique, place)
		}
		seen[place] = true
	}
	return unique
}

func newRelay(t *testing.T, target string) *relay.Relay {
	t.Helper()
	made, err := relay.New(clockwork.NewRealClock(), relay.Settings{Name: target, Listen: "127.0.0.1:0", Target: target})
	require.NoError(t, err)
	t.Cleanup(made.Close)
	return made
}

// Ports below those that the system gives to connections, so that no relay or caller takes one in the meantime.
const (
	firstPort = 12_000
	lastPort  = 31_999
)

var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddress returns an address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(nextPort))
		var config net.ListenConfig
		listener, err := config.Listen(t.Context(), "tcp", address)
		if err == nil {
			require.NoError(t, listener.Close())
			return address
		}
	}
	require.Fail(t, "no port is free")
	return ""
}

func newEntry(t *testing.T, index int, place string) *entry {
	t.Helper()
	made := &entry{
		t:        t,
		name:     fmt.Sprintf("entry-%d", index),
		place:    place,
		caller:   freeAddress(t),
		operator: freeAddress(t),
		peer:     freeAddress(t),
	}
	made.inward = newRelay(t, made.peer)
	return made
}

func get(address string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

func (f *fleet) publish(wanted plan) {
	f.t.Helper()
	builder := configuration.NewBuilder("desk-owner")
	builder.Token("tests", configuration.RoleCaller, ownerToken)
	timeout := wanted.timeout
	if timeout == 0 {
		timeout = 10 * time.Second
	}
	builder.Service("desk", "desk", configuration.ServiceOptions{Deadline: time.Minute, Timeout: timeout, Tombstones: true})
	builder.Service("plain", "desk", configuration.ServiceOptions{Deadline: time.Minute, Timeout: timeout})
	builder.Service("odd", "odd", configuration.ServiceOptions{Deadline: time.Minute, Timeout: timeout})
	builder.Pool("pool", "pool", configuration.PoolOptions{Deadline: time.Minute, Timeout: timeout})
	document, err := builder.Build()
	require.NoError(f.t, err)
	record := configuration.Record{Type: configuration.RecordPublish, Publish: "first", Author: "tests", Document: document}
	log := logservice.New("http://"+f.office.Log.Address(), http.DefaultClient)
	_, err = log.Append(f.t.Context(), configuration.Stream, record)
	require.NoError(f.t, err)
}

// waitForBackends runs tasks through every host until all of them know the back ends and the leases.
func (f *fleet) waitForBackends(wanted plan) {
	f.t.Helper()
	for _, daemon := range f.entries {
		caller := f.client(daemon)
		for _, task := range probes(wanted) {
			require.Eventually(f.t, func() bool {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				answer, err := caller.Run(ctx, api.Submission{Tasks: []api.Task{task}, Deadline: jsontime.Duration(500 * time.Millisecond)})
				return err == nil && answer.State == api.StateComplete
			}, patience, pollEvery, daemon.name)
		}
	}
}

func probes(wanted plan) []api.Task {
	var tasks []api.Task
	if wanted.minions > 0 {
		tasks = append(tasks, api.Task{Service: "desk", Kind: "probe"})
	}
	return tasks
}

// client returns a caller that sends to these hosts, the first one first.
func (f *fleet) client(to ...*entry) *client.Client {
	f.t.Helper()
	options := client.Options{Token: ownerToken, Poll: 5 * time.Second, Attempts: 8}
	for _, daemon := range to {
		options.Entries = append(options.Entries, daemon.url())
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	f.t.Cleanup(transport.CloseIdleConnections)
	made, err := client.New(options, &http.Client{Transport: transport}, clockwork.NewRealClock())
	require.NoError(f.t, err)
	return made
}

// task returns a task of the service that works for that long and is counted by its mark.
func task(service, mark string, work time.Duration) api.Task {
	return api.Task{Service: service, Kind: "test", Payload: payload(mark, work, "")}
}

func poolTask(mark string, work time.Duration) api.Task {
	return api.Task{Pool: "pool", Kind: "test", Payload: payload(mark, work, ""), Need: api.Need{Cores: 1}}
}

func payload(mark string, work time.Duration, fail string) json.RawMessage {
	raw, err := json.Marshal(map[string]any{"mark": mark, "echo": mark, "work": work.String(), "fail": fail})
	if err != nil {
		panic(err)
	}
	return raw
}

func job(tasks ...api.Task) api.Submission {
	return api.Submission{Tasks: tasks}
}

// echoOf returns what a task sent back.
func echoOf(t *testing.T, result api.Result) string {
	t.Helper()
	var value struct {
		Echo string `json:"echo"`
	}
	require.NoError(t, json.Unmarshal(result.Value, &value))
	return value.Echo
}

// requireAtMostOnce checks that no back end was asked twice for the same work.
func (f *fleet) requireAtMostOnce() {
	f.t.Helper()
	for mark, starts := range f.office.Marks() {
		require.LessOrEqual(f.t, starts, int64(1), mark)
	}
	for _, daemon := range f.entries {
		daemon.requireNoBreach()
	}
}
