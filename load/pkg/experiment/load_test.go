package experiment

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestShippedExperimentsAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../experiments/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		_, err := Load(path)
		require.NoError(t, err, path)
	}
}

func TestReferenceFleetHasTheRateOfItsTarget(t *testing.T) {
	settings, err := Load("../../experiments/reference-70.json")
	require.NoError(t, err)
	owner := &settings.Owners[0]
	require.InDelta(t, 422.4, Capacity(settings.Group(owner.Group)), 0.01)
	require.InDelta(t, 311, settings.TaskRate(owner, owner.Phases[0]), 1)
	require.InDelta(t, 1, MedianSpeed(settings.Group(owner.Group)), 0.001)
}

func TestBadExperiments(t *testing.T) {
	const fleet = `"groups":[{"name":"g"}],"entries":[{"name":"e"}],`
	cases := map[string]string{
		"name is empty":    `{}`,
		"length":           `{"name":"x"}`,
		"entries is empty": `{"name":"x","length":"1s"}`,
		"not among groups": `{"name":"x","length":"1s",` + fleet + `"owners":[{"name":"o","group":"other"}]}`,
		"unknown field":    `{"name":"x","wrong":1}`,
	}
	for want, text := range cases {
		path := filepath.Join(t.TempDir(), "experiment.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := Load(path)
		require.ErrorContains(t, err, want)
	}
}

func TestScaleDividesRunTimesAndDeadlines(t *testing.T) {
	path := filepath.Join(t.TempDir(), "experiment.json")
	text := `{"name":"x","length":"1s","scale":4,"groups":[{"name":"g"}],"entries":[{"name":"e"}],
		"owners":[{"name":"o","group":"g","phases":[{"rate":1}],"classes":[{"name":"c","share":1,"from":"4s","to":"8s","deadline":"20s"}]}]}`
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	loaded, err := Load(path)
	require.NoError(t, err)
	class := loaded.Owners[0].Classes[0]
	require.Equal(t, []time.Duration{time.Second, 2 * time.Second, 5 * time.Second},
		[]time.Duration{class.From.Std(), class.To.Std(), class.Deadline.Std()})
}
