package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chervilusher.dev/entry/pkg/admission"
	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/lib/api"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newPolicy() *admission.Predict {
	return admission.NewPredict(rand.New(rand.NewPCG(1, 1)))
}

// newGroup has 100 slots of slowness 1, all busy.
func newGroup() *blackboard.Group {
	return &blackboard.Group{
		Name: "desk",
		Busy: 100,
		Long: map[string]float64{},
		Capacity: blackboard.Capacity{
			Slots: 100, Rate: 100, Slow: 1, Long: map[string]float64{"a": 70},
		},
	}
}

func newJob(tasks int, run, deadline time.Duration) *blackboard.Job {
	job := &blackboard.Job{Owner: "hokkaido", Deadline: epoch.Add(deadline)}
	for range tasks {
		job.Tasks = append(job.Tasks, &blackboard.Task{Job: job, Target: &blackboard.Target{Group: "desk"}, Expected: run, Cost: run})
	}
	return job
}

// queueWork lets the owner wait with that much slot time.
func queueWork(group *blackboard.Group, owner *blackboard.Owner, work time.Duration, long bool) {
	task := &blackboard.Task{Job: &blackboard.Job{}, Cost: work, Long: long}
	group.Backlogs.Of(owner).Add(task)
	group.Backlogs.Tasks++
}

func groups(group *blackboard.Group) map[string]*blackboard.Group {
	return map[string]*blackboard.Group{group.Name: group}
}

func TestAdmission(t *testing.T) {
	hokkaido := &blackboard.Owner{Name: "hokkaido", Weight: 1}
	kerlouan := &blackboard.Owner{Name: "kerlouan", Weight: 1}
	table := []struct {
		name    string
		queue   func(group *blackboard.Group)
		job     *blackboard.Job
		refused bool
	}{
		{
			name:  "an empty queue admits",
			queue: func(*blackboard.Group) {},
			job:   newJob(1, time.Second, 2*time.Second),
		},
		{
			name:  "free slots admit a job whatever its expected run",
			queue: func(group *blackboard.Group) { group.Busy = 0 },
			job:   newJob(90, time.Minute, time.Second),
		},
		{
			name:    "a backlog longer than the deadline refuses",
			queue:   func(group *blackboard.Group) { queueWork(group, hokkaido, 500*time.Second, false) },
			job:     newJob(1, time.Second, 5*time.Second),
			refused: true,
		},
		{
			name:  "a backlog that drains in time admits",
			queue: func(group *blackboard.Group) { queueWork(group, hokkaido, 300*time.Second, false) },
			job:   newJob(1, time.Second, 5*time.Second),
		},
		{
			name:  "another owner's flood leaves this one its share",
			queue: func(group *blackboard.Group) { queueWork(group, kerlouan, 5000*time.Second, false) },
			job:   newJob(1, time.Second, 3*time.Second),
		},
		{
			name:  "an urgent job does not wait for the owner's normal work",
			queue: func(group *blackboard.Group) { queueWork(group, hokkaido, 5000*time.Second, false) },
			job: func() *blackboard.Job {
				job := newJob(1, time.Second, 3*time.Second)
				job.Urgent = true
				return job
			}(),
		},
		{
			name:  "short work does not wait for long work",
			queue: func(group *blackboard.Group) { queueWork(group, hokkaido, 5000*time.Second, true) },
			job:   newJob(1, time.Second, 3*time.Second),
		},
		{
			name:    "a job's own tasks count",
			queue:   func(*blackboard.Group) {},
			job:     newJob(290, 2*time.Second, 3*time.Second),
			refused: true,
		},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			group := newGroup()
			row.queue(group)
			refusal := newPolicy().Admit(row.job, groups(group), epoch)
			if !row.refused {
				require.Nil(t, refusal)
				return
			}
			require.NotNil(t, refusal)
			require.Equal(t, api.CodeOverload, refusal.Code)
			require.Positive(t, refusal.RetryAfter)
		})
	}
}

