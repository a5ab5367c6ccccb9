package cell

import (
	"fmt"
	"testing"
	"time"
)

const (
	benchCores   = 32
	benchRun     = 100 * time.Millisecond
	benchPatient = time.Hour

	hopelessObjective = 2 * time.Second // up to a second more: in it, half of the tasks find room
	hopelessRun       = 1900 * time.Millisecond
)

// benchWidths are the tasks of a job and the cores of each; the kinds take turns.
var (
	benchWidths    = [][2]int{{2, 2}, {4, 4}, {8, 8}}
	hopelessWidths = [][2]int{{8, 4}, {8, 6}, {8, 8}}
)

// BenchmarkEvents measures the cost of one event at a keeper. "patient" jobs can all be served in their objectives; of the
// "hopeless" ones none can, although each finds some room. "free" workers take each job at once.
func BenchmarkEvents(b *testing.B) {
	for _, workers := range []int{16, 48, 350} {
		b.Run(fmt.Sprintf("free/workers-%d/waiting-0", workers), func(b *testing.B) { benchFree(b, workers) })
	}
	for _, kind := range []string{"patient", "hopeless"} {
		for _, workers := range []int{16, 48, 350} {
			for _, waiting := range []int{0, 10, 100, 1_000, 10_000} {
				b.Run(fmt.Sprintf("%s/workers-%d/waiting-%d", kind, workers, waiting), func(b *testing.B) {
					benchEvents(b, kind == "hopeless", workers, waiting)
				})
			}
		}
	}
}

// eventBench keeps the number of waiting jobs, whatever the measured events start or answer.
type eventBench struct {
	*harness
	hopeless bool
	waiting  int
	serial   int
	ends     int64
	spent    map[string]time.Duration
	count    map[string]int
}

func benchEvents(b *testing.B, hopeless bool, workers, waiting int) {
	e := &eventBench{harness: newHarness(b), hopeless: hopeless, waiting: waiting, spent: map[string]time.Duration{}, count: map[string]int{}}
	e.occupy(workers)
	e.fill()
	b.ReportAllocs()
	for b.Loop() {
		e.now = e.now.Add(time.Microsecond)
		e.measure("submit", func() Effects { return e.cell.Submit(e.next(time.Second), e.now) })
		e.restore()
		worker, report := e.reportEnd()
		e.measure("end", func() Effects { return e.cell.HandleReport(worker, report, e.now, e.now) })
		e.restore()
		e.measure("tick", func() Effects { return e.cell.Tick(e.now) })
		e.restore()
	}
	e.report(b)
}

// benchFree measures events while all workers are idle.
func benchFree(b *testing.B, workers int) {
	e := &eventBench{harness: newHarness(b), spent: map[string]time.Duration{}, count: map[string]int{}}
	e.addWorkers(workers, benchCores, 1)
	b.ReportAllocs()
	for b.Loop() {
		e.now = e.now.Add(time.Microsecond)
		var effects Effects
		e.measure("submit", func() Effects {
			effects = e.cell.Submit(e.job(1, 2, benchRun, time.Second, 2*time.Second), e.now)
			return effects
		})
		e.measure("tick", func() Effects { return e.cell.Tick(e.now) })
		run := effects.Starts[0].Run
		e.age(run)
		report := &Report{Incarnation: run.Worker.incarnation, Clock: run.Worker.clock.estimate(e.now)}
		report.Ended = []EndedRunEntry{{Sequence: run.Worker.ackedSequence + 1, Task: run.Task.Name, Run: run.Number, Result: RunDone}}
		e.measure("end", func() Effects { return e.cell.HandleReport(run.Worker, report, e.now, e.now) })
	}
	e.report(b)
}

func (e *eventBench) report(b *testing.B) {
	for name, spent := range e.spent {
		b.ReportMetric(float64(spent.Nanoseconds())/float64(e.count[name]), "ns/"+name)
	}
	b.ReportMetric(0, "ns/op")
}

