package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"chervilusher.dev/entry/pkg/blackboard"
	"chervilusher.dev/entry/pkg/dispatch"
	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/platform"
)

// engineBench keeps every slot busy and the queue at a given length,
// so that each step submits, finishes and starts one task.
type engineBench struct {
	driver   *driver
	running  []dispatch.Start
	next     int
	accounts []string
}

func newEngineBench(backends, waiting, accounts int) *engineBench {
	d := newDriver(1, fleet{endpoints: backends, slots: 8}, policies{admission: "predict"})
	bench := &engineBench{driver: d}
	for i := range accounts {
		name := fmt.Sprintf("owner-%02d", i)
		d.addAccount(name, 1+i%3)
		bench.accounts = append(bench.accounts, name)
	}
	for range backends*8 + waiting {
		bench.submit()
	}
	return bench
}

func (b *engineBench) submit() {
	b.next++
	job := &blackboard.Job{
		ID: "job", Account: b.accounts[b.next%len(b.accounts)], Urgent: b.next%5 == 0, Accepted: b.driver.now,
		Deadline: b.driver.now.Add(24 * time.Hour), Remaining: 1, Done: make(chan struct{}),
	}
	target := &blackboard.Target{Group: groupName, Role: platform.RoleMinion, Timeout: time.Minute}
	job.Tasks = []*blackboard.Task{{Job: job, Kind: "short", Target: target}}
	effects, refused := b.driver.engine.Submit(job, b.driver.now)
	if refused != nil {
		panic(refused.Reason)
	}
	b.running = append(b.running, effects.Starts...)
}

func (b *engineBench) finish() {
	at := b.next % len(b.running)
	start := b.running[at]
	b.running[at] = b.running[len(b.running)-1]
	b.running = b.running[:len(b.running)-1]
	effects, _ := b.driver.engine.Finish(start.Task, start.Attempt, dispatch.Outcome{Verdict: dispatch.VerdictDone}, b.driver.now)
	b.running = append(b.running, effects.Starts...)
}

// meanRun is the run time of a task in BenchmarkStart.
const meanRun = 500 * time.Millisecond

// BenchmarkStart measures one submission, one finish and one start, and a tick for every 300 of them,
// which matches 15,000 starts a second.
func BenchmarkStart(b *testing.B) {
	for _, backends := range []int{48, 480, 5500} {
		for _, waiting := range []int{100, 10_000, 1_000_000} {
			for _, accounts := range []int{2, 44} {
				b.Run(fmt.Sprintf("backends=%d/waiting=%d/owners=%d", backends, waiting, accounts), func(b *testing.B) {
					bench := newEngineBench(backends, waiting, accounts)
					step := meanRun / time.Duration(backends*8)
					b.ReportAllocs()
					b.ResetTimer()
					for i := range b.N {
						bench.driver.now = bench.driver.now.Add(step)
						bench.submit()
						bench.finish()
						if i%300 == 0 {
							effects := bench.driver.engine.Tick(bench.driver.now)
							bench.running = append(bench.running, effects.Starts...)
						}
					}
				})
			}
		}
	}
}

// BenchmarkTick measures one tick without work to start.
func BenchmarkTick(b *testing.B) {
	for _, backends := range []int{48, 480, 5500} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			bench := newEngineBench(backends, 10_000, 44)
			b.ResetTimer()
			for range b.N {
				bench.driver.now = bench.driver.now.Add(20 * time.Millisecond)
				bench.driver.engine.Tick(bench.driver.now)
			}
		})
	}
}

// BenchmarkCancel measures cancelling a job of 290 tasks that waits behind a queue.
func BenchmarkCancel(b *testing.B) {
	for _, waiting := range []int{100, 1_000_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			bench := newEngineBench(48, waiting, 2)
			d := bench.driver
			target := &blackboard.Target{Group: groupName, Role: platform.RoleMinion, Timeout: time.Minute}
			jobs := make([]*blackboard.Job, b.N)
			for i := range jobs {
				job := &blackboard.Job{ID: "wave", Account: bench.accounts[0], Deadline: d.now.Add(24 * time.Hour), Remaining: 290, Done: make(chan struct{})}
				for index := range 290 {
					job.Tasks = append(job.Tasks, &blackboard.Task{Job: job, Index: index, Kind: "short", Target: target})
				}
				if _, refused := d.engine.Submit(job, d.now); refused != nil {
					b.Fatal(refused.Reason)
				}
				jobs[i] = job
			}
			b.ResetTimer()
			for _, job := range jobs {
				d.engine.Cancel(job, d.now)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/290, "ns/task")
		})
	}
}

// BenchmarkWide measures one submission, one finish and one start of tasks of 1, 2, 4 and 8 cores
// on workers of 16 cores, with more work queued than fits.
func BenchmarkWide(b *testing.B) {
	for _, backends := range []int{48, 480, 5500} {
		b.Run(fmt.Sprintf("workers=%d", backends), func(b *testing.B) {
			d := newWorkers(backends)
			var running []dispatch.Start
			serial := 0
			submit := func() {
				serial++
				job := &blackboard.Job{ID: "wide", Account: "hokkaido", Deadline: d.now.Add(24 * time.Hour), Remaining: 1, Done: make(chan struct{})}
				job.Tasks = []*blackboard.Task{{
					Job: job, Kind: "wide", Need: api.Need{Cores: float64(int(1) << (serial % 4))},
					Target: &blackboard.Target{Group: groupName, Role: platform.RoleWorker, Timeout: time.Hour},
				}}
				effects, refused := d.engine.Submit(job, d.now)
				if refused != nil {
					b.Fatal(refused.Reason)
				}
				running = append(running, effects.Starts...)
			}
			for range backends*16 + 10_000 {
				submit()
			}
			step := meanRun / time.Duration(backends*4)
			b.ResetTimer()
			for i := range b.N {
				d.now = d.now.Add(step)
				submit()
				at := i % len(running)
				start := running[at]
				running[at] = running[len(running)-1]
				running = running[:len(running)-1]
				effects, _ := d.engine.Finish(start.Task, start.Attempt, dispatch.Outcome{Verdict: dispatch.VerdictDone}, d.now)
				running = append(running, effects.Starts...)
				if i%300 == 0 {
					effects := d.engine.Tick(d.now)
					running = append(running, effects.Starts...)
				}
			}
		})
	}
}
