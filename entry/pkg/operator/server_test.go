package operator_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/burn"
	"chervilusher.dev/entry/pkg/common"
	"chervilusher.dev/entry/pkg/operator"
	"chervilusher.dev/entry/pkg/queue"
	"chervilusher.dev/entry/pkg/settings"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/lib/platform"
	"chervilusher.dev/lib/publish"
)

// fakePublisher remembers records and gives a fixed outcome.
type fakePublisher struct {
	records []configuration.Record
	outcome *publish.Outcome
	err     error
}

func (f *fakePublisher) Publish(_ context.Context, record configuration.Record) (*publish.Outcome, error) {
	f.records = append(f.records, record)
	return f.outcome, f.err
}

func (f *fakePublisher) Evacuate(ctx context.Context, record configuration.Record) (*publish.Outcome, error) {
	return f.Publish(ctx, record)
}

func (f *fakePublisher) History(context.Context, string) ([]publish.Change, error) {
	return []publish.Change{{Offset: 3, Version: 1, Author: "hokkaido/chief"}}, f.err
}

// fakeDrainer counts requests to drain.
type fakeDrainer struct {
	requests int
}

func (f *fakeDrainer) RequestDrain() int {
	f.requests++
	return 5
}

// bench is an operators' API over a board with the documents of two owners.
type bench struct {
	board     *blackboard.Board
	publisher *fakePublisher
	drainer   *fakeDrainer
	handler   http.Handler
}

func document(owner string) configuration.Document {
	builder := configuration.NewBuilder(owner)
	builder.Token("chief", configuration.RoleOperator, owner+"-operator")
	builder.Token("clerk", configuration.RoleCaller, owner+"-caller")
	desk := builder.Service("desk", owner+"-minions", configuration.ServiceOptions{})
	builder.ServiceObjective("prompt", desk, configuration.Goal{Target: 0.9})
	built, err := builder.Build()
	if err != nil {
		panic(err)
	}
	return *built
}

func newBench() *bench {
	board := blackboard.New()
	clock := clockwork.NewFakeClock()
	state := configuration.NewState()
	state.Next = 2
	for _, owner := range []string{"hokkaido", "kerlouan"} {
		state.Owners[owner] = &configuration.Accepted{Version: 1, Document: document(owner)}
		group := &blackboard.Group{Name: owner + "-minions", Role: platform.RoleMinion, Backends: map[string]*blackboard.Backend{}}
		group.Backends[owner+"-1"] = &blackboard.Backend{Name: owner + "-1", Group: group.Name, Role: platform.RoleMinion}
		group.Queue = queue.NewFair(board.Dispatch.Accounts)
		group.Queue.Push(&blackboard.Task{
			Job:    &blackboard.Job{Account: owner, Urgent: true, Accepted: clock.Now().Add(-time.Second)},
			Target: &blackboard.Target{Service: "desk", Group: group.Name},
		})
		board.Dispatch.Groups[group.Name] = group
		board.Dispatch.Accounts[owner] = &blackboard.Account{Name: owner}
	}
	board.Configuration.Store(blackboard.NewConfigurationIndex(state))
	loaded := settings.Default()
	loaded.Operator.Hash = configuration.HashToken("host-token")
	c := &common.Common{Log: &log.Logger{Handler: discard.Default}, Settings: loaded, Clock: clock}
	recorder := burn.New("entry-1", c.Clock, func() *configuration.State { return board.Configuration.Load().State })
	made := &bench{board: board, publisher: &fakePublisher{}, drainer: &fakeDrainer{}}
	made.handler = operator.New(c, board, made.publisher, recorder, made.drainer).Handler()
	return made
}

// call sends a request and decodes the answer into target.
func (b *bench) call(t *testing.T, method, path, token, body string, target any) int {
	t.Helper()
	request := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	b.handler.ServeHTTP(recorder, request)
	raw, err := io.ReadAll(recorder.Body)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(raw, target), string(raw))
	return recorder.Code
}

