package configuration_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/settings"
)

func office() *configuration.Builder {
	builder := configuration.NewBuilder("hokkaido")
	builder.Weight(2)
	builder.Token("clerks", configuration.RoleCaller, "secret")
	north := builder.Place("north", "asahikawa")
	desk := builder.Service("desk", "brackets", configuration.ServiceOptions{Places: []configuration.PlaceName{north}, Deadline: time.Second})
	builder.ServiceObjective("prompt", desk, configuration.Goal{Latency: time.Second, Target: 0.99})
	return builder
}

func TestPrintIsDeterministicAndReadsBack(t *testing.T) {
	var first, second bytes.Buffer
	require.NoError(t, office().Print(&first))
	require.NoError(t, office().Print(&second))
	require.Equal(t, first.String(), second.String())
	require.NotContains(t, first.String(), "secret")

	built, err := office().Build()
	require.NoError(t, err)
	var read configuration.Document
	require.NoError(t, settings.Parse(first.Bytes(), &read))
	changes, err := configuration.Diff(built, &read)
	require.NoError(t, err)
	require.Empty(t, changes)
}

func TestErrorsNameTheField(t *testing.T) {
	cases := []struct {
		name   string
		change func(*configuration.Builder)
		want   string
	}{
		{"unknown place", func(b *configuration.Builder) {
			b.Pool("gpu", "g", configuration.PoolOptions{Places: []configuration.PlaceName{"south"}})
		}, `pools[0].places names "south"`},
		{"target", func(b *configuration.Builder) {
			b.ServiceObjective("all", "desk", configuration.Goal{Target: 1})
		}, "objectives[1].target is 1"},
		{"repeated", func(b *configuration.Builder) { b.Place("north", "x") }, `places[1].name repeats "north"`},
		{"empty token", func(b *configuration.Builder) { b.Token("x", configuration.RoleOperator, "") }, "tokens[1].hash"},
		{"hash", func(b *configuration.Builder) { b.TokenHash("x", configuration.RoleOperator, "12") }, "tokens[1].hash"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			builder := office()
			test.change(builder)
			_, err := builder.Build()
			require.ErrorContains(t, err, test.want)
		})
	}
}

func TestDiffNamesElementsByTheirName(t *testing.T) {
	before, err := office().Build()
	require.NoError(t, err)
	builder := office()
	builder.Weight(5)
	builder.Pool("workers", "w", configuration.PoolOptions{})
	after, err := builder.Build()
	require.NoError(t, err)
	changes, err := configuration.Diff(before, after)
	require.NoError(t, err)
	require.Equal(t, []configuration.FieldChange{
		{Field: "pools[workers].group", New: `"w"`},
		{Field: "pools[workers].name", New: `"workers"`},
		{Field: "weight", Old: "2", New: "5"},
	}, changes)
}

func TestSkeletonPassesTheChecks(t *testing.T) {
	_, err := configuration.Skeleton("kerlouan")
	require.NoError(t, err)
	_, err = configuration.Skeleton("Not A Name")
	require.ErrorContains(t, err, "owner")
}
