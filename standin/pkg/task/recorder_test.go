package task

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRecorderCountsRepeatsOfOneOwnersWork(t *testing.T) {
	recorder := NewRecorder(2)
	for _, work := range []struct{ owner, echo string }{{"a", "1"}, {"b", "1"}, {"a", ""}, {"a", ""}, {"a", "1"}} {
		recorder.Note(work.owner, json.RawMessage(work.echo))
	}
	require.EqualValues(t, 1, recorder.Repeats())
	recorder.Note("a", json.RawMessage("2"))
	recorder.Note("a", json.RawMessage("1"))
	require.EqualValues(t, 1, recorder.Repeats(), "the oldest work is forgotten")
	var none *Recorder
	none.Note("a", json.RawMessage("1"))
	require.Zero(t, none.Repeats())
}
