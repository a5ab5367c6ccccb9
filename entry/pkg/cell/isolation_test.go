package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// loneJob returns a job of whose tasks the given number may have crashed a worker.
func (h *harness) loneJob(tasks, alone int, length, objective time.Duration) *Job {
	job := h.job(tasks, 5, length, objective, veryLong)
	for _, task := range job.Tasks[:alone] {
		task.crashes = Crashes{All: 1}
	}
	return job
}

// TestTasksBesideACrashingOneComplete guards against tasks that are lost with one worker after the other since they are
// started beside the task that crashes them, and are then given up with it.
func TestTasksBesideACrashingOneComplete(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(8, 16, 1)
	h.pass(200 * time.Millisecond) // until the workers' clocks are known
	beside := []*Job{h.job(1, 5, 200*time.Millisecond, veryLong, veryLong), h.job(1, 5, 200*time.Millisecond, veryLong, veryLong)}
	for _, job := range beside {
		h.submit(job)
	}
	crashing := h.job(1, 5, 200*time.Millisecond, veryLong, veryLong)
	h.crashes[crashing.ID+".0"] = true
	h.submit(crashing)
	worker := beside[0].Tasks[0].run.Worker
	require.Len(t, worker.runs, 3, "the tasks have to share a worker for this test")
	h.pass(2500 * time.Millisecond)
	for _, job := range beside {
		require.Equal(t, Crashes{Confirmed: 1, All: 1}, job.Tasks[0].crashes)
		require.Equal(t, "completed", h.outcome(job))
	}
	require.Equal(t, "failed", h.outcome(crashing))
	require.Equal(t, 2, h.starts[crashing.ID+".0"])
}

// TestLoneTaskStartsWhereNothingRuns guards against starting a task that may have crashed a worker beside others, or others
// beside it, and against forecasts that count on room for them.
func TestLoneTaskStartsWhereNothingRuns(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	worker := h.cell.Worker("w00")
	first := h.job(1, 5, 300*time.Millisecond, veryLong, veryLong)
	h.submit(first)
	lone := h.loneJob(1, 1, 300*time.Millisecond, veryLong)
	require.False(t, h.cell.CanStartNow(lone, h.now))
	require.Equal(t, 300*time.Millisecond, h.cell.predictDelay(lone, h.now))
	h.submit(lone)
	h.pass(100 * time.Millisecond)
	require.False(t, lone.Started())
	second := h.job(1, 5, short, veryLong, veryLong)
	require.True(t, h.cell.CanStartNow(h.job(1, 5, short, veryLong, veryLong), h.now), "one that waits for an idle worker takes no room")
	h.pass(250 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(first))
	require.True(t, lone.Started())
	require.False(t, h.cell.CanStartNow(second, h.now))
	require.Zero(t, h.cell.Loads(h.now)[0].FreeSlots)
	h.submit(second)
	require.Positive(t, second.Diagnostics.PredictedDelay)
	require.Less(t, second.Diagnostics.PredictedDelay, 300*time.Millisecond)
	h.pass(200 * time.Millisecond)
	require.Len(t, worker.runs, 1)
	require.False(t, second.Started())
	h.pass(200 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(lone))
	require.Equal(t, "completed", h.outcome(second))
}

// TestLoneTasksDoNotHoldOthersUp guards against tasks that wait behind one for which no worker is idle.
func TestLoneTasksDoNotHoldOthersUp(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.submit(h.job(1, 5, 300*time.Millisecond, veryLong, veryLong))
	lone := h.loneJob(2, 1, short, time.Second) // its other task starts at once
	h.submit(lone)
	require.Equal(t, 1, lone.waiting())
	other := h.job(1, 5, short, 2*time.Second, veryLong)
	h.submit(other)
	require.True(t, other.Started())
	h.pass(500 * time.Millisecond)
	require.Equal(t, "completed", h.outcome(lone))
}

// TestLoneTaskWithoutAnIdleWorkerIsGivenUpInTime guards against a job that waits on after it cannot be served any more.
func TestLoneTaskWithoutAnIdleWorkerIsGivenUpInTime(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(1, 16, 1)
	h.pass(200 * time.Millisecond) // until the worker's clock is known
	h.submit(h.job(1, 5, 5*time.Second, veryLong, veryLong))
	lone := h.loneJob(1, 1, short, shortObjective)
	h.submit(lone)
	require.Equal(t, "refused", h.outcome(lone))
	started := h.loneJob(2, 1, short, time.Minute)
	started.Deadline = h.now.Add(time.Second)
	h.submit(started)
	h.pass(time.Second)
	require.Equal(t, "abandoned", h.outcome(started))
}

