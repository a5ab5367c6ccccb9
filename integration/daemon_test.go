package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/standin/pkg/relay"
)

// entry is one daemon's process; peers, and the platform's services, are reached through relays of its own.
type entry struct {
	t        *testing.T
	name     string
	place    string
	caller   string
	operator string
	peer     string
	inward   *relay.Relay // other hosts to this one
	log      *relay.Relay
	hosts    *relay.Relay
	settings string
	command  *exec.Cmd
	exited   chan error
}

func (e *entry) writeSettings(wanted plan) {
	keep := wanted.keep
	if keep == 0 {
		keep = time.Minute
	}
	heartbeat := wanted.heartbeat
	if heartbeat == 0 {
		heartbeat = 500 * time.Millisecond
	}
	text := fmt.Sprintf(`{
		"name": %q, "place": %q,
		"caller": {"listen": %q}, "operator": {"listen": %q, "hash": %q}, "peer": {"listen": %q},
		"platform": {"log": "http://%s", "hosts": "http://%s"},
		"ticket": {"key": "a key for the tests alone", "keep": %q},
		"lease": {"length": "1s", "margin": "300ms", "heartbeat": %q},
	}`, e.name, e.place, e.caller, e.operator, configuration.HashToken(hostToken), e.peer, e.log.Address(), e.hosts.Address(), keep, heartbeat)
	e.settings = filepath.Join(e.t.TempDir(), e.name+".json")
	require.NoError(e.t, os.WriteFile(e.settings, []byte(text), 0o600))
}

func (e *entry) start() {
	e.t.Helper()
	e.command = exec.CommandContext(context.Background(), entryBinary, "--settings", e.settings)
	output, err := os.OpenFile(e.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(e.t, err)
	e.command.Stdout = output
	e.command.Stderr = output
	require.NoError(e.t, e.command.Start())
	exited := make(chan error, 1)
	e.exited = exited
	command := e.command
	go func() { exited <- command.Wait() }()
	e.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		if e.t.Failed() {
			e.showLog()
		}
	})
}

func (e *entry) showLog() {
	const tailBytes = 6000
	raw, err := os.ReadFile(e.settings + ".log")
	if err != nil {
		return
	}
	e.t.Logf("%s wrote:\n%s", e.name, raw[max(0, len(raw)-tailBytes):])
}

func (e *entry) signal(signal syscall.Signal) {
	e.t.Helper()
	require.NoError(e.t, e.command.Process.Signal(signal))
}

func (e *entry) kill() {
	e.t.Helper()
	e.signal(syscall.SIGKILL)
	<-e.exited
}

func (e *entry) url() string { return "http://" + e.caller }

func (e *entry) ready() bool {
	status, err := get("http://" + e.operator + "/ready")
	return err == nil && status == http.StatusOK
}

func (e *entry) waitReady() {
	e.t.Helper()
	require.Eventually(e.t, e.ready, patience, pollEvery, e.name)
}

// alive reports whether the daemon serves its operators.
func (e *entry) alive() bool {
	_, err := get("http://" + e.operator + "/live")
	return err == nil
}

// metrics returns the daemon's own counters as text.
func (e *entry) metrics() string {
	e.t.Helper()
	text, err := e.tryMetrics()
	require.NoError(e.t, err)
	return text
}

// tryMetrics returns the daemon's own counters as text, or why it does not show them.
func (e *entry) tryMetrics() (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.operator+"/metrics", nil)
	if err != nil {
		return "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return string(raw), err
}

// requireNoBreach checks the daemon's count of broken invariants; only one that serves nobody may not show it.
func (e *entry) requireNoBreach() {
	e.t.Helper()
	text, err := e.tryMetrics()
	if err != nil {
		require.False(e.t, e.alive(), "%s lives and shows no counters: %v", e.name, err)
		return
	}
	require.NotContains(e.t, text, "chervilusher_invariant_breaches_total{", e.name)
}

// metric returns the value of one of the daemon's own counters.
func (e *entry) metric(name string) float64 {
	e.t.Helper()
	for line := range strings.Lines(e.metrics()) {
		if text, ok := strings.CutPrefix(line, name+" "); ok {
			value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			require.NoError(e.t, err)
			return value
		}
	}
	return 0
}

// status returns the daemon's own view.
func (e *entry) status() (*api.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.operator+"/v1/status", nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+hostToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var status api.Status
	return &status, json.NewDecoder(response.Body).Decode(&status)
}
