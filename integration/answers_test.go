package integration

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
	"chervilusher.dev/standin/pkg/minion"
	"chervilusher.dev/standin/pkg/office"
)

func (f *fleet) setFaults(faults minion.Faults) {
	f.t.Helper()
	names := make([]string, 0, len(f.office.Members))
	for _, member := range f.office.Members {
		names = append(names, member.Name())
	}
	require.NoError(f.t, f.office.SetBackendFaults(office.BackendFaults{Names: names, Faults: faults}))
}

// runMany runs one-task jobs at once and returns their answers by mark.
func (f *fleet) runMany(count int, through *entry, make func(mark string) api.Task, prefix string) map[string]*api.Answer {
	f.t.Helper()
	var mutex sync.Mutex
	answers := map[string]*api.Answer{}
	var running sync.WaitGroup
	for i := range count {
		mark := fmt.Sprintf("%s-%d", prefix, i)
		handle := f.mint(through)
		running.Go(func() {
			answer, err := tryPost(through.url()+"/v1/jobs?wait=20s", handle, job(make(mark)))
			mutex.Lock()
			defer mutex.Unlock()
			if err == nil {
				answers[mark] = answer
			}
		})
	}
	running.Wait()
	require.Len(f.t, answers, count)
	return answers
}

// requireTrue checks an answer against the back ends' own counts.
func (f *fleet) requireTrue(answers map[string]*api.Answer) {
	f.t.Helper()
	f.requireAtMostOnce()
	marks := f.office.Marks()
	for mark, answer := range answers {
		if answer.Ran == api.RanNo {
			require.Zero(f.t, marks[mark], "%s was said not to have run: %s", mark, answer.Reason)
		}
		if answer.State == api.StateComplete {
			requireOwnAnswer(f.t, answer, mark)
		} else {
			require.Empty(f.t, answer.Results)
		}
	}
}

func countComplete(answers map[string]*api.Answer) int {
	count := 0
	for _, answer := range answers {
		if answer.State == api.StateComplete {
			count++
		}
	}
	return count
}

func TestLostAnswersOfStartsAreLearntWithoutASecondStart(t *testing.T) {
	f := newFleet(t, plan{places: []string{"x"}, minions: 2, slots: 8, workers: 2, cores: 8, timeout: 3 * time.Second})
	f.setFaults(minion.Faults{Lost: 0.7})
	quick := func(service string) func(string) api.Task {
		return func(mark string) api.Task { return task(service, mark, 50*time.Millisecond) }
	}
	for _, run := range []struct {
		name  string
		make  func(string) api.Task
		whole bool // the answer can be asked for again
	}{
		{"tombstones", quick("desk"), true},
		{"workers", func(mark string) api.Task { return poolTask(mark, 50*time.Millisecond) }, true},
		{"nothing to ask", quick("plain"), false},
	} {
		t.Run(run.name, func(t *testing.T) {
			answers := f.runMany(20, f.entries[0], run.make, run.name)
			f.requireTrue(answers)
			if run.whole {
				require.Equal(t, 20, countComplete(answers))
				return
			}
			for _, answer := range answers {
				if answer.State != api.StateComplete {
					require.Equal(t, api.CodeTaskUnknown, answer.Code)
					require.Equal(t, api.RanUnknown, answer.Ran)
				}
			}
		})
	}
}

func TestCrossedAnswersAreNeverDelivered(t *testing.T) {
	f := newFleet(t, plan{places: []string{"x"}, minions: 1, slots: 4, workers: 1, cores: 4, timeout: 2 * time.Second})
	f.setFaults(minion.Faults{Crossed: 0.5})
	for name, make := range map[string]func(string) api.Task{
		"desk":  func(mark string) api.Task { return task("desk", mark, 10*time.Millisecond) },
		"plain": func(mark string) api.Task { return task("plain", mark, 10*time.Millisecond) },
		"pool":  func(mark string) api.Task { return poolTask(mark, 10*time.Millisecond) },
	} {
		f.requireTrue(f.runMany(20, f.entries[0], make, name))
	}
	require.NotZero(t, f.entries[0].metric(`chervilusher_answers_dropped_total{why="crossed"}`))
}

