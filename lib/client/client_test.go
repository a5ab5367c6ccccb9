package client_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/client"
	"chervilusher.dev/lib/jsontime"
)

// fakeEntry is an entry host that answers from a script, one function a request, and repeats the last one.
type fakeEntry struct {
	mutex    sync.Mutex
	name     string
	tickets  int
	received []client.Handle
	script   []func(http.ResponseWriter)
	server   *httptest.Server
}

func newFakeEntry(t *testing.T, name string, script ...func(http.ResponseWriter)) *fakeEntry {
	t.Helper()
	entry := &fakeEntry{name: name, script: script}
	entry.server = httptest.NewServer(entry)
	t.Cleanup(entry.server.Close)
	return entry
}

func (e *fakeEntry) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if request.URL.Path == "/v1/tickets" {
		e.tickets++
		ticket := api.Ticket{Ticket: e.name + "-" + strconv.Itoa(e.tickets), Left: jsontime.Duration(time.Minute)}
		_ = json.NewEncoder(writer).Encode(ticket)
		return
	}
	e.received = append(e.received, client.Handle{
		Key: request.Header.Get(api.HeaderKey), Ticket: request.Header.Get(api.HeaderTicket),
	})
	step := e.script[min(len(e.received), len(e.script))-1]
	step(writer)
}

func (e *fakeEntry) handles() []client.Handle {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]client.Handle(nil), e.received...)
}

func gives(answer api.Answer) func(http.ResponseWriter) {
	return func(writer http.ResponseWriter) {
		writer.WriteHeader(answer.Status())
		_ = json.NewEncoder(writer).Encode(answer)
	}
}

func breaksOff(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}

var (
	complete = api.Answer{State: api.StateComplete, Ran: api.RanYes, Results: []api.Result{{Value: json.RawMessage(`1`)}}}
	running  = api.Answer{State: api.StateRunning, Ran: api.RanYes, Tasks: 2, Done: 1}
	overload = api.Answer{State: api.StateRefused, Ran: api.RanNo, Code: api.CodeOverload, RetryAfter: jsontime.Duration(time.Minute)}
	cut      = api.Answer{State: api.StateUnknown, Ran: api.RanUnknown, Code: api.CodeUnavailable}
	lostHome = api.Answer{State: api.StateUnknown, Ran: api.RanUnknown, Code: api.CodeHomeLost}
	foreign  = api.Answer{State: api.StateRefused, Ran: api.RanNo, Code: api.CodeForbidden}
)

func newClient(t *testing.T, clock clockwork.Clock, options client.Options, entries ...string) *client.Client {
	t.Helper()
	options.Entries = entries
	options.Token = "secret"
	made, err := client.New(options, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, clock)
	require.NoError(t, err)
	return made
}

func job() api.Submission {
	return api.Submission{Tasks: []api.Task{{Service: "desk", Kind: "stock"}}}
}

func TestLostConnectionIsResubmittedElsewhereUnderTheSameHandle(t *testing.T) {
	first := newFakeEntry(t, "first", breaksOff)
	second := newFakeEntry(t, "second", gives(running), gives(complete))
	caller := newClient(t, clockwork.NewRealClock(), client.Options{}, first.server.URL, second.server.URL)
	answer, err := caller.Run(t.Context(), job())
	require.NoError(t, err)
	require.Equal(t, api.StateComplete, answer.State)
	require.NotEmpty(t, first.handles())
	for _, handle := range append(first.handles(), second.handles()...) {
		require.Equal(t, "first-1", handle.Ticket)
		require.Equal(t, first.handles()[0].Key, handle.Key)
	}
}

func TestAnswerToAnotherSubmissionIsNotDelivered(t *testing.T) {
	crossed := complete
	crossed.Key = "another"
	refusal := overload
	refusal.Key = "another"
	entry := newFakeEntry(t, "only", gives(crossed), gives(refusal), gives(complete))
	caller := newClient(t, clockwork.NewRealClock(), client.Options{}, entry.server.URL)
	answer, err := caller.Run(t.Context(), job())
	require.NoError(t, err)
	require.Empty(t, answer.Key)
	require.Len(t, entry.handles(), 3)
	require.Equal(t, entry.handles()[0], entry.handles()[2])
}

