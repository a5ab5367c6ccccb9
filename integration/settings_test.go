package integration

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWrongSettingsEndTheDaemonWithOneLine(t *testing.T) {
	var config net.ListenConfig
	taken, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()

	good := fmt.Sprintf(`
		"name": "entry-0", "place": "north",
		"operator": {"listen": %q}, "peer": {"listen": %q},
		"platform": {"log": "http://127.0.0.1:1", "hosts": "http://127.0.0.1:1"},
		"ticket": {"key": "a key for the tests alone"},`, freeAddress(t), freeAddress(t))
	caller := fmt.Sprintf(`"caller": {"listen": %q},`, freeAddress(t))
	cases := []struct {
		name     string
		settings string
		want     string
	}{
		{"unknown key", `{` + good + caller + `"bogus": 1}`, `"bogus"`},
		{"no unit", `{` + good + caller + `"lease": {"length": "3"}}`, `"3" is not a duration`},
		{"out of range", `{` + good + caller + `"policy": {"eject": 2}}`, "policy.eject is 2"},
		{"not JSON", `{` + good, "settings"},
		{"no address", `{` + good + `}`, "caller.listen"},
		{"address in use", `{` + good + `"caller": {"listen": "` + taken.Addr().String() + `"}}`, "caller.listen"},
		{"half a key pair", `{` + good + `"caller": {"listen": "127.0.0.1:0", "tls": {"cert": "c.pem"}}}`, "caller.tls"},
		{"absent key pair", `{` + good + `"caller": {"listen": "127.0.0.1:0", "tls": {"cert": "c.pem", "key": "k.pem"}}}`, "c.pem"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "entry.json")
			require.NoError(t, os.WriteFile(path, []byte(test.settings), 0o600))
			requireUsageError(t, test.want, "--settings", path)
		})
	}
	t.Run("no file", func(t *testing.T) { requireUsageError(t, "absent.json", "--settings", "absent.json") })
	t.Run("unknown flag", func(t *testing.T) { requireUsageError(t, "--bogus", "--bogus") })
	t.Run("no flag", func(t *testing.T) { requireUsageError(t, "--settings") })
}

// requireUsageError runs the daemon and checks that it ends at once with code 2 and one line that names what is wrong.
func requireUsageError(t *testing.T, want string, arguments ...string) {
	t.Helper()
	command := exec.CommandContext(t.Context(), entryBinary, arguments...)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	require.Error(t, command.Run())
	require.Equal(t, 2, command.ProcessState.ExitCode(), stderr.String())
	require.Contains(t, stderr.String(), want)
	require.Equal(t, 1, strings.Count(stderr.String(), "\n"), stderr.String())
}
