package queues_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/queues"
)

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := queues.New(3, []queues.Queue{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "A.example", Prefix: "/desk/stock/"},
		{Name: "desk", Host: "a.example", Prefix: "/desk/"},
		{Name: "other", Host: "b.example", Prefix: "/desk/"},
	})
	for path, want := range map[string]string{"/desk/stock/1": "deep", "/desk/1": "desk", "/x": "all"} {
		require.Equal(t, want, table.Find("a.example:8080", path).Name, path)
	}
	require.Equal(t, "other", table.Find("B.EXAMPLE", "/desk/1").Name)
	require.Nil(t, table.Find("b.example", "/x"))
	require.Nil(t, table.Find("c.example", "/desk/1"))
}
