package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

func (d *driver) group() *blackboard.Group {
	return d.engine.Group(groupName)
}

// newWorkers returns a driver with workers of 16 cores.
func newWorkers(count int) *driver {
	d := newDriver(1, fleet{endpoints: count, slots: 16}, policies{admission: "none"})
	d.addAccount("hokkaido", 1)
	d.group().Role = platform.RoleWorker
	for _, backend := range d.group().Backends {
		backend.Role, backend.Cores = platform.RoleWorker, 16
		d.endpoints[backend.Name].speed = 1
	}
	return d
}

// submitWide submits a one-second worker task that takes the given cores.
func (d *driver) submitWide(cores float64) *blackboard.Job {
	d.serial++
	job := &blackboard.Job{
		ID: fmt.Sprintf("wide-%d", d.serial), Account: "hokkaido", Accepted: d.now, Deadline: d.now.Add(time.Hour), Remaining: 1, Done: make(chan struct{}),
	}
	job.Tasks = []*blackboard.Task{{
		Job: job, Kind: "wide", Need: api.Need{Cores: cores},
		Target: &blackboard.Target{Group: groupName, Role: platform.RoleWorker, Timeout: time.Hour},
	}}
	d.workOf[job.Tasks[0]] = time.Second
	effects, refused := d.engine.Submit(job, d.now)
	if refused != nil {
		d.refused = append(d.refused, refusal{arrived: d.now.Sub(epoch)})
		return job
	}
	d.apply(effects)
	return job
}

func TestWideTaskDoesNotStarveBehindNarrowOnes(t *testing.T) {
	t.Parallel()
	d := newWorkers(2)
	d.stream(constantRate(80), func() work {
		return work{account: "hokkaido", kind: "narrow", deadline: time.Hour, tasks: []time.Duration{500 * time.Millisecond}}
	})
	d.runUntil(5 * time.Second)
	wide := d.submitWide(16)
	d.runUntil(10 * time.Second)
	require.Equal(t, blackboard.TaskEnded, wide.Tasks[0].State)
	narrow := 0
	for _, end := range d.ends {
		if end.job != wide && end.from > 5*time.Second {
			narrow++
		}
	}
	require.Greater(t, narrow, 100, "narrow tasks still run meanwhile")
	d.runUntil(20 * time.Second)
	for _, backend := range d.group().Backends {
		require.Nil(t, backend.ReservedFor)
	}
}

func TestTaskLargerThanAnyWorkerIsRefused(t *testing.T) {
	t.Parallel()
	d := newWorkers(2)
	job := d.submitWide(17)
	require.Len(t, d.refused, 1)
	require.Equal(t, blackboard.TaskQueued, job.Tasks[0].State)
	require.Zero(t, d.group().Queue.Len())
	require.Zero(t, d.board.Accounts["hokkaido"].Queued)
}

func TestTaskIsAdmittedOnceALargeEnoughWorkerJoins(t *testing.T) {
	t.Parallel()
	d := newWorkers(1)
	d.submitWide(17)
	require.Len(t, d.refused, 1)
	d.endpoints["large"] = &fakeEndpoint{speed: 1}
	d.group().Backends["large"] = &blackboard.Backend{Name: "large", FailureDomain: "domain-0", Role: platform.RoleWorker, Slots: 64, Granted: 64, Cores: 64}
	large := d.submitWide(17)
	require.Len(t, d.refused, 1)
	require.Equal(t, "large", large.Tasks[0].Backend.Name)
}

func TestExpiredWorkNeverStarts(t *testing.T) {
	t.Parallel()
	d := newDriver(1, fleet{endpoints: 1, slots: 1}, policies{admission: "none"})
	d.addAccount("hokkaido", 1)
	d.submit(work{account: "hokkaido", kind: "short", deadline: time.Minute, tasks: []time.Duration{time.Second}})
	late := d.submit(work{account: "hokkaido", kind: "short", deadline: time.Second, tasks: []time.Duration{time.Second}})
	d.runUntil(10 * time.Second)
	require.Equal(t, api.CodeExpired, late.Answer.Code)
	require.Equal(t, api.RanNo, late.Answer.Ran)
	require.Equal(t, 1, d.started())
}

