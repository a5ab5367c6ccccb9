package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/entry/pkg/placement"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// manyRuns is more runs than any policy requires.
const manyRuns = 100

func newGroup(backends ...*blackboard.Backend) *blackboard.Group {
	group := &blackboard.Group{
		Name:     "desk",
		Backends: map[string]*blackboard.Backend{},
		LongLoad: map[string]float64{},
		Capacity: blackboard.Capacity{LongRate: map[string]float64{"a": 100, "b": 100}},
	}
	for _, backend := range backends {
		group.Backends[backend.Name] = backend
	}
	return group
}

func newEndpoint(name string, slowness float64) *blackboard.Backend {
	return &blackboard.Backend{
		Name: name, FailureDomain: "a", Role: platform.RoleMinion, Slots: 8, Granted: 8, Slowness: slowness, SlownessRuns: manyRuns,
	}
}

func newTask() *blackboard.Task {
	return &blackboard.Task{
		Job:    &blackboard.Job{Account: "hokkaido", Tasks: make([]*blackboard.Task, 1)},
		Target: &blackboard.Target{Group: "desk"},
	}
}

func TestFastestFreeBackendIsPicked(t *testing.T) {
	fast, slow := newEndpoint("fast", 0.5), newEndpoint("slow", 2)
	group := newGroup(fast, slow)
	policy := placement.NewFastest()
	require.Same(t, fast, policy.Pick(group, newTask(), epoch))
	fast.Busy = 8
	policy.Update(group, fast)
	require.Same(t, slow, policy.Pick(group, newTask(), epoch))
	slow.Busy = 8
	policy.Update(group, slow)
	require.Nil(t, policy.Pick(group, newTask(), epoch))
	require.False(t, policy.HasFreeSlots(group))
	fast.Busy = 7
	policy.Update(group, fast)
	require.Same(t, fast, policy.Pick(group, newTask(), epoch))
}

func TestFailingBackendIsNotPickedForItsSpeed(t *testing.T) {
	failing, unknown, slow := newEndpoint("failing", 0.01), newEndpoint("unknown", 0), newEndpoint("slow", 10)
	failing.FailureRate = 0.999
	unknown.SlownessRuns, unknown.FailureRate = 0, 0.95
	policy := placement.NewFastest()
	require.Same(t, slow, policy.Pick(newGroup(failing, unknown, slow), newTask(), epoch))
}

func TestUnknownBackendIsTriedWithOneTaskAtATime(t *testing.T) {
	known, unknown := newEndpoint("known", 0.5), newEndpoint("unknown", 0)
	unknown.SlownessRuns = 0
	group := newGroup(known, unknown)
	policy := placement.NewFastest()
	require.Same(t, unknown, policy.Pick(group, newTask(), epoch))
	unknown.Busy = 1
	policy.Update(group, unknown)
	require.Same(t, known, policy.Pick(group, newTask(), epoch))
}

func TestAvoidedBackendIsPickedAfterItsDelay(t *testing.T) {
	only := newEndpoint("only", 1)
	group := newGroup(only)
	task := newTask()
	task.Avoid, task.AvoidUntil = only, epoch.Add(time.Second)
	for name, policy := range allPolicies() {
		require.Nil(t, policy.Pick(group, task, epoch), name)
		require.Same(t, only, policy.Pick(group, task, epoch.Add(time.Second)), name)
	}
}

func allPolicies() map[string]dispatch.Placement {
	return map[string]dispatch.Placement{
		"fastest": placement.NewFastest(),
		"random":  placement.NewRandom(rand.New(rand.NewPCG(1, 1))),
		"robin":   placement.NewRoundRobin(),
		"least":   placement.NewLeastBusy(),
	}
}

func TestEjectedBackendIsProbedByOneTaskThatMayBeRisked(t *testing.T) {
	ejected := newEndpoint("ejected", 1)
	ejected.Ejected, ejected.NextProbe = true, epoch
	group := newGroup(ejected)
	policy := placement.NewFastest()
	safe, job := newTask(), newTask()
	safe.Job.Idempotent = true
	job.Job.Tasks = make([]*blackboard.Task, 2)
	require.Nil(t, policy.Pick(group, safe, epoch.Add(-time.Millisecond)), "before the delay is over")
	require.Nil(t, policy.Pick(group, job, epoch), "a failed probe would lose the whole job")
	require.Nil(t, policy.Pick(group, job, epoch.Add(11*time.Second)))
	require.Same(t, ejected, policy.Pick(group, newTask(), epoch.Add(11*time.Second)), "no safer task came for 10 s")
	require.Same(t, ejected, policy.Pick(group, job, epoch.Add(31*time.Second)), "no safer task came for 30 s")
	require.Same(t, ejected, policy.Pick(group, safe, epoch))
	ejected.Probing = true
	require.Nil(t, policy.Pick(group, safe, epoch))
}

