package app

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBadSettingsGiveOneLineAndExitCode(t *testing.T) {
	cases := map[string]string{
		"unknown key": `{"log":{"listen":"127.0.0.1:0"},"wrong":1}`,
		"bad unit":    `{"hosts":{"lag":"5"}}`,
		"no address":  `{}`,
		"not JSON":    `{`,
	}
	for name, text := range cases {
		path := filepath.Join(t.TempDir(), "fleet.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600), name)
		var out, failures bytes.Buffer
		require.Equal(t, exitBadSettings, run(context.Background(), []string{"run", "--config", path}, &out, &failures), name)
		require.Equal(t, 1, strings.Count(failures.String(), "\n"), name)
	}
}

func TestRunPrintsOneLineWhenReady(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.json")
	text := `{
		// The ports are chosen by the system.
		"log": {"listen": "127.0.0.1:0"},
		"hosts": {"listen": "127.0.0.1:0", "lag": "1s"},
		"groups": [{"name": "desk", "role": "minion", "places": ["x"], "count": 2, "address": "127.0.0.1", "port": 0}],
	}`
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out, failures bytes.Buffer
	require.Equal(t, exitOK, run(ctx, []string{"run", "--config", path}, &out, &failures))
	require.Empty(t, failures.String())
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), "2 back ends")
}