func TestOverrunningTaskBecomesLong(t *testing.T) {
	t.Parallel()
	d := newDriver(1, fleet{endpoints: 1, slots: 8}, policies{admission: "none"})
	d.addAccount("hokkaido", 1)
	job := d.submit(work{account: "hokkaido", kind: "short", deadline: time.Minute, declared: time.Second, tasks: []time.Duration{30 * time.Second}})
	d.runUntil(longFrom - tickEvery)
	require.False(t, job.Tasks[0].Long)
	d.runUntil(longFrom + tickEvery)
	require.True(t, job.Tasks[0].Long)
	require.Positive(t, d.group().LongLoad["domain-0"])
	d.runUntil(90 * time.Second)
	require.Zero(t, d.group().LongLoad["domain-0"])
}

func TestCancelDropsQueuedAndStopsRunningTasks(t *testing.T) {
	t.Parallel()
	d := newDriver(1, fleet{endpoints: 1, slots: 8}, policies{admission: "none"})
	d.addAccount("hokkaido", 1)
	tasks := make([]time.Duration, api.MaxTasks)
	for i := range tasks {
		tasks[i] = time.Second
	}
	job := d.submit(work{account: "hokkaido", kind: "short", deadline: time.Minute, tasks: tasks})
	other := d.submit(work{account: "hokkaido", kind: "short", deadline: time.Minute, tasks: []time.Duration{time.Second}})
	effects := d.engine.Cancel(job, d.now)
	require.Len(t, effects.Stops, 8)
	require.Equal(t, api.StateCancelled, job.Answer.State)
	require.Equal(t, 1, d.group().Queue.Len())
	require.Equal(t, 1, d.board.Accounts["hokkaido"].Queued)
	d.runUntil(10 * time.Second)
	require.True(t, d.inDeadline[other])
	require.Zero(t, d.group().Busy)
}

