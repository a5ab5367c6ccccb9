package publish

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/platform"
)

// racingLog is a log in memory that keeps a bounded number of records, has outages and loses answers.
type racingLog struct {
	random  *rand.Rand
	records []platform.Record
	first   int64
	down    bool
	whole   *configuration.State // folded from every record, before retention drops any
	winners map[int64]string     // publish identifier by accepted version
}

func (l *racingLog) Append(_ context.Context, _ string, data any) (int64, error) {
	if l.down {
		return 0, errors.New("the log is down")
	}
	raw, err := json.Marshal(data)
	if err != nil {
		return 0, err
	}
	record := platform.Record{Offset: l.first + int64(len(l.records)), Data: raw}
	l.records = append(l.records, record)
	next, decision := l.whole.Step(record)
	l.whole = next
	if decision.Version > 0 {
		l.winners[decision.Version] = decision.Publish
	}
	if l.random.Intn(4) == 0 {
		return 0, errors.New("the answer is lost")
	}
	return record.Offset, nil
}

func (l *racingLog) Read(_ context.Context, _ string, from int64, limit int, _ time.Duration) (*platform.Batch, error) {
	if l.down {
		return nil, errors.New("the log is down")
	}
	batch := &platform.Batch{First: l.first, Next: l.first + int64(len(l.records))}
	for offset := max(from, l.first); offset < batch.Next && len(batch.Records) < limit; offset++ {
		batch.Records = append(batch.Records, l.records[offset-l.first])
	}
	return batch, nil
}

// retain writes a snapshot, as an entry host does, and then drops the oldest records.
func (l *racingLog) retain(count int) {
	raw, err := json.Marshal(configuration.Record{Type: configuration.RecordSnapshot, State: l.whole})
	if err != nil {
		panic(err)
	}
	record := platform.Record{Offset: l.first + int64(len(l.records)), Data: raw}
	l.records = append(l.records, record)
	l.whole = l.whole.Apply(record)
	drop := max(0, len(l.records)-count)
	l.records = l.records[drop:]
	l.first += int64(drop)
}

// TestRacingPublishers lets publishers race from the same bases through lost answers, outages and retention: none learns a false outcome, and none appends a record that stands in the log.
func TestRacingPublishers(t *testing.T) {
	lost, told := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		log := &racingLog{
			random:  rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))),
			whole:   configuration.NewState(),
			winners: map[int64]string{},
		}
		type publication struct {
			follower *follower
			record   configuration.Record
		}
		pending := make([]*publication, 3)
		for published := 0; published < 100 || log.down; {
			if log.random.Intn(20) == 0 {
				log.down = !log.down
			}
			if log.random.Intn(30) == 0 {
				log.retain(1 + log.random.Intn(20))
			}
			i := log.random.Intn(len(pending))
			if pending[i] == nil {
				published++
				id := fmt.Sprint("p", published)
				pending[i] = &publication{newFollower(log, configuration.NewState(), id), configuration.Record{
					Type: configuration.RecordPublish, Publish: id, Author: "test",
					Base: log.whole.Version("a"), Document: &configuration.Document{Owner: "a"},
				}}
			}
			err := pending[i].follower.attempt(context.Background(), &pending[i].record)
			if errors.Is(err, ErrOutcomeLost) {
				lost++
				pending[i] = nil
				continue
			}
			if outcome := pending[i].follower.outcome; outcome != nil {
				told++
				won := log.winners[pending[i].record.Base+1] == pending[i].record.Publish
				require.Equal(t, won, outcome.Accepted != nil)
				pending[i] = nil
			}
		}
		appends := map[string]int{}
		for _, record := range log.records {
			var parsed configuration.Record
			require.NoError(t, json.Unmarshal(record.Data, &parsed))
			if parsed.Type == configuration.RecordPublish {
				appends[parsed.Publish]++
				require.Equal(t, 1, appends[parsed.Publish], "a record was appended again though it stood in the log")
			}
		}
	})
	t.Logf("%d outcomes told, %d lost to retention", told, lost)
	require.Less(t, lost, max(1, told/10))
}
