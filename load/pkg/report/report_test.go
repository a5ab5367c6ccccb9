package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/load/pkg/experiment"
	"chervilusher.dev/load/pkg/measure"
)

func results(name string) *measure.Results {
	return &measure.Results{
		Settings: experiment.Settings{Name: name},
		Windows:  []measure.WindowFigures{{Window: experiment.Window{Name: "all"}, Rows: []measure.Row{{Owner: "o <b>"}}}},
		Seconds:  []measure.SecondFigures{{At: 0, P50: 1}, {At: 1, P50: 2}},
		Shares:   []measure.Point{{X: 1, Y: 0.5}, {X: 2, Y: 1}},
	}
}

func TestPageIsSelfContainedAndEscaped(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.html")
	require.NoError(t, WriteHTML(path, results("first"), results("second")))
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	page := string(raw)
	require.Contains(t, page, "<svg")
	require.Contains(t, page, "o &lt;b&gt;")
	require.NotContains(t, page, "src=")
	require.Equal(t, 1, strings.Count(page, "<title>"))
}

func TestResultsSurviveAFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "results.json")
	require.NoError(t, WriteJSON(path, results("first")))
	read, err := ReadJSON(path)
	require.NoError(t, err)
	require.Equal(t, results("first"), read)
}
