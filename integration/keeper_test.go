package integration

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/lib/api"
)

// serviceGap is the target: the minions of a lost keeper are without service for at most so long.
const serviceGap = 2 * time.Second

// TestLostKeepersMinionsAreServedSoon kills and freezes a keeper under load, and measures for each of its minions the longest time without a start.
func TestLostKeepersMinionsAreServedSoon(t *testing.T) {
	cases := []struct {
		name   string
		signal syscall.Signal
	}{
		{"killed", syscall.SIGKILL},
		{"frozen", syscall.SIGSTOP},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, plan{places: []string{"x", "x", "x"}, minions: 12, slots: 2})
			lost, staying := f.entries[0], f.entries[1:]
			kept := f.keptBy(lost)
			require.NotEmpty(t, kept)

			stop := f.loadThrough(staying, 48, 50*time.Millisecond)
			f.requireAllStart(kept)
			lost.signal(test.signal)
			gaps := f.longestGaps(kept, 5*time.Second)
			if test.signal == syscall.SIGSTOP {
				lost.signal(syscall.SIGCONT)
			}
			stop()
			longest := time.Duration(0)
			for name, gap := range gaps {
				require.LessOrEqual(t, gap, serviceGap, name)
				longest = max(longest, gap)
			}
			t.Logf("%d minions of the lost keeper, longest time without a start %s", len(kept), longest.Round(10*time.Millisecond))
			f.requireAtMostOnce()
		})
	}
}

// TestHeartbeatIntervals measures for some intervals what the hosts send and how soon a lost keeper is replaced in the others' view.
func TestHeartbeatIntervals(t *testing.T) {
	for _, interval := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		t.Run(interval.String(), func(t *testing.T) {
			f := newFleet(t, plan{places: []string{"x", "x", "x", "x", "x", "x"}, minions: 12, slots: 2, heartbeat: interval})
			watched := f.entries[3]
			time.Sleep(3 * time.Second)
			sent := watched.metric(`chervilusher_peer_bytes_total{direction="sent"}`)
			time.Sleep(5 * time.Second)
			sent = (watched.metric(`chervilusher_peer_bytes_total{direction="sent"}`) - sent) / 5

			lost := f.entries[0]
			lost.kill()
			begin := time.Now()
			require.Eventually(t, func() bool {
				status, err := watched.status()
				if err != nil {
					return false
				}
				for _, minion := range status.Minions {
					if minion.Keeper == lost.name {
						return false
					}
				}
				return len(status.Minions) > 0
			}, patience, pollEvery)
			t.Logf("heartbeat %s: %.0f bytes sent a second, keeper replaced after %s", interval, sent, time.Since(begin).Round(10*time.Millisecond))
		})
	}
}

// keptBy returns the names of the minions whose keeper the host is.
func (f *fleet) keptBy(host *entry) map[string]bool {
	f.t.Helper()
	kept := map[string]bool{}
	require.Eventually(f.t, func() bool {
		status, err := host.status()
		if err != nil {
			return false
		}
		clear(kept)
		for _, minion := range status.Minions {
			if minion.Keeper == host.name {
				kept[minion.Name] = true
			}
		}
		return len(status.Minions) > 0 && len(kept) < len(status.Minions)
	}, patience, pollEvery)
	return kept
}

// loadThrough keeps so many tasks of that work in progress until the returned function is called; refusals are tried again.
func (f *fleet) loadThrough(hosts []*entry, parallel int, work time.Duration) (stop func()) {
	f.t.Helper()
	var serial atomic.Int64
	var stopped atomic.Bool
	var running sync.WaitGroup
	for i := range parallel {
		caller := f.client(hosts[i%len(hosts)])
		running.Go(func() {
			for !stopped.Load() {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				mark := fmt.Sprintf("load-%d", serial.Add(1))
				_, _ = caller.Run(ctx, api.Submission{Tasks: []api.Task{task("desk", mark, work)}})
				cancel()
			}
		})
	}
	return func() {
		stopped.Store(true)
		running.Wait()
	}
}

func (f *fleet) startsOf(names map[string]bool) map[string]int64 {
	starts := map[string]int64{}
	for _, member := range f.office.Members {
		if names[member.Name()] {
			starts[member.Name()] = member.Counters().Starts
		}
	}
	return starts
}

func (f *fleet) requireAllStart(names map[string]bool) {
	f.t.Helper()
	before := f.startsOf(names)
	require.Eventually(f.t, func() bool {
		for name, starts := range f.startsOf(names) {
			if starts == before[name] {
				return false
			}
		}
		return true
	}, patience, pollEvery)
}

// longestGaps watches the minions for the time given and returns for each the longest time without a start.
func (f *fleet) longestGaps(names map[string]bool, length time.Duration) map[string]time.Duration {
	gaps := map[string]time.Duration{}
	last := map[string]time.Time{}
	before := f.startsOf(names)
	begin := time.Now()
	for name := range names {
		last[name] = begin
	}
	for time.Since(begin) < length {
		time.Sleep(pollEvery)
		now := time.Now()
		for name, starts := range f.startsOf(names) {
			gaps[name] = max(gaps[name], now.Sub(last[name]))
			if starts != before[name] {
				last[name] = now
				before[name] = starts
			}
		}
	}
	return gaps
}