// TestLoneTasksStartLateOnIdleWorkersOnly guards against late starts, which choose their workers by themselves.
func TestLoneTasksStartLateOnIdleWorkersOnly(t *testing.T) {
	h := newHarness(t)
	h.addWorkers(2, 16, 1)
	_, started := h.cell.StartLate(h.loneJob(2, 2, short, 0), h.now)
	require.True(t, started)
	h = newHarness(t)
	h.addWorkers(2, 16, 1)
	_, started = h.cell.StartLate(h.loneJob(3, 2, short, 0), h.now)
	require.False(t, started, "the third task would run beside one of the others")
	h.submit(h.job(1, 5, time.Second, veryLong, veryLong))
	_, started = h.cell.StartLate(h.loneJob(2, 2, short, 0), h.now)
	require.False(t, started)
	_, started = h.cell.StartLate(h.loneJob(3, 1, short, 0), h.now)
	require.True(t, started)
}

// TestRandomisedCrashes drives a cell through jobs of which some crash their workers. No task is
// started more often than the bound on its crashes, what a worker has crashed under runs alone, and with idle workers all other jobs complete.
func TestRandomisedCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		h.checkIsolation = true
		h.crashStart = rapid.SampledFrom([]StartResult{StartAccepted, StartUnconfirmed}).Draw(t, "answer")
		h.addWorkers(rapid.IntRange(1, 10).Draw(t, "workers"), 16, 1)
		h.pass(200 * time.Millisecond) // until the workers' clocks are known
		var jobs []*Job
		for range rapid.IntRange(1, 25).Draw(t, "jobs") {
			tasks := rapid.IntRange(1, 6).Draw(t, "tasks")
			length := time.Duration(rapid.IntRange(10, 800).Draw(t, "length")) * time.Millisecond
			job := h.job(tasks, int64(rapid.IntRange(1, 9).Draw(t, "cores")), length, veryLong, veryLong)
			if rapid.IntRange(0, 9).Draw(t, "crashes") == 0 {
				h.crashes[fmt.Sprintf("%s.%d", job.ID, rapid.IntRange(0, tasks-1).Draw(t, "task"))] = true
			}
			h.submit(job)
			jobs = append(jobs, job)
			h.pass(time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond)
		}
		// A single worker crashes under one task after the other.
		longest := 30*time.Second + time.Duration(len(h.crashes)*h.maxStarts())*(simCrashTime+time.Second)
		for end := h.now.Add(longest); h.now.Before(end); {
			h.pass(resendAfter)
			h.resubmitGivenUp(jobs)
		}
		for _, job := range jobs {
			want := Completed
			for _, task := range job.Tasks {
				if h.crashes[task.Name] {
					want = Failed
					if h.starts[task.Name] > h.maxStarts() {
						t.Fatalf("task %s was started %d times", task.Name, h.starts[task.Name])
					}
				}
			}
			if outcome := h.outcome(job); outcome != want.String() {
				t.Fatalf("job %s is %s, not %s", job.ID, outcome, want)
			}
		}
		h.settle(t)
	})
}

// resubmitGivenUp sends the jobs anew that were given up since a task's unanswered start may be carried out by its worker's next
// life, as their callers do: another task may have crashed that worker once more.
func (h *harness) resubmitGivenUp(jobs []*Job) {
	for i, job := range jobs {
		crashes := slices.ContainsFunc(job.Tasks, func(task *Task) bool { return h.crashes[task.Name] })
		answer := h.answers[job.ID]
		if !crashes || answer == nil || answer.Outcome != Abandoned || answer.Reason != reasonLateStart {
			continue
		}
		delete(h.answers, job.ID)
		jobs[i] = h.jobNamed(job.ID, len(job.Tasks), job.Tasks[0].Demand.Cores/1000, job.Tasks[0].Estimate, veryLong, veryLong)
		h.submit(jobs[i])
	}
}