func TestUnreachableHomeIsAskedAgainUnderTheSameHandle(t *testing.T) {
	entry := newFakeEntry(t, "only", gives(cut), gives(complete))
	caller := newClient(t, clockwork.NewRealClock(), client.Options{}, entry.server.URL)
	_, err := caller.Run(t.Context(), job())
	require.NoError(t, err)
	require.Len(t, entry.handles(), 2)
	require.Equal(t, entry.handles()[0], entry.handles()[1])
}

func TestRefusalWaitsForRetryAfterAndTakesANewKey(t *testing.T) {
	clock := clockwork.NewFakeClock()
	entry := newFakeEntry(t, "only", gives(overload), gives(complete))
	caller := newClient(t, clock, client.Options{}, entry.server.URL)
	done := make(chan error, 1)
	go func() {
		_, err := caller.Run(context.Background(), job())
		done <- err
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Minute - time.Second)
	require.Len(t, entry.handles(), 1)
	clock.Advance(time.Second)
	require.NoError(t, <-done)
	require.Len(t, entry.handles(), 2)
	require.NotEqual(t, entry.handles()[0].Key, entry.handles()[1].Key)
}

func TestFinalAnswersAreNotTriedAgain(t *testing.T) {
	for _, answer := range []api.Answer{lostHome, foreign} {
		t.Run(string(answer.Code), func(t *testing.T) {
			entry := newFakeEntry(t, "only", gives(answer))
			caller := newClient(t, clockwork.NewRealClock(), client.Options{}, entry.server.URL)
			_, err := caller.Run(t.Context(), job())
			var refusal *client.Error
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, answer.Code, refusal.Answer.Code)
			require.Equal(t, answer.Ran, client.Ran(err))
			require.Len(t, entry.handles(), 1)
		})
	}
}

func TestErrorsSayWhetherItRan(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	caller := newClient(t, clockwork.NewRealClock(), client.Options{Attempts: 2}, closed.URL)
	_, err := caller.RunAs(t.Context(), client.Handle{Key: "k", Ticket: "t"}, job())
	require.Equal(t, api.RanNo, client.Ran(err))

	breaking := newFakeEntry(t, "only", breaksOff)
	caller = newClient(t, clockwork.NewRealClock(), client.Options{Attempts: 2}, breaking.server.URL)
	_, err = caller.RunAs(t.Context(), client.Handle{Key: "k", Ticket: "t"}, job())
	require.Equal(t, api.RanUnknown, client.Ran(err))
}

func TestOneTicketServesManyKeys(t *testing.T) {
	clock := clockwork.NewFakeClock()
	entry := newFakeEntry(t, "only", gives(complete))
	caller := newClient(t, clock, client.Options{}, entry.server.URL)
	first, err := caller.Mint(t.Context())
	require.NoError(t, err)
	second, err := caller.Mint(t.Context())
	require.NoError(t, err)
	require.Equal(t, first.Ticket, second.Ticket)
	require.NotEqual(t, first.Key, second.Key)
	clock.Advance(time.Minute)
	third, err := caller.Mint(t.Context())
	require.NoError(t, err)
	require.NotEqual(t, first.Ticket, third.Ticket)
}

func TestCancelTakesCancelledAsSuccess(t *testing.T) {
	entry := newFakeEntry(t, "only", gives(api.Answer{State: api.StateCancelled, Ran: api.RanNo, Code: api.CodeCancelled}))
	caller := newClient(t, clockwork.NewRealClock(), client.Options{}, entry.server.URL)
	answer, err := caller.Cancel(t.Context(), client.Handle{Key: "k", Ticket: "t"})
	require.NoError(t, err)
	require.Equal(t, api.StateCancelled, answer.State)
}

func TestNewNamesTheWrongOption(t *testing.T) {
	_, err := client.New(client.Options{}, http.DefaultClient, clockwork.NewRealClock())
	require.ErrorContains(t, err, "no entry host")
	_, err = client.New(client.Options{Entries: []string{"localhost:1"}}, http.DefaultClient, clockwork.NewRealClock())
	require.ErrorContains(t, err, "localhost:1")
}
