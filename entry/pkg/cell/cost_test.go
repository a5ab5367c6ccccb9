package cell

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// noLimit is more than any predicted delay.
const noLimit = time.Duration(math.MaxInt64)

// clone returns a copy of the cell that decides on its own.
func (c *Cell) clone() *Cell {
	clone := New(c.limits, c.homes)
	clone.speeds, clone.factors = c.speeds, c.factors
	clone.evacuatedSince, clone.tickingSince, clone.tickedAt = c.evacuatedSince, c.tickingSince, c.tickedAt
	workers := map[*Worker]*Worker{}
	for _, worker := range c.ordered {
		copied := *worker
		clone.Add(&copied)
		workers[worker] = &copied
		copied.joining, copied.announced, copied.evacuatedSince = worker.joining, worker.announced, worker.evacuatedSince
	}
	tasks := map[*Task]*Task{}
	copyJob := func(job *Job) *Job {
		copied := *job
		copied.Tasks, copied.listed, copied.moved, copied.predecessor = nil, false, false, nil
		copied.changed()
		for _, task := range job.Tasks {
			other := *task
			other.Job, other.avoid = &copied, workers[task.avoid]
			tasks[task] = &other
			copied.Tasks = append(copied.Tasks, &other)
		}
		return &copied
	}
	for job := range c.jobs {
		copied := copyJob(job)
		clone.jobs[copied] = struct{}{}
		clone.byID[copied.ID] = copied
		if job.waits() {
			clone.enqueue(copied)
		}
	}
	for _, worker := range c.ordered {
		for _, run := range worker.listed {
			if _, known := tasks[run.Task]; !known {
				copyJob(run.Task.Job)
			}
			copied := *run
			copied.Worker, copied.Task = workers[worker], tasks[run.Task]
			copied.Task.run = &copied
			workers[worker].addRun(&copied)
			if clone.runEnds.add(&copied); run.stopping {
				clone.runEnds.stop(&copied)
			}
		}
	}
	return clone
}

// decisions returns the starts and answers in words.
func decisions(effects *Effects) []string {
	list := make([]string, 0, len(effects.Starts)+len(effects.Answers))
	for _, start := range effects.Starts {
		list = append(list, fmt.Sprintf("%s/%d at %s", start.Run.Task.Name, start.Run.Number, start.Run.Worker.ID))
	}
	for _, answered := range effects.Answers {
		list = append(list, fmt.Sprintf("%s %s: %s", answered.Job.ID, answered.Answer.Outcome, answered.Answer.Reason))
	}
	return list
}

// TestDecisionsAreThoseOfTheSimpleWay drives a cell into random states, and compares each decision and forecast in them
// with the reference, which looks at all workers and all jobs ahead for each job.
func TestDecisionsAreThoseOfTheSimpleWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		for _, h.domain = range []string{"east", "west"} {
			h.addWorkers(rapid.IntRange(1, 6).Draw(t, "workers"), 16, rapid.SampledFrom([]float64{0.6, 1, 1.7}).Draw(t, "speed"))
		}
		h.pass(50 * time.Millisecond)
		for _, worker := range h.cell.ordered {
			worker.Group = rapid.SampledFrom([]string{"desk", "desk", "lab"}).Draw(t, "group")
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h.disturb(t)
			h.compare(t)
		}
	})
}

// disturb changes the state of the cell without a decision.
func (h *harness) disturb(t *rapid.T) {
	worker := h.cell.ordered[rapid.IntRange(0, len(h.cell.ordered)-1).Draw(t, "worker")]
	runs := worker.sortedRuns()
	var effects Effects
	switch rapid.IntRange(0, 13).Draw(t, "change") {
	case 0:
		worker.unresponsive = !worker.unresponsive
	case 1:
		worker.Capacity.Cores = 1000 * rapid.SampledFrom([]int64{4, 8, 16, 24}).Draw(t, "capacity")
	case 2:
		worker.health.eject(h.now)
	case 3:
		worker.joining = !worker.joining
	case 4:
		h.cell.evacuatedSince = map[string]time.Time{rapid.SampledFrom([]string{"", "east", "west"}).Draw(t, "evacuated"): h.now}
		for _, other := range h.cell.ordered {
			other.evacuatedSince = h.cell.evacuatedSince[other.FailureDomain]
		}
	case 5, 6, 7:
		result := rapid.SampledFrom([]RunResult{RunDone, RunDone, RunFailed, RunLapsed}).Draw(t, "result")
		for _, run := range runs[:rapid.IntRange(0, len(runs)).Draw(t, "ends")] {
			h.cell.handleEnd(run, result, h.now, &effects)
		}
	case 8:
		if len(runs) > 0 {
			h.cell.stop(runs[0], h.now, &effects)
		}
	case 9:
		h.cell.refreshFactors()
	default:
		for range rapid.IntRange(1, 8).Draw(t, "jobs") {
			h.cell.enqueue(h.undecided(t))
		}
	}
	h.now = h.now.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "passed")) * time.Microsecond)
	for job := range h.cell.jobs {
		job.WantedAt = h.now
	}
}

