package configuration_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/settings"
)

func TestEachFindingHasAFileThatShowsIt(t *testing.T) {
	hash := `"hash": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"`
	for name, test := range map[string]struct{ text, pointer, problem string }{
		"token": {
			`{"owner": "o", "tokens": [{"name": "a", "role": "caller", ` + hash + `}, {"name": "b", "role": "operator", ` + hash + `}]}`,
			"/tokens/1/hash", "never matches",
		},
		"quota": {`{"owner": "o", "tokens": [], "quota": {"queued": 2, "running": 3}}`, "/quota/running", "never reached"},
		"place nobody uses": {
			`{"owner": "o", "tokens": [], "places": [{"name": "p", "domain": "d"}, {"name": "q", "domain": "e"}], "services": [{"name": "s", "group": "g", "places": ["p"]}]}`,
			"/places/1", "no service and no pool",
		},
		"domain twice": {
			`{"owner": "o", "tokens": [], "places": [{"name": "p", "domain": "d"}, {"name": "q", "domain": "d"}], "pools": [{"name": "s", "group": "g"}]}`,
			"/places/1/domain", "the same failure domain",
		},
		"place twice": {
			`{"owner": "o", "tokens": [], "places": [{"name": "p", "domain": "d"}], "pools": [{"name": "s", "group": "g", "places": ["p", "p"]}]}`,
			"/pools/0/places/1", "named twice",
		},
		"timeout": {`{"owner": "o", "tokens": [], "services": [{"name": "s", "group": "g", "deadline": "1s", "timeout": "2s"}]}`, "/services/0/timeout", "never reached"},
		"latency after the deadline": {
			`{"owner": "o", "tokens": [], "services": [{"name": "s", "group": "g", "deadline": "1s"}], "objectives": [{"name": "x", "service": "s", "latency": "2s", "target": 0.9}]}`,
			"/objectives/0/latency", "each answer is good",
		},
		"latency after the timeout": {
			`{"owner": "o", "tokens": [], "pools": [{"name": "s", "group": "g", "timeout": "1s"}], "objectives": [{"name": "x", "pool": "s", "latency": "2s", "target": 0.9}]}`,
			"/objectives/0/latency", "of one try",
		},
	} {
		t.Run(name, func(t *testing.T) {
			var document configuration.Document
			require.NoError(t, settings.Parse([]byte(test.text), &document))
			require.NoError(t, document.Check())
			found := document.Lint()
			require.Len(t, found, 1)
			require.Equal(t, test.pointer, found[0].Pointer)
			require.Contains(t, found[0].Problem, test.problem)
		})
	}
}

func TestSkeletonHasNoFindingBesideItsPlaceholders(t *testing.T) {
	document, err := configuration.Skeleton("office")
	require.NoError(t, err)
	document.Tokens[1].Hash = configuration.HashToken("t")
	require.Empty(t, document.Lint())
}

func TestFieldOfAnErrorIsLocated(t *testing.T) {
	require.Equal(t, "/services/0/group", configuration.FieldPointer("services[0].group is empty; give one"))
	require.Equal(t, "/weight", configuration.FieldPointer("weight is -1"))
	raw := []byte("{\n  // owner\n  \"owner\": \"o\",\n  \"services\": [\n    {\"name\": \"s\", \"group\": \"\"}\n  ]\n}")
	require.Equal(t, settings.Position{Line: 5, Column: 28}, settings.Locate(raw, "/services/0/group"))
	require.Equal(t, settings.Position{Line: 5, Column: 5}, settings.Locate(raw, "/services/0/timeout"))
	require.Equal(t, settings.Position{Line: 1, Column: 1}, settings.Locate(raw, "/weight"))
}
