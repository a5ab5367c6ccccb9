package queue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/queue"
	"chervilusher.dev/lib/api"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTask(account string, urgent, long bool, queued time.Duration) *blackboard.Task {
	run := 500 * time.Millisecond
	if long {
		run = 5 * time.Second
	}
	return &blackboard.Task{
		Job:      &blackboard.Job{Account: account, Urgent: urgent},
		Target:   &blackboard.Target{Group: "desk"},
		Queued:   epoch.Add(queued),
		Long:     long,
		Expected: run,
		Cost:     run,
	}
}

func newAccounts(weights map[string]int) map[string]*blackboard.Account {
	made := map[string]*blackboard.Account{}
	for name, weight := range weights {
		made[name] = &blackboard.Account{Name: name, Weight: weight}
	}
	return made
}

func always(*blackboard.Task) bool { return true }

func TestUrgentGoesBeforeNormalAndShortBeforeLong(t *testing.T) {
	fair := queue.NewFair(newAccounts(map[string]int{"hokkaido": 1}))
	normalLong := newTask("hokkaido", false, true, 0)
	normalShort := newTask("hokkaido", false, false, time.Second)
	lateShort := newTask("hokkaido", false, false, 6*time.Second)
	urgentLong := newTask("hokkaido", true, true, 2*time.Second)
	urgentShort := newTask("hokkaido", true, false, 3*time.Second)
	for _, task := range []*blackboard.Task{normalLong, normalShort, urgentLong, urgentShort, lateShort} {
		fair.Push(task)
	}
	// A long task goes before a short one that arrived later by more than its expected run time.
	for _, expected := range []*blackboard.Task{urgentShort, urgentLong, normalShort, normalLong, lateShort} {
		require.Same(t, expected, fair.Pop(always))
	}
	require.Zero(t, fair.Len())
	require.Nil(t, fair.Pop(always))
}

func TestAccountsGetSlotTimeByWeight(t *testing.T) {
	fair := queue.NewFair(newAccounts(map[string]int{"a": 1, "b": 3}))
	for range 4000 {
		fair.Push(newTask("a", false, false, 0))
		fair.Push(newTask("b", false, true, 0))
	}
	got := map[string]time.Duration{}
	for range 1000 {
		task := fair.Pop(always)
		got[task.Job.Account] += task.Cost
	}
	require.InDelta(t, 3, float64(got["b"])/float64(got["a"]), 0.2)
}

func TestReturningAccountEarnsNothingWhileIdle(t *testing.T) {
	fair := queue.NewFair(newAccounts(map[string]int{"a": 1, "b": 1}))
	for range 1000 {
		fair.Push(newTask("a", false, false, 0))
	}
	for range 500 {
		fair.Pop(always)
	}
	for range 500 {
		fair.Push(newTask("b", false, false, 0))
	}
	counts := map[string]int{}
	for range 100 {
		counts[fair.Pop(always).Job.Account]++
	}
	require.InDelta(t, 50, counts["b"], 5)
}

func TestQuotaLimitsRunningTasksOfAnAccount(t *testing.T) {
	known := newAccounts(map[string]int{"a": 1, "b": 1})
	known["a"].MaxRun, known["a"].Running = 2, 2
	fair := queue.NewFair(known)
	fair.Push(newTask("a", true, false, 0))
	fair.Push(newTask("b", false, false, 0))
	require.Equal(t, "b", fair.Pop(always).Job.Account)
	require.Nil(t, fair.Pop(always))
	known["a"].Running = 1
	require.Equal(t, "a", fair.Pop(always).Job.Account)
}

func TestHeadThatDoesNotFitBlocksNothingElse(t *testing.T) {
	fair := queue.NewFair(newAccounts(map[string]int{"a": 1}))
	asked := 0
	for range 1000 {
		wide := newTask("a", false, false, 0)
		wide.Need = api.Need{Cores: 16}
		fair.Push(wide)
	}
	narrow := newTask("a", false, false, time.Second)
	fair.Push(narrow)
	popped := fair.Pop(func(task *blackboard.Task) bool {
		asked++
		return task.Need.Cores == 0
	})
	require.Same(t, narrow, popped)
	require.LessOrEqual(t, asked, 2)
}

func TestRetryThatAvoidsABackendBlocksNothingElse(t *testing.T) {
	fair := queue.NewFair(newAccounts(map[string]int{"a": 1}))
	retry := newTask("a", false, false, 0)
	retry.Avoid = &blackboard.Backend{Name: "broken"}
	fair.Push(retry)
	first := newTask("a", false, false, time.Second)
	fair.Push(first)
	require.Same(t, first, fair.Pop(func(task *blackboard.Task) bool { return task.Avoid == nil }))
	require.Same(t, retry, fair.Pop(always))
}

func TestReclassifiedTaskMovesToItsClass(t *testing.T) {
	fair := queue.NewFair(newAccounts(map[string]int{"a": 1}))
	mistaken := newTask("a", false, false, 0)
	fair.Push(mistaken)
	short := newTask("a", false, false, time.Second)
	fair.Push(short)
	popped := fair.Pop(func(task *blackboard.Task) bool {
		if task == mistaken && !task.Long {
			task.Long, task.Expected = true, 5*time.Second
			return false
		}
		return true
	})
	require.Same(t, short, popped)
	require.Same(t, mistaken, fair.Pop(always))
}

// TestQueueMatchesModel compares the queues with a plain set of tasks.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		known := newAccounts(map[string]int{"a": 1, "b": 2, "c": 5})
		var tested blackboard.Queue = queue.NewFair(known)
		if rapid.Bool().Draw(t, "single") {
			tested = queue.NewFIFO()
		}
		_, single := tested.(*queue.FIFO)
		waiting := map[*blackboard.Task]bool{}
		var list []*blackboard.Task
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "gap")) * time.Millisecond
				task := newTask(rapid.SampledFrom(names).Draw(t, "account"), rapid.Bool().Draw(t, "urgent"), rapid.Bool().Draw(t, "long"), now)
				task.Need.Cores = rapid.SampledFrom([]float64{0, 1, 2, 4}).Draw(t, "cores")
				tested.Push(task)
				waiting[task] = true
				list = append(list, task)
			},
			"pop": func(t *rapid.T) {
				most := float64(rapid.IntRange(-1, 4).Draw(t, "room"))
				popped := tested.Pop(func(task *blackboard.Task) bool { return task.Need.Cores <= most })
				if popped == nil {
					for task := range waiting {
						require.True(t, single || task.Need.Cores > most, "a task that fits was passed over")
					}
					return
				}
				require.True(t, waiting[popped])
				require.LessOrEqual(t, popped.Need.Cores, most)
				delete(waiting, popped)
			},
			"remove": func(t *rapid.T) {
				if len(list) == 0 {
					return
				}
				task := rapid.SampledFrom(list).Draw(t, "task")
				require.Equal(t, waiting[task], tested.Remove(task))
				delete(waiting, task)
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(waiting), tested.Len())
				seen := 0
				tested.(interface {
					Each(visit func(task *blackboard.Task))
				}).Each(func(task *blackboard.Task) {
					require.True(t, waiting[task])
					seen++
				})
				require.Equal(t, len(waiting), seen)
			},
		})
	})
}
