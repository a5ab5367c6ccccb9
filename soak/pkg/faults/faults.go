package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"chervilusher.dev/lib/jsontime"
	"chervilusher.dev/soak/pkg/yard"
	"chervilusher.dev/standin/pkg/control"
	"chervilusher.dev/standin/pkg/relay"
	"chervilusher.dev/standin/pkg/runner"
)

const (
	// stopTimeout bounds a planned stop; the platform kills a process 6 s after SIGTERM.
	stopTimeout = 6 * time.Second
	// longestMute bounds how late half of the starts are carried out that were not answered; most arrive within their lease of 1 s.
	longestMute = 1200 * time.Millisecond
	// firstLate and lastLate bound it for the others, as the platform does.
	firstLate, lastLate = 2 * time.Second, 12 * time.Second
	// beat is how much later than a change of its capacity a minion may write its entry.
	beat = 1500 * time.Millisecond
)

// Breaker breaks one thing at a time of each kind, several kinds at once.
type Breaker struct {
	yard   *yard.Yard
	random *rand.Rand
	log    func(format string, values ...any)

	mu   sync.Mutex
	busy map[string]bool // things that are broken at present
	work sync.WaitGroup
}

// New returns a breaker whose choices follow from the seed.
func New(broken *yard.Yard, seed uint64, log func(format string, values ...any)) *Breaker {
	return &Breaker{yard: broken, random: rand.New(rand.NewPCG(seed, seed)), log: log, busy: map[string]bool{}}
}

// fault is one way to break a thing for a while.
type fault struct {
	name  string
	thing string
	run   func(length time.Duration)
}

