package app

import (
	"bytes"
	"encoding/json"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
)

// result is what one command printed and returned.
type result struct {
	code   int
	stdout string
	stderr string
}

func command(t *testing.T, stdin string, commandLine ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := run(t.Context(), commandLine, strings.NewReader(stdin), &stdout, &stderr, false)
	return result{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

// callersHost is an entry host that gives the same answer to every job.
func callersHost(t *testing.T, answer api.Answer) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/v1/tickets" {
			_ = json.NewEncoder(writer).Encode(api.Ticket{Ticket: "t"})
			return
		}
		writer.WriteHeader(answer.Status())
		_ = json.NewEncoder(writer).Encode(answer)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func TestExitCodesFollowTheAnswer(t *testing.T) {
	cases := []struct {
		answer api.Answer
		code   int
	}{
		{api.Answer{State: api.StateComplete, Ran: api.RanYes, Results: []api.Result{{Value: json.RawMessage(`7`)}}}, exitDone},
		{api.Answer{State: api.StateRefused, Ran: api.RanNo, Code: api.CodeImpossible}, exitRefused},
		{api.Answer{State: api.StateFailed, Ran: api.RanYes, Code: api.CodeTaskFailed}, exitFailed},
		{api.Answer{State: api.StateUnknown, Ran: api.RanUnknown, Code: api.CodeHomeLost}, exitUnknown},
		{api.Answer{State: api.StateCancelled, Ran: api.RanNo, Code: api.CodeCancelled}, exitCancelled},
	}
	for _, test := range cases {
		t.Run(string(test.answer.State), func(t *testing.T) {
			host := callersHost(t, test.answer)
			got := command(t, "", "--json", "submit", "--entry", host, "--token", "x", "--service", "desk", "--kind", "stock")
			require.Equal(t, test.code, got.code, got.stderr)
			var printed api.Answer
			require.NoError(t, json.Unmarshal([]byte(got.stdout), &printed))
			require.Equal(t, test.answer.State, printed.State)
			require.Equal(t, test.code == exitDone, got.stderr == "")
		})
	}
}

func TestBadInputIsOneLineAndExitCode2(t *testing.T) {
	cases := []struct {
		name string
		line []string
		want string
	}{
		{"no command", nil, "no command"},
		{"unknown flag", []string{"submit", "--bogus"}, "--bogus"},
		{"no entry", []string{"submit", "--token", "x", "--service", "s", "--kind", "k"}, "CHERVILUSHER_ENTRY"},
		{"no token", []string{"submit", "--entry", "http://h", "--service", "s", "--kind", "k"}, "CHERVILUSHER_TOKEN"},
		{"both", []string{"submit", "--service", "s", "--pool", "p", "--kind", "k"}, "either --service or --pool"},
		{"count", []string{"submit", "--service", "s", "--kind", "k", "--count", "291"}, "1 to 290"},
		{"payload", []string{"submit", "--service", "s", "--kind", "k", "--payload", "{"}, "--payload"},
		{"unknown key", []string{"submit", "-"}, "bogus"},
		{"no base", []string{"config", "publish", "-", "--log", "http://h"}, "bogus"},
		{"no ticket", []string{"wait", "key", "--entry", "http://h", "--token", "x"}, "--ticket is missing"},
		{"status", []string{"status", "bogus"}, "bogus"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := command(t, `{"bogus":1}`, test.line...)
			require.Equal(t, exitUsage, got.code)
			require.Contains(t, got.stderr, test.want)
			require.Equal(t, 1, strings.Count(got.stderr, "\n"))
			require.Empty(t, got.stdout)
		})
	}
}

func TestUnreachableHost(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	got := command(t, "", "ticket", "--entry", closed.URL, "--token", "x")
	require.Equal(t, exitUnreachable, got.code)
	got = command(t, "", "status", "--entry", closed.URL)
	require.Equal(t, exitUnreachable, got.code)
}