func TestWhoMayDoWhat(t *testing.T) {
	cases := []struct {
		name   string
		method string
		path   string
		token  string
		status int
	}{
		{"no token", http.MethodGet, "/v1/status", "", http.StatusUnauthorized},
		{"unknown token", http.MethodGet, "/v1/status", "bogus", http.StatusUnauthorized},
		{"a caller's token", http.MethodGet, "/v1/status", "hokkaido-caller", http.StatusForbidden},
		{"own status", http.MethodGet, "/v1/status", "hokkaido-operator", http.StatusOK},
		{"own configuration", http.MethodGet, "/v1/owners/hokkaido/configuration", "hokkaido-operator", http.StatusOK},
		{"another's configuration", http.MethodGet, "/v1/owners/kerlouan/configuration", "hokkaido-operator", http.StatusForbidden},
		{"another's history", http.MethodGet, "/v1/owners/kerlouan/history", "hokkaido-operator", http.StatusForbidden},
		{"another's publish", http.MethodPost, "/v1/owners/kerlouan/configuration", "hokkaido-operator", http.StatusForbidden},
		{"drain by an owner", http.MethodPost, "/v1/drain", "hokkaido-operator", http.StatusForbidden},
		{"drain by the host", http.MethodPost, "/v1/drain", "host-token", http.StatusAccepted},
		{"any configuration by the host", http.MethodGet, "/v1/owners/kerlouan/configuration", "host-token", http.StatusOK},
		{"unknown owner", http.MethodGet, "/v1/owners/nobody/configuration", "host-token", http.StatusNotFound},
		{"unknown path", http.MethodGet, "/v1/bogus", "host-token", http.StatusNotFound},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			made := newBench()
			var answer json.RawMessage
			require.Equal(t, test.status, made.call(t, test.method, test.path, test.token, "", &answer), string(answer))
			require.Empty(t, made.publisher.records)
			require.Equal(t, test.status == http.StatusAccepted, made.drainer.requests == 1)
		})
	}
}

func TestStatusAndBurnShowAnOwnerItsOwnAlone(t *testing.T) {
	made := newBench()
	var status api.Status
	made.call(t, http.MethodGet, "/v1/status", "hokkaido-operator", "", &status)
	require.Len(t, status.Minions, 1)
	require.Equal(t, "hokkaido-1", status.Minions[0].Name)
	require.Len(t, status.Owners, 1)
	waiting := api.QueueStatus{Owner: "hokkaido", Service: "desk", Urgent: 1, Oldest: jsontime.Duration(time.Second)}
	require.Equal(t, []api.QueueStatus{waiting}, status.Queues)
	status = api.Status{}
	made.call(t, http.MethodGet, "/v1/status", "host-token", "", &status)
	require.Len(t, status.Minions, 2)

	var report api.BurnReport
	made.call(t, http.MethodGet, "/v1/burn", "hokkaido-operator", "", &report)
	require.Len(t, report.Objectives, 1)
	require.Equal(t, "hokkaido", report.Objectives[0].Owner)
	made.call(t, http.MethodGet, "/v1/burn", "host-token", "", &report)
	require.Len(t, report.Objectives, 2)
}

func change(t *testing.T, edit func(*configuration.Document)) string {
	t.Helper()
	edited := document("hokkaido")
	edit(&edited)
	raw, err := json.Marshal(edited)
	require.NoError(t, err)
	body, err := json.Marshal(api.Change{Base: 1, Publish: "p1", Document: raw})
	require.NoError(t, err)
	return string(body)
}

func TestPublish(t *testing.T) {
	same := func(*configuration.Document) {}
	accepted := &publish.Outcome{Accepted: &configuration.Accepted{Version: 2}}
	rejected := &publish.Outcome{Rejected: &configuration.Rejection{Reason: "made from version 1, but version 2 is in force"}}
	cases := []struct {
		name    string
		body    string
		outcome *publish.Outcome
		err     error
		status  int
		code    api.Code
		reason  string
		records int
	}{
		{"accepted", change(t, same), accepted, nil, http.StatusOK, "", "", 1},
		{"race lost", change(t, same), rejected, nil, http.StatusConflict, api.CodeConflict, "version 2 is in force", 1},
		{"log away", change(t, same), nil, errors.New("no log"), http.StatusServiceUnavailable, api.CodeUnavailable, "no log", 1},
		{"bad field", change(t, func(d *configuration.Document) { d.Weight = -1 }), nil, nil, http.StatusUnprocessableEntity, api.CodeRejected, "weight", 0},
		{"other owner", change(t, func(d *configuration.Document) { d.Owner = "kerlouan" }), nil, nil, http.StatusUnprocessableEntity, api.CodeRejected, "document.owner", 0},
		{"unknown field", `{"base":1,"publish":"p","document":{"bogus":1}}`, nil, nil, http.StatusUnprocessableEntity, api.CodeRejected, "bogus", 0},
		{"no identifier", `{"base":1,"document":{}}`, nil, nil, http.StatusBadRequest, api.CodeBadRequest, "publish", 0},
		{"no JSON", `{`, nil, nil, http.StatusBadRequest, api.CodeBadRequest, "not a change", 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			made := newBench()
			made.publisher.outcome, made.publisher.err = test.outcome, test.err
			var fault api.Fault
			status := made.call(t, http.MethodPost, "/v1/owners/hokkaido/configuration", "hokkaido-operator", test.body, &fault)
			require.Equal(t, test.status, status)
			require.Equal(t, test.code, fault.Code)
			require.Contains(t, fault.Reason, test.reason)
			require.Len(t, made.publisher.records, test.records)
			if test.records > 0 {
				require.Equal(t, "hokkaido/chief", made.publisher.records[0].Author)
			}
		})
	}
}