// TestEngineCountsMatchTaskStates drives the engine with random jobs, outcomes, faults and cancellations,
// and checks its counts at every step.
func TestEngineCountsMatchTaskStates(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := fleet{endpoints: rapid.IntRange(1, 6).Draw(t, "minions"), slots: 4}
		chosen := policies{
			placement: rapid.SampledFrom([]string{"", "random", "robin", "least"}).Draw(t, "placement"),
			queue:     rapid.SampledFrom([]string{"", "single"}).Draw(t, "queue"),
			admission: rapid.SampledFrom([]string{"", "none"}).Draw(t, "admission"),
		}
		d := newDriver(1, size, chosen)
		d.addAccount("hokkaido", 1)
		d.addAccount("kerlouan", 2)
		d.board.Accounts["kerlouan"].MaxRun = 5
		var jobs []*blackboard.Job
		var running []dispatch.Start
		starts := map[*blackboard.Task]int{}
		take := func(effects dispatch.Effects) {
			for _, start := range effects.Starts {
				starts[start.Task]++
				require.False(t, start.Task.Job.Decided())
				require.True(t, d.now.Before(start.Task.Job.Deadline), "expired work starts")
				require.False(t, start.Backend.Leaving)
			}
			running = append(running, effects.Starts...)
		}
		backend := func(t *rapid.T) *blackboard.Backend {
			return d.group().Backends[fmt.Sprintf("minion-%04d", rapid.IntRange(0, size.endpoints-1).Draw(t, "backend"))]
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				job := &blackboard.Job{
					ID: fmt.Sprint(len(jobs)), Account: rapid.SampledFrom([]string{"hokkaido", "kerlouan"}).Draw(t, "account"),
					Urgent: rapid.Bool().Draw(t, "urgent"), Accepted: d.now, Done: make(chan struct{}),
					Deadline: d.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "deadline")) * time.Millisecond),
				}
				job.Remaining = rapid.IntRange(1, 10).Draw(t, "tasks")
				job.Idempotent = job.Remaining == 1 && rapid.Bool().Draw(t, "idempotent")
				target := &blackboard.Target{Group: groupName, Role: platform.RoleMinion}
				for i := range job.Remaining {
					kind := rapid.SampledFrom([]string{"short", "long"}).Draw(t, "kind")
					job.Tasks = append(job.Tasks, &blackboard.Task{Job: job, Index: i, Kind: kind, Target: target, Declared: time.Second})
				}
				effects, refused := d.engine.Submit(job, d.now)
				if refused == nil {
					jobs = append(jobs, job)
				}
				take(effects)
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				at := rapid.IntRange(0, len(running)-1).Draw(t, "start")
				start := running[at]
				running = append(running[:at], running[at+1:]...)
				outcome := rapid.SampledFrom([]dispatch.Outcome{
					{Verdict: dispatch.VerdictDone},
					{Verdict: dispatch.VerdictDone},
					{Verdict: dispatch.VerdictFailed},
					{Verdict: dispatch.VerdictNotRun},
					{Verdict: dispatch.VerdictNotRun, Busy: true},
					{Verdict: dispatch.VerdictUnknown},
				}).Draw(t, "outcome")
				effects, stale := d.engine.Finish(start.Task, start.Attempt, outcome, d.now)
				require.False(t, stale)
				take(effects)
				_, stale = d.engine.Finish(start.Task, start.Attempt, outcome, d.now)
				require.True(t, stale, "an outcome is processed twice")
			},
			"cancel": func(t *rapid.T) {
				if len(jobs) > 0 {
					take(d.engine.Cancel(rapid.SampledFrom(jobs).Draw(t, "job"), d.now))
				}
			},
			"grant": func(t *rapid.T) {
				changed := backend(t)
				changed.Granted = rapid.IntRange(0, 4).Draw(t, "granted")
				d.engine.BackendChanged(d.group(), changed)
			},
			"leave": func(t *rapid.T) {
				changed := backend(t)
				changed.Leaving = rapid.Bool().Draw(t, "leaving")
				d.engine.BackendChanged(d.group(), changed)
			},
			"wait": func(t *rapid.T) {
				d.now = d.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				take(d.engine.Tick(d.now))
			},
			"": func(t *rapid.T) {
				checkCounts(t, d, jobs, len(running))
				for task, count := range starts {
					require.Equal(t, count, task.Tries)
					require.True(t, task.Attempt <= 1 || task.Job.Idempotent, "a task that may have run starts again")
				}
			},
		})
	})
}

// checkCounts compares the engine's counts with counts derived from the task states.
func checkCounts(t *rapid.T, d *driver, jobs []*blackboard.Job, running int) {
	waiting, runs := map[string]int{}, map[string]int{}
	busy := map[*blackboard.Backend]int{}
	backlog := map[string]time.Duration{}
	for _, job := range jobs {
		for _, task := range job.Tasks {
			switch task.State {
			case blackboard.TaskQueued:
				waiting[job.Account]++
				backlog[job.Account] += task.Cost
			case blackboard.TaskStarted:
				runs[job.Account]++
				busy[task.Backend] += task.Width
			case blackboard.TaskEnded, blackboard.TaskDropped:
			}
		}
	}
	sum := 0
	for name, account := range d.board.Accounts {
		require.Equal(t, waiting[name], account.Queued)
		require.Equal(t, runs[name], account.Running)
		require.True(t, account.MaxRun == 0 || account.Running <= account.MaxRun)
		sum += account.Queued
		if counted := d.group().Backlogs.ByAccount[name]; counted != nil {
			require.Equal(t, backlog[name], counted.Urgent+counted.Short+counted.Long)
		}
	}
	require.Equal(t, sum, d.group().Queue.Len())
	total := 0
	for _, backend := range d.group().Backends {
		require.Equal(t, busy[backend], backend.Busy)
		total += backend.Busy
	}
	require.Equal(t, running, total)
	require.Equal(t, total, d.group().Busy)
}