// operatorsHost is an entry host that accepts version 1 and rejects every other base.
func operatorsHost(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(api.Status{Hosts: []api.HostStatus{{Name: "entry-1", Place: "north", Ready: api.ReadyYes}}})
	})
	mux.HandleFunc("POST /v1/owners/{owner}/configuration", func(writer http.ResponseWriter, request *http.Request) {
		var change api.Change
		_ = json.NewDecoder(request.Body).Decode(&change)
		if change.Base != 0 {
			writer.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(writer).Encode(api.Fault{Code: api.CodeConflict, Reason: "version 1 is in force"})
			return
		}
		_ = json.NewEncoder(writer).Encode(configuration.Accepted{Version: 1, Publish: change.Publish})
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func TestOperatorsCommands(t *testing.T) {
	host := operatorsHost(t)
	got := command(t, "", "status", "hosts", "--entry", host)
	require.Equal(t, exitDone, got.code, got.stderr)
	require.Contains(t, got.stdout, "entry-1")

	skeleton := command(t, "", "config", "new", "hokkaido")
	require.Equal(t, exitDone, skeleton.code)
	path := filepath.Join(t.TempDir(), "hokkaido.json")
	require.NoError(t, os.WriteFile(path, []byte(skeleton.stdout), 0o600))
	got = command(t, "", "config", "publish", path, "--base", "0", "--entry", host)
	require.Equal(t, exitDone, got.code, got.stderr)
	require.Contains(t, got.stdout, "version 1 is accepted")
	got = command(t, "", "config", "publish", path, "--base", "3", "--entry", host)
	require.Equal(t, exitRejected, got.code)
	require.Contains(t, got.stderr, "version 1 is in force")
}

func TestBurnAddsUpTheHostsThatAnswer(t *testing.T) {
	objective := api.BurnObjective{Owner: "hokkaido", Name: "prompt", Service: "desk", Target: 0.9, Good: 3}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(api.BurnReport{Hosts: []string{"h"}, Objectives: []api.BurnObjective{objective}})
	}))
	t.Cleanup(server.Close)
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	var report api.BurnReport
	got := command(t, "", "--json", "burn", "--entry", server.URL, "--entry", server.URL)
	require.Equal(t, exitDone, got.code, got.stderr)
	require.NoError(t, json.Unmarshal([]byte(got.stdout), &report))
	require.EqualValues(t, 6, report.Objectives[0].Good)

	got = command(t, "", "--json", "burn", "--entry", server.URL, "--entry", closed.URL)
	require.Equal(t, exitUnreachable, got.code)
	require.Contains(t, got.stderr, "the report lacks "+closed.URL)
	require.NoError(t, json.Unmarshal([]byte(got.stdout), &report))
	require.EqualValues(t, 3, report.Objectives[0].Good)
}

func TestALostPublishIsSentAgainUnderTheSameIdentifier(t *testing.T) {
	var identifiers []string
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var change api.Change
		_ = json.NewDecoder(request.Body).Decode(&change)
		identifiers = append(identifiers, change.Publish)
		switch len(identifiers) {
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			writer.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(writer).Encode(api.Fault{Code: api.CodeUnavailable, Reason: "no log"})
		default:
			_ = json.NewEncoder(writer).Encode(configuration.Accepted{Version: 1})
		}
	}))
	t.Cleanup(server.Close)
	skeleton := command(t, "", "config", "new", "hokkaido")
	got := command(t, skeleton.stdout, "config", "publish", "-", "--base", "0", "--publish", "again", "--entry", server.URL)
	require.Equal(t, exitDone, got.code, got.stderr)
	require.Equal(t, []string{"again", "again", "again"}, identifiers)
}

func TestHostsWithTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(api.Ticket{Ticket: "secured"})
	}))
	t.Cleanup(server.Close)
	path := filepath.Join(t.TempDir(), "trust.pem")
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	require.NoError(t, os.WriteFile(path, block, 0o600))
	got := command(t, "", "--trust", path, "ticket", "--entry", server.URL, "--token", "x")
	require.Equal(t, exitDone, got.code, got.stderr)
	require.Contains(t, got.stdout, "secured")
	got = command(t, "", "--trust", "absent.pem", "ticket", "--entry", server.URL, "--token", "x")
	require.Equal(t, exitUsage, got.code)
	require.Contains(t, got.stderr, "absent.pem")
}

func TestHelpShowsExamplesOfEachCommand(t *testing.T) {
	for name := range examples {
		line := append(strings.Fields(name), "--help")
		got := command(t, "", line...)
		require.Equal(t, exitDone, got.code, name)
		require.Contains(t, got.stdout, "Examples:", name)
	}
}
