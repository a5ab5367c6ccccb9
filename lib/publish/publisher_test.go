package publish_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/platform"
	"chervilusher.dev/lib/publish"
)

// fakeLog keeps one stream in memory; each entry of loses says whether that append's answer, or the append itself, is lost.
type fakeLog struct {
	records []platform.Record
	loses   []loss
	appends int
}

type loss int

const (
	lostNothing loss = iota
	lostAnswer
	lostRecord
)

func (l *fakeLog) Append(_ context.Context, _ string, data any) (int64, error) {
	fate := lostNothing
	if l.appends < len(l.loses) {
		fate = l.loses[l.appends]
	}
	l.appends++
	if fate == lostRecord {
		return 0, errors.New("connection refused")
	}
	raw, err := json.Marshal(data)
	if err != nil {
		return 0, err
	}
	offset := int64(len(l.records))
	l.records = append(l.records, platform.Record{Offset: offset, Data: raw})
	if fate == lostAnswer {
		return 0, errors.New("connection reset")
	}
	return offset, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from int64, limit int, _ time.Duration) (*platform.Batch, error) {
	end := min(from+int64(limit), int64(len(l.records)))
	return &platform.Batch{Next: int64(len(l.records)), Records: l.records[min(from, end):end]}, nil
}

func record(id string, base int64) configuration.Record {
	return configuration.Record{
		Type: configuration.RecordPublish, Publish: id, Author: "tester", Base: base,
		Document: &configuration.Document{Owner: "hokkaido"},
	}
}

func TestPublishLooksInTheLogBeforeItAppendsAgain(t *testing.T) {
	cases := []struct {
		name    string
		loses   []loss
		appends int
	}{
		{"nothing lost", nil, 1},
		{"answer lost", []loss{lostAnswer}, 1},
		{"record lost", []loss{lostRecord}, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			log := &fakeLog{loses: test.loses}
			publisher := publish.New(log, clockwork.NewRealClock())
			outcome, err := publisher.Publish(t.Context(), record("p1", 0))
			require.NoError(t, err)
			require.NotNil(t, outcome.Accepted)
			require.EqualValues(t, 1, outcome.Accepted.Version)
			require.Equal(t, test.appends, log.appends)
			require.Len(t, log.records, 1)
		})
	}
}

func TestAChangeFromAnOldVersionIsRejectedWithItsReason(t *testing.T) {
	publisher := publish.New(&fakeLog{}, clockwork.NewRealClock())
	_, err := publisher.Publish(t.Context(), record("p1", 0))
	require.NoError(t, err)
	outcome, err := publisher.Publish(t.Context(), record("p2", 0))
	require.NoError(t, err)
	require.NotNil(t, outcome.Rejected)
	require.Contains(t, outcome.Rejected.Reason, "version 1 is in force")

	history, err := publisher.History(t.Context(), "hokkaido")
	require.NoError(t, err)
	require.Len(t, history, 2)
	require.EqualValues(t, 1, history[0].Version)
	require.EqualValues(t, 0, history[1].Version)
	require.NotEmpty(t, history[1].Reason)
}

func TestAResentPublishTellsOfItsFirstCopyAlsoWhenAnotherVersionFollowed(t *testing.T) {
	log := &fakeLog{}
	direct := publish.New(log, clockwork.NewRealClock())
	for i, id := range []string{"p1", "p2"} {
		_, err := direct.Publish(t.Context(), record(id, int64(i)))
		require.NoError(t, err)
	}
	state, err := direct.State(t.Context())
	require.NoError(t, err)
	host := publish.NewFrom(log, clockwork.NewRealClock(), func() *configuration.State { return state })
	outcome, err := host.Publish(t.Context(), record("p1", 0))
	require.NoError(t, err)
	require.NotNil(t, outcome.Accepted)
	require.EqualValues(t, 1, outcome.Accepted.Version)
	outcome, err = host.Publish(t.Context(), record("p3", 0))
	require.NoError(t, err)
	require.NotNil(t, outcome.Rejected)
}
