package output_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/cli/pkg/output"
)

func TestProgressIsForTerminalsAlone(t *testing.T) {
	for _, terminal := range []bool{false, true} {
		var out, errOut bytes.Buffer
		printer := output.New(&out, &errOut, false, terminal)
		printer.Progress("%d of %d", 1, 2)
		require.Equal(t, terminal, errOut.Len() > 0)
		require.NoError(t, printer.Text(nil, "done"))
		require.Equal(t, "done\n", out.String())
	}
}

func TestTablesAndJSONHoldTheSame(t *testing.T) {
	var out bytes.Buffer
	table := output.Table{Heading: []string{"HOST", "READY"}, Rows: [][]string{{"entry-1", "yes"}}}
	require.NoError(t, output.New(&out, &out, false, false).Print([]string{"entry-1"}, table))
	require.Equal(t, "HOST     READY\nentry-1  yes\n", out.String())
	out.Reset()
	require.NoError(t, output.New(&out, &out, true, false).Print([]string{"a<b"}, table))
	require.Equal(t, "[\n  \"a<b\"\n]\n", out.String())
}

func TestErrorsAreOneLine(t *testing.T) {
	var errOut bytes.Buffer
	output.New(&bytes.Buffer{}, &errOut, false, false).Error(errors.New("two\nlines"))
	require.Equal(t, "chervilusher: two lines\n", errOut.String())
}
