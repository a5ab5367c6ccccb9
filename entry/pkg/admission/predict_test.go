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

func newPolicy() *admission.Predictive {
	return admission.NewPredictive(rand.New(rand.NewPCG(1, 1)))
}

// newGroup returns a group with 100 slots of slowness 1, all busy.
func newGroup() *blackboard.Group {
	return &blackboard.Group{
		Name:     "desk",
		Busy:     100,
		LongLoad: map[string]float64{},
		Capacity: blackboard.Capacity{
			Slots: 100, Rate: 100, SlownessBound: 1, LongRate: map[string]float64{"a": 70},
		},
	}
}

func newJob(tasks int, run, deadline time.Duration) *blackboard.Job {
	job := &blackboard.Job{Account: "hokkaido", Deadline: epoch.Add(deadline)}
	for range tasks {
		job.Tasks = append(job.Tasks, &blackboard.Task{Job: job, Target: &blackboard.Target{Group: "desk"}, Expected: run, Cost: run})
	}
	return job
}

// queueWork queues the given slot time for the account.
func queueWork(group *blackboard.Group, account *blackboard.Account, work time.Duration, long bool) {
	task := &blackboard.Task{Job: &blackboard.Job{}, Cost: work, Long: long}
	group.Backlogs.Of(account).Add(task)
	group.Backlogs.Tasks++
}

func groups(group *blackboard.Group) map[string]*blackboard.Group {
	return map[string]*blackboard.Group{group.Name: group}
}

func TestAdmission(t *testing.T) {
	hokkaido := &blackboard.Account{Name: "hokkaido", Weight: 1}
	kerlouan := &blackboard.Account{Name: "kerlouan", Weight: 1}
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
			name:  "another account's flood leaves this one its share",
			queue: func(group *blackboard.Group) { queueWork(group, kerlouan, 5000*time.Second, false) },
			job:   newJob(1, time.Second, 3*time.Second),
		},
		{
			name:  "an urgent job does not wait for the account's normal work",
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

// submitter offers jobs to one policy and counts the decisions.
type submitter struct {
	policy *admission.Predictive
	group  *blackboard.Group
}

func (s *submitter) admitted(after, run, deadline time.Duration) bool {
	return s.policy.Admit(newJob(1, run, after+deadline), groups(s.group), epoch.Add(after)) == nil
}

// offer submits jobs of one second's run time evenly within the interval,
// and returns how many were admitted and refused.
func (s *submitter) offer(from, until time.Duration, perSecond int, deadline time.Duration) (admitted, refused int) {
	for at := from; at < until; at += time.Second / time.Duration(perSecond) {
		if s.admitted(at, time.Second, deadline) {
			admitted++
		} else {
			refused++
		}
	}
	return admitted, refused
}

// requireAnswers offers 110 jobs a second, 10 % more than is served, and expects the same decision for each.
func (s *submitter) requireAnswers(t *testing.T, admit bool, from, until time.Duration, why string) {
	t.Helper()
	admitted, refused := s.offer(from, until, 110, 5*time.Second)
	if admit {
		require.Zero(t, refused, why)
		return
	}
	require.Zero(t, admitted, why)
}

// newSubmitter returns a submitter whose queue takes one second to drain.
func newSubmitter() *submitter {
	group := newGroup()
	queueWork(group, &blackboard.Account{Name: "hokkaido", Weight: 1}, 100*time.Second, false)
	return &submitter{policy: newPolicy(), group: group}
}

func TestQueueIsKeptShortWhileLoadSurges(t *testing.T) {
	s := newSubmitter()
	_, refused := s.offer(0, 500*time.Millisecond, 300, 5*time.Second)
	require.Zero(t, refused, "a burst")
	s.offer(500*time.Millisecond, 1100*time.Millisecond, 300, 5*time.Second)
	admitted, _ := s.offer(1100*time.Millisecond, 4*time.Second, 300, 5*time.Second)
	require.Zero(t, admitted, "three times what is served")
	require.True(t, s.admitted(4*time.Second, time.Second, 2*time.Minute), "a job with time to wait")
	s.offer(4*time.Second, 5*time.Second, 70, 5*time.Second)
	_, refused = s.offer(5*time.Second, 15*time.Second, 70, 5*time.Second)
	require.Zero(t, refused, "the surge is over")
}

func TestQueueThatRefusesIsKeptShortWhileMoreIsOfferedThanServed(t *testing.T) {
	const step = 100 * time.Millisecond
	s := newSubmitter()
	s.requireAnswers(t, true, 0, 4*time.Second, "a queue that has refused nothing")
	for at := 4 * time.Second; at < 5*time.Second; at += step {
		require.False(t, s.admitted(at, step, time.Second), "the queue is too long for this deadline")
		s.requireAnswers(t, true, at, at+step, "the queue has refused work for less than a second")
	}
	s.requireAnswers(t, false, 5*time.Second, 6*time.Second, "the queue has refused work for a second")
	require.True(t, s.admitted(6*time.Second, step, 2*time.Minute), "a job with time to wait")
	backlogs := s.group.Backlogs
	s.group.Backlogs = blackboard.Backlogs{}
	s.requireAnswers(t, true, 6*time.Second, 6*time.Second+step, "an empty queue")
	s.group.Backlogs = backlogs
	s.requireAnswers(t, false, 6*time.Second+step, 6*time.Second+2*step, "the queue was empty for only 100 ms")
	s.group.Backlogs = blackboard.Backlogs{}
	s.requireAnswers(t, true, 6*time.Second+2*step, 8*time.Second, "an empty queue")
	s.group.Backlogs = backlogs
	s.requireAnswers(t, true, 8*time.Second, 9*time.Second, "a new burst")
}

// TestDrainingQueueRefusesNothingItServesInTime offers less than is served, part of it with deadlines
// that the queue is too long for.
func TestDrainingQueueRefusesNothingItServesInTime(t *testing.T) {
	s := newSubmitter()
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
		require.False(t, s.admitted(at, 100*time.Millisecond, time.Second), "the queue is too long for this deadline")
		_, refused := s.offer(at, at+100*time.Millisecond, 80, 30*time.Second)
		require.Zero(t, refused, "the queue is short enough for these deadlines")
	}
}

func TestFloodOfOneAccountLimitsOnlyItsOwnQueue(t *testing.T) {
	s := newSubmitter()
	queueWork(s.group, &blackboard.Account{Name: "kerlouan", Weight: 1}, 40*time.Second, false)
	refused := map[string]int{}
	for at := time.Duration(0); at < 5*time.Second; at += 10 * time.Millisecond {
		for _, account := range []string{"hokkaido", "hokkaido", "hokkaido", "kerlouan"} {
			run := time.Second
			if account == "kerlouan" {
				run = 400 * time.Millisecond
			}
			job := newJob(1, run, at+5*time.Second)
			job.Account = account
			if s.policy.Admit(job, groups(s.group), epoch.Add(at)) != nil {
				refused[account]++
			}
		}
	}
	require.Positive(t, refused["hokkaido"])
	require.Zero(t, refused["kerlouan"], "the account asks for less than its fair share")
}

func TestRetryAfterGrowsWithTheBacklogAndIsSpread(t *testing.T) {
	hokkaido := &blackboard.Account{Name: "hokkaido", Weight: 1}
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

// TestAdmissionIsMonotonic checks that a longer backlog or a shorter deadline never turns a refusal into an admission.
func TestAdmissionIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hokkaido := &blackboard.Account{Name: "hokkaido", Weight: rapid.IntRange(1, 5).Draw(t, "weight")}
		kerlouan := &blackboard.Account{Name: "kerlouan", Weight: 1}
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
