package health_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/health"
)

var (
	epoch  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	done   = dispatch.Outcome{Verdict: dispatch.VerdictDone}
	failed = dispatch.Outcome{Verdict: dispatch.VerdictFailed}
)

func newGroup(size int) *blackboard.Group {
	group := &blackboard.Group{Name: "desk", Backends: map[string]*blackboard.Backend{}}
	for i := range size {
		name := fmt.Sprint(i)
		group.Backends[name] = &blackboard.Backend{Name: name, Slots: 8, Granted: 8}
	}
	return group
}

func countEjected(group *blackboard.Group) int {
	count := 0
	for _, backend := range group.Backends {
		if backend.Ejected {
			count++
		}
	}
	return count
}

func TestBackendThatFailsIsEjectedAfterAFewFailures(t *testing.T) {
	group := newGroup(8)
	policy := health.New(0.1, 0.5)
	failures := 0
	for ; !group.Backends["0"].Ejected; failures++ {
		policy.Observe(group, group.Backends["0"], failed, epoch)
		policy.Observe(group, group.Backends["1"], done, epoch)
	}
	require.LessOrEqual(t, failures, 4)
}

func TestBackendWithAFewFailuresAmongManyRunsStays(t *testing.T) {
	group := newGroup(8)
	policy := health.New(0.1, 0.5)
	for i := range 10_000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		outcome := done
		if i%50 == 0 {
			outcome = failed
		}
		for _, backend := range group.Backends {
			policy.Observe(group, backend, outcome, now)
		}
	}
	require.Zero(t, countEjected(group))
}

func TestFailureOfAllBackendsEjectsNone(t *testing.T) {
	group := newGroup(8)
	policy := health.New(0.1, 0.5)
	for i := range 1000 {
		for _, backend := range group.Backends {
			policy.Observe(group, backend, failed, epoch.Add(time.Duration(i)*time.Millisecond))
		}
	}
	require.Zero(t, countEjected(group))
}

func TestEjectionsAreLimitedAndOtherBackendsBackOff(t *testing.T) {
	group := newGroup(8)
	policy := health.New(0.1, 0.25)
	for i := range 200 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		for name, backend := range group.Backends {
			outcome := done
			if name < "4" {
				outcome = failed
			}
			for range 3 {
				policy.Observe(group, backend, outcome, now)
			}
		}
		require.LessOrEqual(t, countEjected(group), 2)
	}
	require.Equal(t, 2, countEjected(group))
	for name, backend := range group.Backends {
		require.Equal(t, name < "4" && !backend.Ejected, backend.BackoffUntil.After(epoch), name)
	}
}

func TestProbeDelayGrowsAndRecoveryIsGradual(t *testing.T) {
	group := newGroup(8)
	policy := health.New(0.1, 0.5)
	backend := group.Backends["0"]
	now := epoch
	for !backend.Ejected {
		policy.Observe(group, backend, failed, now)
		policy.Observe(group, group.Backends["1"], done, now)
	}
	policy.Observe(group, backend, done, now)
	require.True(t, backend.Ejected, "a start from before the ejection is no probe")
	delay := backend.NextProbe.Sub(now)
	for range 3 {
		now = backend.NextProbe
		backend.Probing = true
		policy.Observe(group, backend, failed, now)
		require.Equal(t, 2*delay, backend.NextProbe.Sub(now))
		delay *= 2
	}
	now = backend.NextProbe
	backend.Probing = true
	policy.Observe(group, backend, done, now)
	require.False(t, backend.Ejected)
	for _, limit := range []int{1, 2, 4} {
		require.Equal(t, limit, backend.RecoveryLimit)
		for range limit {
			policy.Observe(group, backend, done, now)
		}
	}
	require.Zero(t, backend.RecoveryLimit)
}

func TestFailureDuringRecoveryEjectsAgain(t *testing.T) {
	group := newGroup(8)
	policy := health.New(0.1, 0.5)
	backend := group.Backends["0"]
	backend.RecoveryLimit = 2
	policy.Observe(group, backend, failed, epoch)
	require.True(t, backend.Ejected)
	require.Zero(t, backend.RecoveryLimit)
}

func TestStoppedRunsAndRefusedPayloadsDoNotAffectHealth(t *testing.T) {
	group := newGroup(8)
	policy := health.New(0.1, 0.5)
	for range 290 {
		policy.Observe(group, group.Backends["0"], dispatch.Outcome{Verdict: dispatch.VerdictFailed, Stopped: true}, epoch)
		policy.Observe(group, group.Backends["0"], dispatch.Outcome{Verdict: dispatch.VerdictNotRun, BadPayload: true}, epoch)
	}
	require.Zero(t, countEjected(group))
	require.Zero(t, group.Backends["0"].FailureRate)
}

func TestBusyBackendBacksOffExponentially(t *testing.T) {
	group := newGroup(8)
	policy := health.New(0.1, 0.5)
	backend := group.Backends["0"]
	now, before := epoch, time.Duration(0)
	for range 5 {
		policy.Observe(group, backend, dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Busy: true}, now)
		pause := backend.BackoffUntil.Sub(now)
		require.Greater(t, pause, before)
		before = pause
		require.Empty(t, policy.Tick(group, now))
		now = backend.BackoffUntil
		require.Equal(t, []*blackboard.Backend{backend}, policy.Tick(group, now))
	}
	require.Zero(t, countEjected(group))
}

func TestRecordsOfRemovedBackendsAreDropped(t *testing.T) {
	group := newGroup(2)
	policy := health.New(0.1, 0.5)
	for i := range 100 {
		name := fmt.Sprint("gone", i)
		removed := &blackboard.Backend{Name: name, Slots: 8, Granted: 8}
		group.Backends[name] = removed
		policy.Observe(group, removed, dispatch.Outcome{Verdict: dispatch.VerdictNotRun, Busy: true}, epoch)
		delete(group.Backends, name)
		policy.Tick(group, epoch)
	}
	require.LessOrEqual(t, len(policy.Tick(group, epoch.Add(time.Hour))), 2*len(group.Backends))
}

// TestInvariantsOfHealth checks the retry budget and the share of ejected back ends at every step.
func TestInvariantsOfHealth(t *testing.T) {
	const retries, eject, reserve = 0.2, 0.3, 10
	rapid.Check(t, func(t *rapid.T) {
		group := newGroup(10)
		policy := health.New(retries, eject)
		now := epoch
		starts, taken := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"start": func(*rapid.T) {
				policy.ObserveStart(group)
				starts++
			},
			"retry": func(*rapid.T) {
				if policy.TakeRetry(group) {
					taken++
				}
			},
			"observe": func(t *rapid.T) {
				backend := group.Backends[fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "backend"))]
				if backend.Ejected && !now.Before(backend.NextProbe) {
					backend.Probing = true
				}
				outcome := rapid.SampledFrom([]dispatch.Outcome{done, failed, {Verdict: dispatch.VerdictUnknown}, {Verdict: dispatch.VerdictNotRun, Busy: true}}).Draw(t, "outcome")
				for range rapid.IntRange(1, 10).Draw(t, "times") {
					policy.Observe(group, backend, outcome, now)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				policy.Tick(group, now)
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, float64(taken), retries*float64(starts)+reserve)
				require.LessOrEqual(t, countEjected(group), 3)
				for _, backend := range group.Backends {
					require.False(t, backend.Probing && !backend.Ejected)
					require.InDelta(t, 0.5, backend.FailureRate, 0.5)
				}
			},
		})
	})
}