func TestQueueThatStandsIsKeptShort(t *testing.T) {
	hokkaido := &blackboard.Owner{Name: "hokkaido", Weight: 1}
	group := newGroup()
	queueWork(group, hokkaido, 100*time.Second, false)
	policy := newPolicy()
	admit := func(after, deadline time.Duration) bool {
		job := newJob(1, 100*time.Millisecond, after+deadline)
		return policy.Admit(job, groups(group), epoch.Add(after)) == nil
	}
	require.True(t, admit(0, 5*time.Second), "a queue that refuses nothing")
	require.True(t, admit(2*time.Second, 5*time.Second), "a queue that refuses nothing, for however long")
	require.False(t, admit(2*time.Second, time.Second), "it is too long for this one")
	require.True(t, admit(2900*time.Millisecond, 5*time.Second), "a burst")
	require.False(t, admit(3100*time.Millisecond, 5*time.Second), "it has refused work for a second")
	require.True(t, admit(3100*time.Millisecond, 2*time.Minute), "a job with time to wait")
	group.Backlogs = blackboard.Backlogs{}
	require.True(t, admit(3200*time.Millisecond, 5*time.Second))
	queueWork(group, hokkaido, 100*time.Second, false)
	require.False(t, admit(3300*time.Millisecond, 5*time.Second), "drained for an instant only")
	group.Backlogs = blackboard.Backlogs{}
	require.True(t, admit(3400*time.Millisecond, 5*time.Second))
	require.True(t, admit(4500*time.Millisecond, 5*time.Second))
	queueWork(group, hokkaido, 100*time.Second, false)
	require.True(t, admit(4600*time.Millisecond, 5*time.Second), "a new burst")
}

func TestRetryAfterGrowsWithTheBacklogAndIsSpread(t *testing.T) {
	hokkaido := &blackboard.Owner{Name: "hokkaido", Weight: 1}
	policy := newPolicy()
	seen := map[time.Duration]bool{}
	for _, seconds := range []time.Duration{10, 20} {
		group := newGroup()
		queueWork(group, hokkaido, 100*seconds*time.Second, false)
		for range 20 {
			refusal := policy.Admit(newJob(1, time.Second, 5*time.Second), groups(group), epoch)
			require.NotNil(t, refusal)
			require.GreaterOrEqual(t, refusal.RetryAfter, (seconds-1)*time.Second)
			require.LessOrEqual(t, refusal.RetryAfter, seconds*time.Second*3/2)
			seen[refusal.RetryAfter] = true
		}
	}
	require.Greater(t, len(seen), 30)
}

// TestMoreWorkNeverAdmitsMore checks that a longer backlog or a shorter deadline never turns a refusal into an admission.
func TestMoreWorkNeverAdmitsMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hokkaido := &blackboard.Owner{Name: "hokkaido", Weight: rapid.IntRange(1, 5).Draw(t, "weight")}
		kerlouan := &blackboard.Owner{Name: "kerlouan", Weight: 1}
		own := time.Duration(rapid.IntRange(0, 1000).Draw(t, "own")) * time.Second
		other := time.Duration(rapid.IntRange(0, 1000).Draw(t, "other")) * time.Second
		more := time.Duration(rapid.IntRange(0, 1000).Draw(t, "more")) * time.Second
		deadline := time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second
		tasks := rapid.IntRange(1, 290).Draw(t, "tasks")
		admitted := func(own, other, deadline time.Duration) bool {
			group := newGroup()
			queueWork(group, hokkaido, own, false)
			queueWork(group, kerlouan, other, false)
			return newPolicy().Admit(newJob(tasks, time.Second, deadline), groups(group), epoch) == nil
		}
		if admitted(own, other, deadline) {
			require.True(t, admitted(own, other, deadline+more))
			return
		}
		require.False(t, admitted(own+more, other, deadline))
		require.False(t, admitted(own, other+more, deadline))
	})
}
