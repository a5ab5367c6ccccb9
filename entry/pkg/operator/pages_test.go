package operator_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	entrySources = "../.."
	apiSources   = "../../../lib/api"
	operations   = "../../../docs/OPERATIONS.md"
	callersPage  = "../../../docs/API.md"
)

// found returns what the pattern's first group matches in the Go files below a folder, those of tests left out.
func found(t *testing.T, folder, pattern string) map[string]bool {
	t.Helper()
	wanted := regexp.MustCompile(pattern)
	names := map[string]bool{}
	err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		for _, match := range wanted.FindAllSubmatch(raw, -1) {
			names[string(match[1])] = true
		}
		return err
	})
	require.NoError(t, err)
	require.NotEmpty(t, names)
	return names
}

func requirePageNames(t *testing.T, page string, names map[string]bool) {
	t.Helper()
	raw, err := os.ReadFile(page)
	require.NoError(t, err)
	var missing []string
	for name := range names {
		if !regexp.MustCompile("`" + name + "[`{]").Match(raw) {
			missing = append(missing, name)
		}
	}
	require.Empty(t, missing, "%s does not name them", page)
}

func TestThePageForOperatorsNamesEachMetric(t *testing.T) {
	requirePageNames(t, operations, found(t, entrySources, `\b(chervilusher_[a-z_]+)\b`))
}

func TestThePageForCallersNamesEachCode(t *testing.T) {
	requirePageNames(t, callersPage, found(t, apiSources, `Code = "([a-z_]+)"`))
}
