package cellhost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/cell"
	"chervilusher.dev/entry/pkg/peer"
)

// fixedWorkers is a worker client whose workers all return the same report.
type fixedWorkers struct {
	WorkerClient
	report *cell.Report
	err    error
	asked  chan HoldCall
	token  int64 // lower ones are fenced
}

func (l *fixedWorkers) Hold(_ context.Context, _ Target, call HoldCall) (*cell.Report, error) {
	l.asked <- call
	if call.Token < l.token {
		return nil, ErrFenced
	}
	return l.report, l.err
}

// isolated returns a host that hears no other host of its failure domain, whose cell was kept by the suspected host
// "b".
func isolated(t *testing.T, workers *fixedWorkers) *claimant {
	t.Helper()
	workers.asked = make(chan HoldCall, 1000)
	c := newClaimant("a", north)
	c.idleProbe = newIdleProbe(workers, c.clock)
	known := map[string]peer.WorkerInfo{"w1": {ID: "w1", FailureDomain: north}, "w2": {ID: "w2", FailureDomain: north}}
	c.board.workers.Store(&known)
	c.addHost("a", north, 1)
	c.addHost("b", north, 1, peer.Claim{Cell: northCell, Epoch: 77})
	suspected := c.view.Hosts["b"]
	suspected.Alive = false
	c.view.Hosts["b"] = suspected
	c.view.Minority, c.view.Isolated = true, true
	return c
}

// claimsWithin reports whether the host claims a cell within a time.
func (c *claimant) claimsWithin(length time.Duration) bool {
	for range int(length / claimInterval) {
		if len(c.after(claimInterval)) > 0 {
			return true
		}
		time.Sleep(time.Millisecond) // lets the probes end
	}
	return false
}

func TestIsolatedHostClaimsACellWhereNothingRunsAnyMore(t *testing.T) {
	workers := &fixedWorkers{report: &cell.Report{}}
	c := isolated(t, workers)
	require.False(t, c.claimsWithin(idleProbeDelay), "leases may not have lapsed yet")
	require.True(t, c.claimsWithin(2*time.Second))
	require.Equal(t, HoldCall{Token: 77}, <-workers.asked, "the probe must change nothing at the worker")
}

// TestIsolatedHostClaimsACellWhoseKeeperHadRaisedItsTokens guards against taking the token that a dead keeper had raised, since
// a worker had restarted, for that of a newer keeper.
func TestIsolatedHostClaimsACellWhoseKeeperHadRaisedItsTokens(t *testing.T) {
	workers := &fixedWorkers{report: &cell.Report{}, token: nextToken(nextToken(77))}
	c := isolated(t, workers)
	require.False(t, c.claimsWithin(idleProbeDelay), "leases may not have lapsed yet")
	require.True(t, c.claimsWithin(2*time.Second))
	close(workers.asked)
	for call := range workers.asked {
		require.LessOrEqual(t, call.Token, workers.token, "the probe must not fence the keeper")
	}
}

func TestIsolatedHostDoesNotClaimACellWhoseKeeperIsLive(t *testing.T) {
	for name, workers := range map[string]*fixedWorkers{
		"tasks run":      {report: &cell.Report{Running: []cell.RunEntry{{Task: "t", Run: 1}}}},
		"a newer keeper": {err: ErrFenced},
		"no answers":     {err: context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			require.False(t, isolated(t, workers).claimsWithin(isolatedDelay-time.Second))
		})
	}
}
