package jsonlist_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/jsonlist"
)

type element struct {
	Name  string     `json:"name"`
	Large [1024]byte `json:"-"`
}

func TestListsAreDecodedUpToTheirBound(t *testing.T) {
	list, err := jsonlist.Decode[element]([]byte(`[{"name":"a"},{"name":"b"}]`), 2, true)
	require.NoError(t, err)
	require.Equal(t, "b", list[1].Name)
	_, err = jsonlist.Decode[element]([]byte(`[{},{},{}]`), 2, true)
	require.ErrorIs(t, err, jsonlist.ErrTooLong)
	for _, text := range []string{`null`, `[]`} {
		list, err = jsonlist.Decode[element]([]byte(text), 2, true)
		require.NoError(t, err)
		require.Empty(t, list)
	}
	_, err = jsonlist.Decode[element]([]byte(`{}`), 2, true)
	require.Error(t, err)
	_, err = jsonlist.Decode[element]([]byte(`[{"other":1}]`), 2, true)
	require.Error(t, err)
	_, err = jsonlist.Decode[element]([]byte(`[{"other":1}]`), 2, false)
	require.NoError(t, err)
}

// A body of small elements became a list of many times its size.
func TestLongListOfSmallElementsTakesLittleMemory(t *testing.T) {
	text := []byte("[" + strings.Repeat("{},", 100_000) + "{}]")
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := jsonlist.Decode[element](text, 2, false)
			require.ErrorIs(b, err, jsonlist.ErrTooLong)
		}
	})
	require.Less(t, result.AllocedBytesPerOp(), int64(4*len(text)))
}
