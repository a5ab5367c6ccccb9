package app

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/soak/pkg/yard"
)

// binary is the entry program that TestMain builds.
var binary string

func TestMain(m *testing.M) {
	os.Exit(withBinary(m))
}

func withBinary(m *testing.M) int {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "platform")
	if output, err := exec.CommandContext(context.Background(), "go", "build", "-o", binary, "chervilusher.dev/platform").CombinedOutput(); err != nil {
		panic(string(output))
	}
	return m.Run()
}

// seeds are those of the short run in CI, and each that ever failed, with its cause.
var seeds = map[string]uint64{
	"first": 1,
	// A job of five tasks of which a cell can run four at once was refused on an idle fleet.
	"job wider than the room": 207,
}

func TestShortSoaks(t *testing.T) {
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			result, err := Run(Settings{
				Yard:   yard.Settings{Binary: binary, Folder: t.TempDir(), Places: 3, Hosts: 2, Runners: 4, Seed: seed},
				Length: 10 * time.Second,
				Gap:    25 * time.Millisecond,
			}, t.Output())
			require.NoError(t, err)
			t.Logf("answers: %v", result.Outcomes)
			require.Empty(t, result.Breaches)
			require.Greater(t, result.Outcomes["200"], 100)
		})
	}
}