func TestPausedHolderStartsNothingUnderALapsedLease(t *testing.T) {
	f := newFleet(t, plan{places: []string{"x"}, workers: 2, cores: 4, timeout: 5 * time.Second})
	holder := f.entries[0]
	warm := f.runMany(4, holder, func(mark string) api.Task { return poolTask(mark, 0) }, "warm")
	require.Equal(t, 4, countComplete(warm))
	done := make(chan map[string]*api.Answer, 1)
	go func() {
		done <- f.runMany(60, holder, func(mark string) api.Task { return poolTask(mark, 100*time.Millisecond) }, "pause")
	}()
	time.Sleep(250 * time.Millisecond)
	holder.signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second) // the lease is of one second
	before := f.office.Counters("pool").Starts
	holder.signal(syscall.SIGCONT)
	answers := <-done
	f.requireTrue(answers)
	require.Equal(t, 60, countComplete(answers))
	require.Greater(t, f.office.Counters("pool").Starts, before)
}

func TestJobIsCompleteOrFailedAndNeverPartial(t *testing.T) {
	f := newFleet(t, plan{places: []string{"x"}, minions: 4, slots: 64, timeout: 20 * time.Second})
	tasks := func(prefix string) []api.Task {
		made := make([]api.Task, api.MaxTasks)
		for i := range made {
			made[i] = task("desk", fmt.Sprintf("%s-%d", prefix, i), 20*time.Millisecond)
		}
		return made
	}
	whole := post(t, f.entries[0].url()+"/v1/jobs?wait=20s", f.mint(f.entries[0]), job(tasks("whole")...))
	require.Equal(t, api.StateComplete, whole.State, whole.Reason)
	require.Len(t, whole.Results, api.MaxTasks)
	for i, result := range whole.Results {
		require.Equal(t, fmt.Sprintf("whole-%d", i), echoOf(t, result))
	}

	broken := tasks("broken")
	broken[7].Payload = payload("broken-7", 300*time.Millisecond, "this task fails")
	broken[3].Payload = payload("broken-3", time.Hour, "")
	go func() {
		time.Sleep(100 * time.Millisecond)
		f.office.Member("desk-1").Server().Down()
	}()
	started := time.Now()
	answer := post(t, f.entries[0].url()+"/v1/jobs?wait=20s", f.mint(f.entries[0]), job(broken...))
	require.Equal(t, api.StateFailed, answer.State)
	require.Empty(t, answer.Results)
	require.Equal(t, api.RanYes, answer.Ran)
	require.Less(t, time.Since(started), 15*time.Second, "the task that never ends is not waited for")
	f.requireAtMostOnce()
	require.Eventually(t, func() bool {
		running := int64(0)
		for _, name := range []string{"desk-0", "desk-2", "desk-3"} {
			running += f.office.Member(name).Counters().Running
		}
		return running == 0
	}, patience, pollEvery, "the task that never ends is stopped")
}

func TestTwoHoldersOfOneWorkerExcludeEachOther(t *testing.T) {
	f := newFleet(t, plan{places: []string{"x", "x"}, workers: 1, cores: 4, timeout: 5 * time.Second})
	holder, next := f.entries[0], f.entries[1]
	require.Eventually(t, func() bool {
		status, err := holder.status()
		return err == nil && len(status.Workers) == 1 && status.Workers[0].Keeper != ""
	}, patience, pollEvery)
	status, err := holder.status()
	require.NoError(t, err)
	if status.Workers[0].Keeper == next.name {
		holder, next = next, holder
	}
	work := func(mark string) api.Task { return poolTask(mark, 50*time.Millisecond) }
	done := make(chan map[string]*api.Answer, 1)
	go func() { done <- f.runMany(60, holder, work, "first") }()
	require.Eventually(t, func() bool { return f.office.Counters("pool").Starts > 4 }, patience, time.Millisecond)
	holder.signal(syscall.SIGSTOP)
	require.NoError(t, f.office.Hosts.SetState(holder.name, platform.HostLeaving))
	answers := f.runMany(20, next, work, "next")
	f.requireTrue(answers)
	require.Equal(t, 20, countComplete(answers), "the next holder works while the first one stands still")
	holder.signal(syscall.SIGCONT)
	require.NoError(t, f.office.Hosts.SetState(holder.name, platform.HostLive))
	f.requireTrue(<-done)
}
