package app

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// writeDocument writes the skeleton with one replacement to a file.
func writeDocument(t *testing.T, old, changed string) string {
	t.Helper()
	skeleton := command(t, "", "config", "new", "hokkaido").stdout
	require.Contains(t, skeleton, old)
	text := strings.Replace(skeleton, `"name": "operators",`, `"name": "operators", // another token`, 1)
	text = strings.Replace(text, strings.Repeat("0", 64), strings.Repeat("1", 64), 1)
	path := filepath.Join(t.TempDir(), "document.json")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(text, old, changed, 1)), 0o600))
	return path
}

func TestCheckPrintsFindingsAndExitsWithOne(t *testing.T) {
	path := writeDocument(t, `"latency": "2s"`, `"latency": "20s"`)
	got := command(t, "", "config", "check", path)
	require.Equal(t, exitError, got.code, got.stderr)
	require.Regexp(t, `document.json:\d+:\d+: latency 20s is after the deadline 10s`, got.stdout)
}

func TestCheckNamesThePlaceOfAnErrorAndExitsWithTwo(t *testing.T) {
	path := writeDocument(t, `"group": "minions"`, `"group": ""`)
	got := command(t, "", "config", "check", path)
	require.Equal(t, exitUsage, got.code)
	require.Regexp(t, `document.json:\d+:\d+: services\[0\].group is empty`, got.stderr)
}

func TestCheckShowsWhatDiffersInTheOrderOfTheFile(t *testing.T) {
	before, after := writeDocument(t, "owner", "owner"), writeDocument(t, `"deadline": "10s"`, `"timeout": "3s", "deadline": "12s"`)
	got := command(t, "", "config", "check", after, "--against", before)
	require.Equal(t, exitDone, got.code, got.stderr)
	require.Regexp(t, `(?s)services\[desk\].timeout: none -> "3s".*services\[desk\].deadline: "10s" -> "12s"`, got.stdout)
	require.NotContains(t, got.stdout, "\x1b", "no colors without a terminal")
	got = command(t, "", "--json", "config", "check", after, "--against", before)
	require.Contains(t, got.stdout, `"field": "services[desk].deadline"`)
}
