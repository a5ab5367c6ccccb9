package hostile

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/logservice"
	"chervilusher.dev/lib/platform"
	"chervilusher.dev/standin/pkg/hostlist"
	standinlog "chervilusher.dev/standin/pkg/logservice"
	"chervilusher.dev/standin/pkg/metastore"
	"chervilusher.dev/standin/pkg/office"
	"chervilusher.dev/standin/pkg/runner"
)

const (
	queueHost   = "desk.example"
	queuePath   = "/stock/"
	firstJob    = "00000000000000aa"
	group       = "desk"
	place       = "north"
	ownerToken  = "the token of the tests' owner"
	askTimeout  = 10 * time.Second
	runnerCores = 16000
	// platformBody is the largest body of the users' platform.
	platformBody = 256 << 10
	// entryBody is within what the callers' API takes.
	entryBody = 3 << 20
	// platformTasks and platformSpec are the most of one job on the users' platform.
	platformTasks = 1000
	platformSpec  = 4000
	// longTask is how long a task runs that keeps its caller waiting.
	longTask = 8 * time.Second
)

// freeAddress returns an address nobody listens on any more.
func freeAddress(t *testing.T) string {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// send sends one request on a connection of its own.
func send(ctx context.Context, request *http.Request) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// newPlatform starts the program of the users' platform beside a store and a minion.
func newPlatform(t *testing.T) *victim {
	t.Helper()
	clock := clockwork.NewRealClock()
	store := metastore.New(clock, 1)
	storeServer := httptest.NewServer(store.Handler())
	t.Cleanup(storeServer.Close)
	store.Put("keyed.op", "config", fmt.Appendf(nil,
		`{"version":1,"routes":[{"name":"stock","host":%q,"path_prefix":%q,"timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":%q,"max_attempts":2,"stretch":1.6}],"services":[],"limits":{}}`,
		queueHost, queuePath, group))
	worker := runner.New(clock, runner.NewLedger(), "i-0", runnerCores, 1)
	workerServer := httptest.NewServer(worker.Handler())
	t.Cleanup(workerServer.Close)
	store.Put("keyed.servers", "i-0", worker.Entry(group, workerServer.Listener.Addr().String(), place, "ready"))
	caller, peer := freeAddress(t), freeAddress(t)
	v := &victim{
		t: t, caller: caller, peer: peer, bodyBytes: platformBody, memory: platformMemory, descriptors: descriptors,
		head: "POST " + queuePath + firstJob + " HTTP/1.1\r\nHost: " + queueHost + "\r\n",
	}
	var asked atomic.Int64
	v.long = platformJob(t, runner.Work{Length: longTask, Cores: 10}, 1, 0)
	v.wide = platformJob(t, runner.Work{Length: time.Second, Cores: 1}, platformTasks, platformSpec)
	v.ask = func(ctx context.Context) (int, error) { return askPlatform(ctx, caller, asked.Add(1)) }
	v.start("platform", fmt.Sprintf(`{"name":"host","place":%q,"caller":%q,"ready":%q,"peer":%q,"metrics":%q,"store":%q,"memory":%d,"descriptors":%d}`,
		place, caller, freeAddress(t), peer, freeAddress(t), storeServer.Listener.Addr(), platformMemory>>20, descriptors))
	return v
}

// platformJob returns the body of a job of equal tasks, with a description of at least that many bytes.
func platformJob(t *testing.T, work runner.Work, tasks, bytes int) string {
	t.Helper()
	spec, err := json.Marshal(work)
	require.NoError(t, err)
	spec = append(spec, strings.Repeat(" ", max(0, bytes-len(spec)))...)
	return fmt.Sprintf(`{"best_effort":true,"spec":%q,"steps":[{"count":%d,"cpu":%d,"mem_mb":1,"estimated_ms":%d}]}`,
		spec, tasks, work.Cores, work.Length.Milliseconds())
}

func askPlatform(ctx context.Context, caller string, number int64) (int, error) {
	spec, err := json.Marshal(runner.Work{Length: 10 * time.Millisecond, Cores: 1000})
	if err != nil {
		return 0, err
	}
	text := fmt.Sprintf(`{"best_effort":true,"spec":%q,"steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimated_ms":10}]}`, spec)
	address := fmt.Sprintf("http://%s%s%016x", caller, queuePath, number)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, strings.NewReader(text))
	if err != nil {
		return 0, err
	}
	request.Host = queueHost
	return send(ctx, request)
}

// newEntry starts the entry program beside a log, a host list and a minion.
func newEntry(t *testing.T) *victim {
	t.Helper()
	peer := freeAddress(t)
	made, err := office.New(clockwork.NewRealClock(), office.Settings{
		Log:   standinlog.Settings{Listen: "127.0.0.1:0"},
		Hosts: hostlist.Settings{Listen: "127.0.0.1:0"},
		Groups: []office.Group{{
			Name: group, Role: platform.RoleMinion, Places: []string{place}, Count: 1, Address: "127.0.0.1", Slots: 4,
		}},
		Entries: []office.Entry{{Name: "host", Address: peer, Place: place}},
	})
	require.NoError(t, err)
	t.Cleanup(made.Close)
	publishService(t, made.Log.Address())
	caller := freeAddress(t)
	v := &victim{
		t: t, caller: caller, peer: peer, bodyBytes: entryBody, memory: entryMemory, descriptors: descriptors,
		head: "POST /v1/requests HTTP/1.1\r\nHost: " + caller + "\r\nAuthorization: Bearer " + ownerToken + "\r\n",
	}
	v.long = fmt.Sprintf(`{"service":"desk","kind":"test","deadline":%q,"payload":{"work":%q}}`, payloadDeadline, longTask)
	v.ask = func(ctx context.Context) (int, error) { return askEntry(ctx, caller) }
	v.start("entry", fmt.Sprintf(`{
		"name": "host", "place": %q, "limits": {"memory": %d, "descriptors": %d},
		"caller": {"listen": %q}, "operator": {"listen": %q}, "peer": {"listen": %q},
		"platform": {"log": "http://%s", "hosts": "http://%s"},
		"ticket": {"key": "a key for the tests alone"},
	}`, place, entryMemory>>20, descriptors, caller, freeAddress(t), peer, made.Log.Address(), made.Hosts.Address()))
	return v
}

func publishService(t *testing.T, address string) {
	t.Helper()
	builder := configuration.NewBuilder("desk-owner")
	builder.Token("tests", configuration.RoleCaller, ownerToken)
	builder.Service("desk", group, configuration.ServiceOptions{Deadline: time.Minute, Timeout: askTimeout})
	document, err := builder.Build()
	require.NoError(t, err)
	record := configuration.Record{Type: configuration.RecordPublish, Publish: "first", Author: "tests", Document: document}
	_, err = logservice.New("http://"+address, http.DefaultClient).Append(t.Context(), configuration.Stream, record)
	require.NoError(t, err)
}

func askEntry(ctx context.Context, caller string) (int, error) {
	text, err := json.Marshal(api.Request{Task: api.Task{Service: "desk", Kind: "test"}})
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+caller+"/v1/requests", bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+ownerToken)
	return send(ctx, request)
}