func TestWideTaskGoesToAWorkerWithEnoughSlots(t *testing.T) {
	small := &blackboard.Backend{Name: "small", FailureDomain: "a", Role: platform.RoleWorker, Slots: 16, Granted: 16, Cores: 16, Memory: 32 << 30, Slowness: 0.5, SlownessRuns: manyRuns}
	large := &blackboard.Backend{Name: "large", FailureDomain: "a", Role: platform.RoleWorker, Slots: 64, Granted: 64, Cores: 64, Memory: 128 << 30, Accelerators: 2, Slowness: 2, SlownessRuns: manyRuns}
	group := newGroup(small, large)
	policy := placement.NewFastest()
	wide, accelerated := newTask(), newTask()
	wide.Need = api.Need{Cores: 8}
	accelerated.Need = api.Need{Accelerators: 1}
	require.Same(t, small, policy.Pick(group, wide, epoch))
	require.Same(t, large, policy.Pick(group, accelerated, epoch))
	small.Busy = 9
	policy.Update(group, small)
	require.Same(t, large, policy.Pick(group, wide, epoch))
	require.Same(t, small, policy.Pick(group, newTask(), epoch))
}

func TestLongWorkAvoidsAFailureDomainWithoutLongCapacity(t *testing.T) {
	near, far := newEndpoint("near", 0.5), newEndpoint("far", 2)
	far.FailureDomain = "b"
	group := newGroup(near, far)
	group.LongLoad["a"] = 100
	long := newTask()
	long.Long = true
	policy := placement.NewFastest()
	require.Same(t, far, policy.Pick(group, long, epoch))
	require.Same(t, near, policy.Pick(group, newTask(), epoch))
}

func TestExpiredGrantsHideNoBackend(t *testing.T) {
	backends := make([]*blackboard.Backend, 0, 501)
	for i := range 500 {
		lapsed := newEndpoint(fmt.Sprintf("lapsed-%03d", i), 0.5)
		lapsed.GrantedUntil = epoch
		backends = append(backends, lapsed)
	}
	live := newEndpoint("live", 2)
	group := newGroup(append(backends, live)...)
	policy := placement.NewFastest()
	var picked *blackboard.Backend
	for range 500 {
		if picked = policy.Pick(group, newTask(), epoch); picked != nil {
			break
		}
	}
	require.Same(t, live, picked)
}

func TestUnusedBackendIsExplored(t *testing.T) {
	fast, slow := newEndpoint("fast", 0.5), newEndpoint("slow", 2)
	group := newGroup(fast, slow)
	policy := placement.NewFastest()
	picks := 0
	now := epoch
	for range 10_000 {
		now = now.Add(10 * time.Millisecond)
		if policy.Pick(group, newTask(), now) == slow {
			picks++
		}
	}
	require.Positive(t, picks)
	require.LessOrEqual(t, picks, 10)
}

// TestIndexMatchesFullScan compares the ordered index with a scan of every back end.
func TestIndexMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := newGroup()
		policy := placement.NewFastest()
		now := epoch
		any := func(t *rapid.T) *blackboard.Backend {
			return group.Backends[fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "backend"))]
		}
		change := func(t *rapid.T, apply func(backend *blackboard.Backend)) {
			if backend := any(t); backend != nil {
				apply(backend)
				policy.Update(group, backend)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				name := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "backend"))
				group.Backends[name] = &blackboard.Backend{
					Name: name, FailureDomain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"), Role: platform.RoleWorker,
					Slots: 4, Granted: 4, Cores: 4, Slowness: float64(rapid.IntRange(1, 5).Draw(t, "slowness")), SlownessRuns: manyRuns,
				}
				policy.Sync(group)
			},
			"remove": func(t *rapid.T) {
				if backend := any(t); backend != nil {
					delete(group.Backends, backend.Name)
					policy.Sync(group)
				}
			},
			"busy": func(t *rapid.T) {
				change(t, func(b *blackboard.Backend) { b.Busy = rapid.IntRange(0, 4).Draw(t, "busy") })
			},
			"grant": func(t *rapid.T) {
				change(t, func(b *blackboard.Backend) { b.Granted = rapid.IntRange(0, 4).Draw(t, "granted") })
			},
			"speed": func(t *rapid.T) {
				change(t, func(b *blackboard.Backend) { b.Slowness = float64(rapid.IntRange(1, 5).Draw(t, "slowness")) })
			},
			"limit": func(t *rapid.T) {
				change(t, func(b *blackboard.Backend) { b.RecoveryLimit = rapid.IntRange(0, 4).Draw(t, "limit") })
			},
			"leave": func(t *rapid.T) {
				change(t, func(b *blackboard.Backend) { b.Leaving = rapid.Bool().Draw(t, "leaving") })
			},
			"pause": func(t *rapid.T) {
				change(t, func(b *blackboard.Backend) { b.BackoffUntil = now.Add(time.Second) })
			},
			"": func(t *rapid.T) {
				task := newTask()
				task.Need.Cores = float64(rapid.IntRange(0, 5).Draw(t, "cores"))
				if rapid.Bool().Draw(t, "restricted") {
					task.Target.FailureDomains = []string{"b"}
				}
				now = now.Add(time.Millisecond)
				expected := noBackend
				for _, backend := range group.Backends {
					if task.Target.Allows(backend) && backend.Free(now) >= backend.Width(task.Need) {
						expected = min(expected, backend.Slowness)
					}
				}
				for _, backend := range group.Backends {
					if backend.BackoffUntil.Before(now) {
						policy.Update(group, backend)
					}
				}
				picked := policy.Pick(group, task, now)
				if expected == noBackend {
					require.Nil(t, picked)
					return
				}
				require.NotNil(t, picked)
				require.InDelta(t, expected, picked.Slowness, 0)
			},
		})
	})
}

const noBackend = 1e9