// Run breaks things until the context ends, and waits until all are whole again.
func (b *Breaker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		next := b.choose()
		length := time.Duration(100+b.random.IntN(2900)) * time.Millisecond
		pause := time.Duration(50+b.random.IntN(900)) * time.Millisecond
		if b.Claim(next.thing) {
			b.log("%s of %s for %s", next.name, next.thing, length)
			b.work.Go(func() {
				defer b.Release(next.thing)
				next.run(length)
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	b.work.Wait()
}

// Claim reserves a thing for the one who breaks it, and reports false while it is broken already.
func (b *Breaker) Claim(thing string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy[thing] {
		return false
	}
	b.busy[thing] = true
	return true
}

// Release ends a claim.
func (b *Breaker) Release(thing string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.busy, thing)
}

func (b *Breaker) choose() fault {
	host := b.yard.Hosts[b.random.IntN(len(b.yard.Hosts))]
	worker := b.yard.Workers[b.random.IntN(len(b.yard.Workers))]
	switch b.random.IntN(15) {
	case 0:
		return fault{"kill", host.Name, func(length time.Duration) { b.kill(host, length) }}
	case 1:
		return fault{"planned stop", host.Name, func(time.Duration) { b.stop(host) }}
	case 2:
		return fault{"pause", host.Name, func(length time.Duration) { pause(host, length) }}
	case 3:
		return fault{"reload", host.Name, func(time.Duration) { host.Signal(syscall.SIGHUP) }}
	case 4:
		return fault{"silence", host.Inward.Name(), func(length time.Duration) { disturb(host.Inward, relay.Faults{Freeze: true}, length) }}
	case 5:
		return fault{"reset", host.Inward.Name(), func(length time.Duration) { disturb(host.Inward, relay.Faults{Cut: true}, length/4) }}
	case 6:
		return fault{"silence", host.ToStore.Name(), func(length time.Duration) { disturb(host.ToStore, relay.Faults{Freeze: true}, length) }}
	case 7:
		return fault{"outage", "store", func(length time.Duration) { b.store(control.Platform{Outage: b.outage()}, length) }}
	case 8:
		lossy := control.Platform{Slow: jsontime.Duration(200 * time.Millisecond), Lost: 0.3}
		return fault{"slow and lossy answers", "store", func(length time.Duration) { b.store(lossy, length) }}
	case 9:
		return fault{"lost history", "store", func(time.Duration) { b.compact() }}
	case 10:
		return fault{"silence", worker.Relay.Name(), func(length time.Duration) { disturb(worker.Relay, relay.Faults{Freeze: true}, length) }}
	case 11:
		return fault{"crash", worker.Runner.ID, func(length time.Duration) { crash(worker, length) }}
	case 12:
		return fault{"drain", worker.Runner.ID, func(length time.Duration) { b.drain(worker, length) }}
	case 13:
		left, unwritten := b.random.Int64N(yard.Cores/2+1), time.Duration(b.random.Int64N(int64(beat)))
		return fault{fmt.Sprintf("shrink to %d", left), worker.Runner.ID, func(length time.Duration) { b.shrink(worker, left, unwritten, length) }}
	default:
		faulty := runner.Faults{Fail: 0.3, Hang: 0.1, Mute: 0.3, Delay: lateBy(time.Duration(b.random.Int64N(int64(longestMute))))}
		return fault{"failures", worker.Runner.ID, func(length time.Duration) { fail(worker, faulty, length) }}
	}
}

func (b *Breaker) outage() control.Outage {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rand.IntN(2) == 0 {
		return control.OutageError
	}
	return control.OutageHang
}

func (b *Breaker) kill(host *yard.Host, length time.Duration) {
	host.Kill()
	time.Sleep(length)
	b.start(host)
}

func (b *Breaker) stop(host *yard.Host) {
	host.Signal(syscall.SIGTERM)
	b.startAnew(host, stopTimeout)
}

// startAnew starts the host once its process has ended, which it may do by itself until the timeout.
func (b *Breaker) startAnew(host *yard.Host, timeout time.Duration) {
	if !host.Await(timeout) {
		b.log("FAULT: %s has not stopped by itself", host.Name)
		host.Kill()
	}
	b.start(host)
}

func (b *Breaker) start(host *yard.Host) {
	if err := host.Start(); err != nil {
		panic(fmt.Sprintf("cannot start %s: %s", host.Name, err))
	}
}

func pause(host *yard.Host, length time.Duration) {
	host.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	host.Signal(syscall.SIGCONT)
}

func disturb(between *relay.Relay, wanted relay.Faults, length time.Duration) {
	between.Faults().Set(wanted)
	time.Sleep(length)
	between.Faults().Set(relay.Faults{})
}

func (b *Breaker) store(wanted control.Platform, length time.Duration) {
	b.yard.Store.Faults.Set(wanted)
	time.Sleep(length)
	b.yard.Store.Faults.Set(control.Platform{})
}

func (b *Breaker) compact() {
	b.yard.Configure()
	b.yard.Store.Compact("keyed.op")
	b.yard.Store.Compact("keyed.servers")
}

func (b *Breaker) drain(worker *yard.Worker, length time.Duration) {
	b.yard.List(worker, "draining")
	time.Sleep(length)
	b.yard.List(worker, "ready")
}

// shrink lets the runner shrink until starts over its capacity have counted for a while, and grow again; its entry
// follows a part of a beat later.
func (b *Breaker) shrink(worker *yard.Worker, left int64, unwritten, length time.Duration) {
	for _, change := range []struct {
		cores int64
		lasts time.Duration
	}{{left, runner.ShrinkGrace + length}, {yard.Cores, 0}} {
		worker.Runner.SetCores(change.cores)
		time.Sleep(unwritten)
		b.yard.List(worker, "ready")
		time.Sleep(change.lasts)
	}
}

// lateBy spreads half of the delays over the platform's range.
func lateBy(mute time.Duration) time.Duration {
	if mute%2 == 0 {
		return mute
	}
	return firstLate + time.Duration(float64(mute)/float64(longestMute)*float64(lastLate-firstLate))
}

// crash has the worker start anew, half of the times after it was away.
func crash(worker *yard.Worker, length time.Duration) {
	if length/time.Millisecond%2 == 0 {
		worker.Runner.Crash()
		return
	}
	worker.Runner.CrashFor(length)
	time.Sleep(length)
}

func fail(worker *yard.Worker, faulty runner.Faults, length time.Duration) {
	worker.Runner.Faults.Set(faulty)
	time.Sleep(length)
	worker.Runner.Faults.Set(runner.Faults{})
}