// undecided returns a random job that the cell has taken, but not decided about.
func (h *harness) undecided(t *rapid.T) *Job {
	estimate := time.Duration(rapid.IntRange(0, 400).Draw(t, "estimate")) * time.Millisecond
	objective := estimate + time.Duration(rapid.IntRange(-50, 600).Draw(t, "objective"))*time.Millisecond
	job := h.job(rapid.IntRange(1, 6).Draw(t, "tasks"), rapid.SampledFrom([]int64{1, 3, 5, 8, 16}).Draw(t, "cores"), estimate, objective, objective+500*time.Millisecond)
	job.Queue = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "queue")
	job.Group = rapid.SampledFrom([]string{"desk", "desk", "lab"}).Draw(t, "group of the job")
	job.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
	job.Call = 1
	for _, task := range job.Tasks {
		if rapid.IntRange(0, 20).Draw(t, "alone") == 0 {
			task.crashes = Crashes{All: 1}
		}
	}
	h.cell.nextSeq++
	job.seq = h.cell.nextSeq
	h.cell.jobs[job] = struct{}{}
	h.cell.byID[job.ID] = job
	return job
}

// compare decides in the present state and requires what the reference decides in a copy of it.
func (h *harness) compare(t *rapid.T) {
	probe := h.undecided(t)
	delete(h.cell.jobs, probe)
	delete(h.cell.byID, probe.ID)
	longest := probe.longestTask()
	h.cell.sortWaiting()
	for _, eligible := range []func(*Worker) bool{everyWorker, func(worker *Worker) bool { return h.cell.isInTime(longest, worker, h.now) }} {
		require.Equal(t, reference{h.cell}.delay(probe, h.cell.waiting, eligible, h.now), h.cell.forecastWithin(probe, eligible, noLimit, h.now))
	}
	for _, job := range append([]*Job{probe}, h.cell.waiting...) {
		require.Equal(t, reference{h.cell}.tasksAhead(job, h.now), h.cell.loadAhead(job, h.now).tasks)
	}
	var expected, found Effects
	reference{h.cell.clone()}.assign(h.now, &expected)
	h.cell.assign(h.now, &found)
	require.ElementsMatch(t, decisions(&expected), decisions(&found))
}

// TestForecastBeyondTheLookAheadIsClose compares a forecast that adds up the work of many jobs ahead with one that schedules
// each task: it differs by less than one run time.
func TestForecastBeyondTheLookAheadIsClose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		h.addWorkers(rapid.IntRange(1, 20).Draw(t, "workers"), 16, 1)
		longest := 400 * time.Millisecond
		for range rapid.IntRange(0, 60).Draw(t, "running") {
			h.submit(h.job(1, 4, time.Duration(rapid.IntRange(1, 400).Draw(t, "run"))*time.Millisecond, veryLong, veryLong))
		}
		for range rapid.IntRange(maxLookAhead, 3*maxLookAhead).Draw(t, "waiting") {
			length := longest * time.Duration(1+len(h.cell.waiting)%7) / 7
			job := h.job(1+len(h.cell.waiting)%5, 4, length, time.Minute, veryLong)
			h.cell.open(job)
			h.cell.enqueue(job)
		}
		probe := h.job(4, 4, longest, 2*time.Minute, veryLong)
		h.cell.sortWaiting()
		exact := reference{h.cell}.delay(probe, h.cell.waiting, everyWorker, h.now)
		require.InDelta(t, exact, h.cell.forecastWithin(probe, nil, noLimit, h.now), float64(longest))
	})
}

// TestOrderFollowsWhatIsLearnt has one queue's runs take twice as long as declared: its jobs have to start earlier from the
// next ticks on.
func TestOrderFollowsWhatIsLearnt(t *testing.T) {
	for _, waiting := range []int{2, 3 * refreshJobs} {
		h := newHarness(t)
		h.addWorkers(1, 16, 1)
		h.submit(h.job(1, 16, veryLong, 2*veryLong, 3*veryLong))
		for i := range waiting {
			job := h.job(1, 16, time.Second, veryLong+time.Duration(i)*time.Microsecond, 3*veryLong)
			job.Queue = []string{"declared", "twice"}[i%2]
			h.cell.open(job)
			h.cell.enqueue(job)
		}
		h.cell.sortWaiting()
		require.Equal(t, "declared", h.cell.waiting[0].Queue)
		for range 100 {
			task := &Task{Job: &Job{Queue: "twice"}, Estimate: time.Second}
			h.cell.speeds.observe(&Run{Task: task, Worker: &Worker{}}, 2*time.Second)
		}
		for range 1 + waiting/refreshJobs {
			h.cell.Tick(h.now)
		}
		require.Equal(t, "twice", h.cell.waiting[0].Queue)
		require.Equal(t, "declared", h.cell.waiting[waiting-1].Queue)
	}
}