func TestEvacuations(t *testing.T) {
	evacuated := &publish.Outcome{Evacuation: &configuration.Evacuation{Domain: "north", Evacuated: true}}
	already := &publish.Outcome{Rejected: &configuration.Rejection{Reason: "failure domain north is evacuated already, by host"}}
	cases := []struct {
		name    string
		method  string
		path    string
		token   string
		outcome *publish.Outcome
		err     error
		status  int
		reason  string
		records int
	}{
		{"evacuated", http.MethodPut, "north?publish=p1", "host-token", evacuated, nil, http.StatusOK, "", 1},
		{"twice", http.MethodPut, "north?publish=p1", "host-token", already, nil, http.StatusConflict, "already", 1},
		{"unknown domain", http.MethodPut, "south?publish=p1", "host-token", nil, nil, http.StatusNotFound, "which names east, north", 0},
		{"taken back", http.MethodDelete, "north?publish=p1", "host-token", evacuated, nil, http.StatusOK, "", 1},
		{"taken back after it left the list", http.MethodDelete, "south?publish=p1", "host-token", evacuated, nil, http.StatusOK, "", 1},
		{"an owner's operator", http.MethodPut, "north?publish=p1", "hokkaido-operator", nil, nil, http.StatusForbidden, "all owners", 0},
		{"a caller", http.MethodDelete, "north?publish=p1", "hokkaido-caller", nil, nil, http.StatusForbidden, "caller", 0},
		{"no identifier", http.MethodPut, "north", "host-token", nil, nil, http.StatusBadRequest, "publish", 0},
		{"log away", http.MethodPut, "north?publish=p1", "host-token", nil, errors.New("no log"), http.StatusServiceUnavailable, "no log", 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			made := newBench()
			made.board.Hosts.Store(&blackboard.HostTable{ByName: map[string]platform.Host{
				"a": {Name: "a", Place: "north"}, "b": {Name: "b", Place: "east"}, "c": {Name: "c", Place: "north"},
			}})
			made.publisher.outcome, made.publisher.err = test.outcome, test.err
			var fault api.Fault
			require.Equal(t, test.status, made.call(t, test.method, "/v1/evacuations/"+test.path, test.token, "", &fault))
			require.Contains(t, fault.Reason, test.reason)
			require.Len(t, made.publisher.records, test.records)
		})
	}
}

func TestStatusShowsEvacuations(t *testing.T) {
	made := newBench()
	state := made.board.Configuration.Load().State
	state.Evacuations = map[string]*configuration.Evacuation{
		"north": {Domain: "north", Evacuated: true, Author: "host", Offset: 4},
		"south": {Domain: "south", Author: "host", Offset: 5},
	}
	for _, backend := range made.board.Dispatch.Groups["hokkaido-minions"].Backends {
		backend.Evacuated = true
	}
	want := []api.EvacuationStatus{{Domain: "north", Author: "host", Offset: 4}}
	var status api.Status
	made.call(t, http.MethodGet, "/v1/status", "hokkaido-operator", "", &status)
	require.Equal(t, want, status.Evacuations)
	require.Equal(t, api.ReadyEvacuated, status.Minions[0].Ready)
	var listed []api.EvacuationStatus
	made.call(t, http.MethodGet, "/v1/evacuations", "hokkaido-operator", "", &listed)
	require.Equal(t, want, listed)
}

func TestMetricsShowTheBurn(t *testing.T) {
	made := newBench()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil)
	recorder := httptest.NewRecorder()
	made.handler.ServeHTTP(recorder, request)
	require.Contains(t, recorder.Body.String(), `chervilusher_objective_burn_rate{owner="kerlouan",objective="prompt",window="1h0m0s"}`)
}
