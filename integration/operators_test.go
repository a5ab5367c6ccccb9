package integration

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/publish"
)

// commandLine is the operators' and callers' program.
type commandLine struct {
	t    *testing.T
	path string
}

func buildCommandLine(t *testing.T) commandLine {
	t.Helper()
	path := filepath.Join(t.TempDir(), "chervilusher")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, "chervilusher.dev/cli").CombinedOutput()
	require.NoError(t, err, string(output))
	return commandLine{t: t, path: path}
}

// run runs one command for the host's operator, decodes what it printed into target, and returns its exit code.
func (c commandLine) run(target any, arguments ...string) int {
	c.t.Helper()
	command := exec.CommandContext(c.t.Context(), c.path, append([]string{"--json"}, arguments...)...)
	command.Env = append(os.Environ(), "CHERVILUSHER_OPERATOR_TOKEN="+hostToken, "CHERVILUSHER_TOKEN="+ownerToken)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		require.NoError(c.t, err)
	}
	if exit == nil && target != nil {
		require.NoError(c.t, json.Unmarshal(stdout.Bytes(), target), stdout.String()+stderr.String())
	}
	return command.ProcessState.ExitCode()
}

func (e *entry) operators() string { return "http://" + e.operator }

func TestAnOperatorChangesTheConfigurationOfEveryHost(t *testing.T) {
	f := newFleet(t, plan{places: []string{"north", "south"}, minions: 2, slots: 4})
	program := buildCommandLine(t)
	first, second := f.entries[0], f.entries[1]

	var accepted configuration.Accepted
	require.Zero(t, program.run(&accepted, "config", "show", "desk-owner", "--entry", first.operators()))
	require.EqualValues(t, 1, accepted.Version)

	accepted.Document.Weight = 7
	raw, err := json.Marshal(accepted.Document)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "changed.json")
	require.NoError(t, os.WriteFile(file, raw, 0o600))
	var differences []configuration.FieldChange
	require.Zero(t, program.run(&differences, "config", "diff", file, "--entry", first.operators()))
	require.Equal(t, []configuration.FieldChange{{Field: "weight", New: "7"}}, differences)

	require.Zero(t, program.run(nil, "config", "publish", file, "--base", "1", "--entry", first.operators()))
	require.Equal(t, 7, program.run(nil, "config", "publish", file, "--base", "1", "--entry", second.operators()), "the loser of a race")
	require.Eventually(t, func() bool {
		var seen configuration.Accepted
		return program.run(&seen, "config", "show", "desk-owner", "--entry", second.operators()) == 0 && seen.Version == 2 && seen.Document.Weight == 7
	}, patience, pollEvery)

	var changes []publish.Change
	require.Zero(t, program.run(&changes, "config", "history", "desk-owner", "--entry", second.operators()))
	require.Len(t, changes, 3)
	require.Equal(t, "host", changes[1].Author)
	require.EqualValues(t, 2, changes[1].Version)
	require.NotEmpty(t, changes[2].Reason)
}

func TestDrainByCommandFinishesWork(t *testing.T) {
	f := newFleet(t, plan{places: []string{"north", "north"}, minions: 2, slots: 4})
	program := buildCommandLine(t)
	first := f.entries[0]
	caller := f.client(first)
	handle, err := caller.Mint(t.Context())
	require.NoError(t, err)
	answer, err := caller.Submit(t.Context(), handle, job(task("desk", "kept", time.Second)))
	require.NoError(t, err)
	require.Equal(t, api.StateRunning, answer.State)

	var status api.Status
	require.Zero(t, program.run(&status.Hosts, "status", "hosts", "--entry", first.operators()))
	require.Len(t, status.Hosts, 2)
	var drained api.Drained
	require.Zero(t, program.run(&drained, "drain", "--entry", first.operators()))
	require.Equal(t, 1, drained.Running)
	answer, err = caller.Wait(t.Context(), handle)
	require.NoError(t, err)
	require.Equal(t, api.StateComplete, answer.State)
	require.NoError(t, <-first.exited)
	require.Equal(t, 8, program.run(nil, "status", "hosts", "--entry", first.operators()), "nothing listens any more")
}