// occupy adds workers with four runs each and no room left; hopeless jobs find room for one of their tasks.
func (e *eventBench) occupy(workers int) {
	e.addWorkers(workers, benchCores, 1)
	for range workers {
		e.cell.open(e.occupyOne())
	}
	if e.hopeless {
		e.end()
	}
}

// occupyOne fills the room of four tasks, or what is free of it.
func (e *eventBench) occupyOne() *Job {
	e.serial++
	length := benchPatient + time.Duration(e.serial)*time.Millisecond // no two end at once
	job := e.job(4, benchCores/4, length, 2*length, 3*length)
	job.Call = -1
	e.cell.pass++
	for _, task := range job.Tasks {
		worker := e.cell.selectWorker(task, e.now)
		if worker == nil {
			task.state = Dropped
			continue
		}
		start := e.cell.start(task, worker, e.now)
		start.Run.confirm(e.now)
	}
	return job
}

// next returns a job that starts in time if it does within the given time after the next one.
func (e *eventBench) next(patience time.Duration) *Job {
	width := benchWidths[e.serial%len(benchWidths)]
	if e.hopeless {
		width = hopelessWidths[e.serial%len(benchWidths)]
	}
	e.serial++
	objective, length := benchPatient, benchRun
	if e.hopeless {
		objective, length = hopelessObjective, hopelessRun
	}
	objective += patience + time.Duration(e.serial) // no two callers come at once
	job := e.job(width[0], int64(width[1]), length, objective, 2*benchPatient)
	job.Queue = fmt.Sprintf("queue-%d", e.serial%len(benchWidths))
	job.Call = int64(e.serial)
	job.WantedAt = e.now
	return job
}

// fill adds waiting jobs without a decision about each.
func (e *eventBench) fill() {
	for len(e.cell.waiting) < e.waiting {
		job := e.next(time.Duration(e.serial*7919%1000) * time.Millisecond)
		e.cell.open(job)
		e.cell.byID[job.ID] = job
		e.cell.enqueue(job)
	}
	e.cell.sortWaiting()
}

// restore brings the number of waiting jobs back, which are wanted by their callers as before.
func (e *eventBench) restore() {
	if more := len(e.cell.waiting) - e.waiting; more > 0 {
		e.cell.CancelAll(append([]*Job{}, e.cell.waiting[e.waiting:]...), "", e.now)
	}
	if e.hopeless {
		e.occupyOne()
		e.end() // leaves room for one task of eight
	}
	e.fill()
}

// end reports the end of the oldest run of a worker, with the others still listed.
func (e *eventBench) end() {
	worker, report := e.reportEnd()
	e.cell.HandleReport(worker, report, e.now, e.now)
}

func (e *eventBench) reportEnd() (*Worker, *Report) {
	worker := e.cell.ordered[int(e.ends)%len(e.cell.ordered)]
	e.ends++
	runs := worker.sortedRuns()
	report := &Report{Incarnation: worker.incarnation, Clock: worker.clock.estimate(e.now)}
	for _, run := range runs[min(1, len(runs)):] {
		report.Running = append(report.Running, RunEntry{Task: run.Task.Name, Run: run.Number})
	}
	if len(runs) > 0 {
		e.age(runs[0])
		report.Ended = []EndedRunEntry{{Sequence: worker.ackedSequence + 1, Task: runs[0].Task.Name, Run: runs[0].Number, Result: RunDone}}
	}
	return worker, report
}

// age makes the run as old as its estimate, give or take a tenth.
func (e *eventBench) age(run *Run) {
	e.serial++
	e.cell.runEnds.remove(run)
	run.sentAt = e.now.Add(-run.Task.Estimate * time.Duration(90+e.serial%21) / 100)
	e.cell.runEnds.add(run)
}

// measure adds the time that an event takes.
func (e *eventBench) measure(name string, decide func() Effects) {
	began := time.Now()
	effects := decide()
	e.spent[name] += time.Since(began)
	e.count[name]++
	for _, start := range effects.Starts {
		start.Run.confirm(e.now)
	}
}
