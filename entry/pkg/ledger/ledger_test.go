package ledger_test

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/ledger"
	"chervilusher.dev/lib/api"
)

var start = time.Unix(1_000_000, 0)

func newLedger(entries int, bytes int64) *ledger.Ledger {
	return ledger.New(ledger.Limits{Window: time.Minute, Keep: 10 * time.Minute, Entries: entries, Bytes: bytes}, start)
}

func id(window time.Time, key string) ledger.ID {
	return ledger.ID{Account: "o", Window: window.UnixMilli(), Key: key}
}

func newJob() *blackboard.Job { return &blackboard.Job{} }

func TestWindowsThatWereNeverOpenedHereAreForgotten(t *testing.T) {
	entries := newLedger(100, 1<<20)
	for name, window := range map[string]time.Time{
		"before the start": start.Add(-time.Millisecond),
		"in the future":    start.Add(time.Hour),
	} {
		_, claim := entries.Claim(id(window, "k"), 1, start, newJob)
		require.Equal(t, ledger.ClaimForgotten, claim, name)
	}
	_, claim := entries.Claim(id(start, "k"), 1, start.Add(-time.Hour), newJob)
	require.Equal(t, ledger.ClaimForgotten, claim, "a clock that steps back opens no window again")
}

func TestIdentifierStartsOnceAndItsAnswerIsKept(t *testing.T) {
	entries := newLedger(100, 1<<20)
	first, claim := entries.Claim(id(start, "k"), 1, start, newJob)
	require.Equal(t, ledger.ClaimNew, claim)
	joined, claim := entries.Claim(id(start, "k"), 1, start, newJob)
	require.Equal(t, ledger.ClaimKnown, claim)
	require.Same(t, first, joined)
	_, claim = entries.Claim(id(start, "k"), 2, start, newJob)
	require.Equal(t, ledger.ClaimMismatch, claim)
	answer := &api.Answer{State: api.StateComplete}
	entries.Keep(first, answer, start)
	joined, _ = entries.Claim(id(start, "k"), 1, start, newJob)
	require.Same(t, answer, joined.Answer)
	require.Zero(t, entries.Open())
}

func TestRunningJobOfAForgottenWindowStaysJoinable(t *testing.T) {
	entries := newLedger(100, 1<<20)
	running, _ := entries.Claim(id(start, "running"), 1, start, newJob)
	ended, _ := entries.Claim(id(start, "ended"), 1, start, newJob)
	entries.Keep(ended, &api.Answer{}, start)
	now := start.Add(time.Hour)
	entries.Expire(now)
	_, claim := entries.Claim(id(start, "ended"), 1, now, newJob)
	require.Equal(t, ledger.ClaimForgotten, claim)
	joined, claim := entries.Claim(id(start, "running"), 1, now, newJob)
	require.Equal(t, ledger.ClaimKnown, claim)
	require.Same(t, running, joined)
	entries.Keep(running, &api.Answer{}, now)
	entries.Expire(now.Add(time.Hour))
	_, claim = entries.Claim(id(start, "running"), 1, now.Add(time.Hour), newJob)
	require.Equal(t, ledger.ClaimForgotten, claim)
	count, bytes := entries.Size()
	require.Zero(t, count)
	require.Zero(t, bytes)
}

func TestFullWindowCloses(t *testing.T) {
	entries := newLedger(8, 1<<20)
	for i := range 2 {
		_, claim := entries.Claim(id(start, strconv.Itoa(i)), 1, start, newJob)
		require.Equal(t, ledger.ClaimNew, claim)
	}
	require.True(t, entries.Closed(start.UnixMilli()))
	_, claim := entries.Claim(id(start, "late"), 1, start, newJob)
	require.Equal(t, ledger.ClaimClosed, claim)
	_, claim = entries.Claim(id(start, "0"), 1, start, newJob)
	require.Equal(t, ledger.ClaimKnown, claim)
}

func TestFullLedgerForgetsEndedWindowsAndNeverRunningJobs(t *testing.T) {
	entries := newLedger(8, 1<<20)
	window := func(i int) time.Time { return start.Add(time.Duration(i) * time.Millisecond) }
	for i := range 4 {
		for j := range 2 {
			entry, claim := entries.Claim(id(window(i), strconv.Itoa(j)), 1, window(i), newJob)
			require.Equal(t, ledger.ClaimNew, claim)
			if i == 0 {
				entries.Keep(entry, &api.Answer{}, window(i))
			}
		}
	}
	_, claim := entries.Claim(id(window(4), "0"), 1, window(4), newJob)
	require.Equal(t, ledger.ClaimNew, claim, "the window whose jobs have ended makes room")
	_, claim = entries.Claim(id(window(4), "1"), 1, window(4), newJob)
	require.Equal(t, ledger.ClaimNew, claim)
	_, claim = entries.Claim(id(window(5), "0"), 1, window(5), newJob)
	require.Equal(t, ledger.ClaimClosed, claim, "running jobs make no room")
	for _, key := range []string{"0", "1"} {
		running, _ := entries.Claim(id(window(1), key), 1, window(5), newJob)
		entries.Keep(running, &api.Answer{}, window(5))
	}
	_, claim = entries.Claim(id(window(5), "0"), 1, window(5), newJob)
	require.Equal(t, ledger.ClaimClosed, claim, "a refusal stays true when there is room again")
	for i := 2; i < 5; i++ {
		_, claim = entries.Claim(id(window(i), "0"), 1, window(5), newJob)
		require.Equal(t, ledger.ClaimKnown, claim)
	}
}

func TestOldestAnswersAreDroppedBeyondTheBound(t *testing.T) {
	const bound = 10_000
	entries := newLedger(1000, bound)
	for i := range 100 {
		entry, _ := entries.Claim(id(start, strconv.Itoa(i)), 1, start, newJob)
		entries.Keep(entry, &api.Answer{Results: []api.Result{{Value: json.RawMessage(`"0123456789"`)}}}, start)
		_, bytes := entries.Size()
		require.LessOrEqual(t, bytes, int64(bound))
	}
	oldest, claim := entries.Claim(id(start, "0"), 1, start, newJob)
	require.Equal(t, ledger.ClaimKnown, claim, "the identifier stays known")
	require.Nil(t, oldest.Answer)
	latest, _ := entries.Claim(id(start, "99"), 1, start, newJob)
	require.NotNil(t, latest.Answer)
}

func TestTombstonedIdentifierNeverStarts(t *testing.T) {
	entries := newLedger(100, 1<<20)
	answer := &api.Answer{State: api.StateCancelled}
	_, claim := entries.Bury(id(start, "k"), start, answer)
	require.Equal(t, ledger.ClaimNew, claim)
	late, claim := entries.Claim(id(start, "k"), 7, start, newJob)
	require.Equal(t, ledger.ClaimKnown, claim)
	require.Same(t, answer, late.Answer)
}
